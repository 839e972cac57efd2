package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"clementineramp/chooser"
	"clementineramp/encoder"
	"clementineramp/explainer"
	"clementineramp/loader"
	"clementineramp/subscriber"
	"clementineramp/tracker"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "explain how a chat, an order or the requests of an organisation are routed",
		Description: `Runs the routing code offline. Explains a chat with --model or --request, an order with --service, and
otherwise the organisation. A chat is identified by --chat, or by the messages of --request.

The load file is a JSON array of load entries in the form that processes exchange:
  [{"u": "vavrad-1", "w": 1200, "b": 0, "a": 300, "t": 3600000}]
u is the host, w the running and b the queued work in tokens, a the age and t the uptime in milliseconds.

Examples:
  clementinectl explain --sheet monday.csv --hosts hosts.json --organisation Kvarnby
  clementinectl explain --sheet monday.csv --hosts hosts.json --organisation Kvarnby --model clementine-8b --chat 7
  clementinectl explain --sheet monday.csv --hosts hosts.json --organisation Kvarnby --model clementine-8b \
    --request chat.json --load load.json --observe vavrad-3=connection_refused --settings router.json
  clementinectl explain --sheet monday.csv --hosts hosts.json --organisation Kvarnby --service bestall --key order-1`,
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "sheet", Usage: "CSV `FILE` of the sheet, or a directory of CSV files", Required: true},
			&cli.StringFlag{Name: "hosts", Usage: "JSON `FILE` with the host list of the platform", Required: true},
			&cli.StringFlag{Name: "organisation", Usage: "`NAME` of the organisation that sends the request", Required: true},
			&cli.StringFlag{Name: "rank", Usage: "`NAME` of the rank that the request asks for (default: that of the organisation)"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model of a chat"},
			&cli.StringFlag{Name: "chat", Usage: "the caller's `NAME` for the chat"},
			&cli.StringFlag{Name: "request", Usage: "JSON `FILE` with the chat request"},
			&cli.FloatFlag{Name: "cost", Usage: "work of the chat request in `TOKENS`; estimated if not set"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service of an order"},
			&cli.StringFlag{Name: "key", Usage: "idempotency `KEY` or ticket of the order"},
			&cli.StringFlag{Name: "load", Usage: "JSON `FILE` with load entries"},
			&cli.StringSliceFlag{Name: "observe", Usage: "outcome of an earlier attempt by the router, as `HOST=OUTCOME` (" + strings.Join(outcomeNames(), ", ") + ")"},
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the router; default settings if not set"},
		},
		Action: explain,
	}
}

func explain(_ context.Context, cmd *cli.Command) error {
	if err := checkExplainUsage(cmd); err != nil {
		return err
	}
	cfg, err := explainConfig(cmd)
	if err != nil {
		return err
	}
	e, err := explainer.New(cfg)
	if err != nil {
		return err
	}
	switch {
	case cmd.String("service") != "":
		return explainOrder(cmd, e)
	case cmd.String("model") != "" || cmd.IsSet("request"):
		return explainChat(cmd, e)
	default:
		return explainOrganisation(cmd, e)
	}
}

// checkExplainUsage returns an error for flags that the chosen kind of explanation does not use.
func checkExplainUsage(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageErrorf(cmd, "unexpected argument %q", cmd.Args().First())
	}
	chat := cmd.String("model") != "" || cmd.IsSet("request")
	order := cmd.String("service") != ""
	if chat && order {
		return usageErrorf(cmd, "--service cannot be combined with --model or --request")
	}
	for _, name := range []string{"chat", "cost"} {
		if cmd.IsSet(name) && !chat {
			return usageErrorf(cmd, "--%s needs --model or --request", name)
		}
	}
	if cmd.IsSet("key") && !order {
		return usageErrorf(cmd, "--key needs --service")
	}
	if cmd.IsSet("rank") && !chat && !order {
		return usageErrorf(cmd, "--rank needs --model, --request or --service")
	}
	if chat && cmd.String("chat") == "" && !cmd.IsSet("request") {
		return usageErrorf(cmd, "--model needs --chat or --request")
	}
	if cmd.IsSet("cost") && !(cmd.Float("cost") > 0) {
		return usageErrorf(cmd, "--cost %v is not above 0", cmd.Float("cost"))
	}
	return nil
}

func explainConfig(cmd *cli.Command) (explainer.Config, error) {
	var cfg explainer.Config
	var err error
	if cfg.Observations, err = observations(cmd); err != nil {
		return cfg, err
	}
	if cfg.Sheet, err = compileAndReport(cmd, cmd.String("sheet")); err != nil {
		return cfg, err
	}
	if cfg.Hosts, err = readHosts(cmd.String("hosts")); err != nil {
		return cfg, err
	}
	if file := cmd.String("load"); file != "" {
		if err := readJSON(file, &cfg.Load); err != nil {
			return cfg, err
		}
	}
	if file := cmd.String("settings"); file != "" {
		cfg.Routing, err = routerConfig(cmd, file)
	}
	return cfg, err
}

// routerConfig reads the settings of a router and returns its routing configuration.
func routerConfig(cmd *cli.Command, file string) (chooser.Config, error) {
	settings, err := loader.Check(file)
	var problems loader.Problems
	if errors.As(err, &problems) {
		for _, p := range problems {
			fmt.Fprintln(cmd.Root().ErrWriter, printable(p.String()))
		}
		return chooser.Config{}, errReported
	}
	if err != nil {
		return chooser.Config{}, err
	}
	if settings.Role != loader.RoleRouter {
		return chooser.Config{}, trace.BadParameter("%s: role is %s, want the settings of a router", file, settings.Role)
	}
	return chooser.Config{
		Bound: settings.Routing.Bound, Attempts: settings.Routing.Attempts, Ramp: settings.Routing.Ramp, Domain: settings.FailureDomain,
	}, nil
}

// readHosts reads a host list in the platform's form.
func readHosts(file string) ([]subscriber.Host, error) {
	data, err := readInput(file)
	if err != nil {
		return nil, err
	}
	list, err := subscriber.DecodeHostList(data)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	return list.Hosts, nil
}

// readJSON decodes a file written by hand, so an unknown field, probably a misspelling, is an error.
func readJSON[T any](file string, v *T) error {
	data, err := readInput(file)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return trace.BadParameter("%s: %v", file, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return trace.BadParameter("%s: text follows the end of the JSON value", file)
	}
	return nil
}

func outcomes() []tracker.Outcome {
	return []tracker.Outcome{
		tracker.Answered, tracker.ConnectionRefused, tracker.TimedOut, tracker.NotReady, tracker.Leaving,
	}
}

func outcomeNames() []string {
	var names []string
	for _, o := range outcomes() {
		names = append(names, o.String())
	}
	return names
}

func observations(cmd *cli.Command) ([]tracker.Observation, error) {
	var out []tracker.Observation
	for _, text := range cmd.StringSlice("observe") {
		host, name, ok := strings.Cut(text, "=")
		found := false
		for _, o := range outcomes() {
			if ok && o.String() == name {
				out = append(out, tracker.Observation{Upstream: host, Outcome: o})
				found = true
			}
		}
		if !found {
			return nil, usageErrorf(cmd, "--observe %q: want HOST=OUTCOME with one of %s", text, strings.Join(outcomeNames(), ", "))
		}
	}
	return out, nil
}

func explainChat(cmd *cli.Command, e *explainer.Explainer) error {
	q := explainer.ChatQuery{
		Organisation: cmd.String("organisation"), Rank: cmd.String("rank"), Chat: cmd.String("chat"), Cost: cmd.Float("cost"),
		Request: encoder.ChatRequest{Model: cmd.String("model")},
	}
	if file := cmd.String("request"); file != "" {
		data, err := readInput(file)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(data, &q.Request); err != nil {
			return trace.BadParameter("%s: %v", file, err)
		}
		if model := cmd.String("model"); model != "" {
			q.Request.Model = model
		}
	}
	chat, err := e.Chat(q)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, chat)
	}
	return printChat(cmd.Root().Writer, chat)
}

func explainOrder(cmd *cli.Command, e *explainer.Explainer) error {
	order, err := e.Order(explainer.OrderQuery{
		Organisation: cmd.String("organisation"), Rank: cmd.String("rank"),
		Service: cmd.String("service"), Key: cmd.String("key"),
	})
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, order)
	}
	return printOrder(cmd.Root().Writer, order)
}

func explainOrganisation(cmd *cli.Command, e *explainer.Explainer) error {
	organisation, err := e.Organisation(cmd.String("organisation"))
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, organisation)
	}
	return printOrganisation(cmd.Root().Writer, organisation)
}
