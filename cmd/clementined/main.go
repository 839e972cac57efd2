// Command clementined is the daemon of a clementineramp fleet. It runs a router or an agent, depending on the role in
// its settings, or a gateway with the subcommand gateway.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"clementineramp/gatekeeper"
	"clementineramp/launcher"
	"clementineramp/platform"
)

func main() {
	os.Exit(run())
}

func run() int {
	// The handlers are installed first, because the default action of these signals ends the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	cmd := &cli.Command{
		Name:  "clementined",
		Usage: "run a router or an agent of a clementineramp fleet",
		Description: `SIGTERM and SIGINT begin a graceful shutdown, which interrupts no request.

Example:
  clementined --settings examples/vassmattan/settings/router-1.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments"},
		},
		HideHelpCommand: true,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if !cmd.IsSet("settings") {
				return errors.New("--settings is missing")
			}
			return launcher.RunFile(ctx, cmd.String("settings"), os.Stderr)
		},
	}
	cmd.Commands = []*cli.Command{gatewayCommand(reload)}
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "clementined:", err)
		return 1
	}
	return 0
}

func gatewayCommand(reload <-chan os.Signal) *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway, the router that calls upstreams directly on the platform",
		Description: `SIGTERM and SIGINT begin a graceful shutdown, SIGHUP reloads the settings. Logs go to standard output.

Example:
  clementined gateway --settings gateway.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "settings `FILE`, JSON with comments", Sources: cli.EnvVars(platform.SettingsVariable), Required: true,
			},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return gatekeeper.RunFile(ctx, cmd.String("settings"), reload, os.Stdout)
		},
	}
}
