package commander

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"clementineramp/demonstrator"
)

// demoCommand runs a small fleet with stand-ins and checks its responses.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet with stand-ins in one process and check its responses",
		Description: `Starts a platform, engines, a plain service, agents and two routers on loopback, sends chats of several
turns and orders, kills an engine meanwhile and prints a report.

Examples:
  clementinectl demo
  clementinectl demo --serve
  clementinectl demo --json`,
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.BoolFlag{Name: "serve", Usage: "keep the fleet running and print its addresses"},
			&cli.BoolFlag{Name: "log", Usage: "print the log lines of all processes on standard error"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg := demonstrator.DemoConfig{Out: cmd.Root().Writer, JSON: cmd.Bool("json"), Serve: cmd.Bool("serve")}
			if cmd.Bool("log") {
				cfg.Log = cmd.Root().ErrWriter
			}
			err := demonstrator.Demo(ctx, cfg)
			if errors.Is(err, demonstrator.ErrFailed) {
				return errReported
			}
			return err
		},
	}
}
