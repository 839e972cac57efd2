// Command clementinectl checks, monitors and stops the processes of a clementineramp fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"clementineramp/commander"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.Run(ctx, os.Args, os.Stdout, os.Stderr)
}
