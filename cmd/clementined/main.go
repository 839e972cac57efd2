// Command clementined is the daemon of a clementineramp fleet, a router or an agent as its settings say.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"clementineramp/launcher"
)

func main() {
	os.Exit(run())
}

func run() int {
	cmd := &cli.Command{
		Name:  "clementined",
		Usage: "run a router or an agent of a clementineramp fleet",
		Description: `SIGTERM and SIGINT begin a planned stop, which cuts no request.

Example:
  clementined --settings examples/vassmattan/settings/router-1.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, JSON with comments", Required: true},
		},
		HideHelpCommand: true,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return launcher.RunFile(ctx, cmd.String("settings"), os.Stderr)
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := cmd.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "clementined:", err)
		return 1
	}
	return 0
}
