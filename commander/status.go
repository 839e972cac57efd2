package commander

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"clementineramp/operator"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show the state of a process",
		ArgsUsage: "ADDRESS",
		Description: `ADDRESS is the operator address of the process (operator_listen), an IP address and a port.

Examples:
  clementinectl status 10.1.0.1:8082
  clementinectl status --json 10.1.0.1:8082`,
		Flags:  []cli.Flag{jsonFlag(), timeoutFlag()},
		Action: showStatus,
	}
}

func timeoutFlag() cli.Flag {
	return &cli.DurationFlag{
		Name: "timeout", Usage: "maximum time to wait for the response", Value: operator.DefaultTimeout,
		Validator: func(d time.Duration) error {
			if d <= 0 {
				return fmt.Errorf("%v is not above 0", d)
			}
			return nil
		},
	}
}

// addressArgument returns the only argument of a command as an address.
func addressArgument(cmd *cli.Command) (netip.AddrPort, error) {
	text, err := oneArgument(cmd, "ADDRESS")
	if err != nil {
		return netip.AddrPort{}, err
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return address, usageErrorf(cmd, "address %q is not an IP address and a port, such as 10.1.0.1:8082", text)
	}
	return address, nil
}

func showStatus(ctx context.Context, cmd *cli.Command) error {
	address, err := addressArgument(cmd)
	if err != nil {
		return err
	}
	client := operator.NewClient(operator.ClientConfig{Address: address, Timeout: cmd.Duration("timeout")})
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, status)
	}
	return printStatus(cmd.Root().Writer, status)
}

// columnGap is the number of spaces between two columns.
const columnGap = 2

func printStatus(out io.Writer, s operator.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	row := func(cells ...string) {
		for i, c := range cells {
			cells[i] = printable(c)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	row("name", s.Name)
	row("role", s.Role)
	row("region", s.Region)
	row("failure domain", s.FailureDomain)
	row("incarnation", fmt.Sprintf("%x", s.Incarnation))
	row("state", string(s.State))
	row("uptime", formatMS(s.UptimeMS))
	row("running", fmt.Sprint(s.Running))
	row("queued", fmt.Sprint(s.Queued))
	row("configuration", formatConfiguration(s.Configuration))
	row("control", fmt.Sprintf("%.0f B/s", s.ControlBytesPerSecond))
	for _, a := range s.Alarms {
		row("alarm", a)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(s.Upstreams) == 0 {
		return nil
	}
	fmt.Fprintln(w)
	row("UPSTREAM", "POOL", "FAILURE DOMAIN", "STATE", "WORK", "QUEUED", "AGE", "VERSION")
	for _, u := range s.Upstreams {
		row(u.Name, u.Pool, u.FailureDomain, u.State, fmt.Sprintf("%.0f", u.Work), fmt.Sprintf("%.0f", u.Queued),
			formatMS(u.AgeMS), u.Version)
	}
	return w.Flush()
}

func formatConfiguration(c operator.Configuration) string {
	if c.Version == 0 {
		return "none"
	}
	confirmed := "never confirmed by the platform"
	if c.ConfirmedMS >= 0 {
		confirmed = "confirmed " + formatMS(c.ConfirmedMS) + " ago"
	}
	return fmt.Sprintf("version %d, digest %s, %s", c.Version, c.Digest, confirmed)
}

func formatMS(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
