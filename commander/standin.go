package commander

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"clementineramp/compiler"
	"clementineramp/configurer"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

const (
	// platformReadsPerSecond is the rate of reads that the platform serves, summed over all readers.
	platformReadsPerSecond = 2000
	// With these times a stand-in engine processes a prompt of 1,000 tokens within a target of 440 ms without a cache.
	enginePrefillPerToken = 100 * time.Microsecond
	engineTokenInterval   = 20 * time.Millisecond
	engineLoadTime        = 2 * time.Second
	defaultSlots          = 16
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins of the platform and of upstreams on loopback, to try out a deployment",
		Commands: []*cli.Command{
			standinPlatformCommand(), standinEngineCommand(), standinServiceCommand(), standinAllCommand(),
		},
	}
}

// listenFlag returns the --listen flag of a stand-in.
func listenFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "listen", Usage: "loopback `ADDRESS` to listen on; port 0 selects a free port", Required: true,
		Validator: func(s string) error {
			address, err := netip.ParseAddrPort(s)
			if err != nil || !address.Addr().IsLoopback() {
				return fmt.Errorf("%q is not a loopback IP address and a port, such as 127.0.0.1:9000", s)
			}
			return nil
		},
	}
}

func requiredFlag(name, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Required: true}
}

func standinPlatformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a sheet and a host list as the platform does",
		Description: `Compiles the sheet and serves its manifest and parts by key, and the host list, until SIGINT or SIGTERM.
--values names a directory written by "sheet compile", to use in place of a sheet. SIGHUP reloads the files.

Examples:
  clementinectl standin platform --listen 127.0.0.1:7000 --sheet monday.csv --hosts hosts.json
  clementinectl standin platform --listen 127.0.0.1:7000 --values published --hosts hosts.json`,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "sheet", Usage: "CSV `FILE` of the sheet, or a directory of CSV files"},
			&cli.StringFlag{Name: "values", Usage: "directory `DIR` of values, in files named by key"},
			requiredFlag("hosts", "JSON `FILE` with the host list"),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if (cmd.String("sheet") == "") == (cmd.String("values") == "") {
				return usageErrorf(cmd, "want exactly one of --sheet and --values")
			}
			return runStandins(ctx, cmd, func(s *standins) error { return s.startFilePlatform(ctx) })
		},
	}
}

func standinEngineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "serve as a model engine with a batch and a prefix cache",
		Description: `Returns answers that depend only on the request, its seed and the model version. Runs until SIGINT or SIGTERM.

Examples:
  clementinectl standin engine --listen 127.0.0.1:9000 --model clementine-8b --version 2026-12-01 --name vavrad-1`,
		Flags: []cli.Flag{
			listenFlag(),
			requiredFlag("model", "`NAME` of the model"),
			requiredFlag("version", "`VERSION` of the model"),
			requiredFlag("name", "`NAME` of the engine"),
			&cli.IntFlag{Name: "slots", Usage: "number of requests that run concurrently", Value: defaultSlots, Validator: func(n int) error {
				if n < 1 {
					return fmt.Errorf("%d is not above 0", n)
				}
				return nil
			}},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse a command with an outdated fencing number"},
			&cli.DurationFlag{Name: "token-interval", Usage: "`TIME` between two tokens of an answer", Value: engineTokenInterval},
			&cli.DurationFlag{Name: "load-time", Usage: "`TIME` that loading a model takes", Value: engineLoadTime},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runStandins(ctx, cmd, func(s *standins) error {
				return s.engine(standin.EngineConfig{
					Name: cmd.String("name"), Address: cmd.String("listen"), Model: cmd.String("model"), Version: cmd.String("version"),
					Slots: cmd.Int("slots"), ChecksFence: cmd.Bool("checks-fencing"),
					TokenInterval: cmd.Duration("token-interval"), LoadTime: cmd.Duration("load-time"),
				})
			})
		},
	}
}

func standinServiceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "serve as a worker of a plain service",
		Description: `Runs every order that it receives and does not deduplicate by key. Runs until SIGINT or SIGTERM.

Examples:
  clementinectl standin service --listen 127.0.0.1:9100 --name bestall-1`,
		Flags: []cli.Flag{listenFlag(), requiredFlag("name", "`NAME` of the worker")},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runStandins(ctx, cmd, func(s *standins) error { return s.service(cmd.String("name"), cmd.String("listen")) })
		},
	}
}

func standinAllCommand() *cli.Command {
	return &cli.Command{
		Name:      "all",
		Usage:     "run all stand-ins of a deployment in one process",
		ArgsUsage: "DIR",
		Description: `DIR holds sheet.csv, hosts.json and settings/*.json, like the directories in examples. The platform listens on
the address given in the settings, and a stand-in on the upstream address of each agent. Runs until SIGINT or SIGTERM.

Examples:
  clementinectl standin all examples/vassmattan`,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			dir, err := oneArgument(cmd, "DIR")
			if err != nil {
				return err
			}
			d, err := readDeployment(cmd, dir)
			if err != nil {
				return err
			}
			return runStandins(ctx, cmd, d.start)
		},
	}
}

// standins holds the stand-ins that this process runs.
type standins struct {
	cmd  *cli.Command
	kill []func()
}

// runStandins calls start, waits until ctx ends and then stops the stand-ins.
func runStandins(ctx context.Context, cmd *cli.Command, start func(*standins) error) error {
	s := &standins{cmd: cmd}
	defer func() {
		for _, kill := range s.kill {
			kill()
		}
	}()
	if err := start(s); err != nil {
		return err
	}
	fmt.Fprintln(cmd.Root().Writer, "ready")
	<-ctx.Done()
	return nil
}

// register records the function that stops a started stand-in, and prints the address on which the stand-in listens.
func (s *standins) register(kind, name, address string, kill func()) {
	s.kill = append(s.kill, kill)
	fmt.Fprintf(s.cmd.Root().Writer, "%s %s listens on %s\n", kind, printable(name), address)
}

func (s *standins) platform(listen string, sheet *compiler.Sheet, hosts []subscriber.Host) error {
	p := standin.NewPlatform()
	p.SetReadRate(platformReadsPerSecond)
	for _, part := range sheet.Parts {
		p.SetValue(configurer.PartKey(part.Digest), part.Data)
	}
	p.SetValue(configurer.ManifestKey, sheet.Manifest)
	p.SetHosts(hosts)
	server, err := standin.Start(listen, p.Handler())
	if err != nil {
		return trace.Wrap(err)
	}
	s.register("platform", fmt.Sprintf("with version %d", sheet.Version), server.Address(), server.Kill)
	return nil
}

func (s *standins) engine(cfg standin.EngineConfig) error {
	cfg.PrefillPerToken = enginePrefillPerToken
	e, err := standin.StartEngine(cfg)
	if err != nil {
		return trace.Wrap(err)
	}
	s.register("engine", cfg.Name, e.Address(), e.Kill)
	return nil
}

func (s *standins) service(name, listen string) error {
	w, err := standin.StartService(name, listen)
	if err != nil {
		return trace.Wrap(err)
	}
	s.register("service", name, w.Address(), w.Kill)
	return nil
}
