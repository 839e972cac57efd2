package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"clementineramp/operator"
)

// defaultKeyEnv names the environment variable that holds the shared key.
const defaultKeyEnv = "CLEMENTINE_SHARED_KEY"

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "begin the graceful shutdown of a process",
		ArgsUsage: "ADDRESS",
		Description: `ADDRESS is the operator address of the process (operator_listen), an IP address and a port.
The command returns as soon as the process accepts; the process then finishes its requests and exits.
The shared key is read from an environment variable, because other users of the machine can see arguments.

Examples:
  CLEMENTINE_SHARED_KEY=... clementinectl drain 10.1.0.1:8082
  clementinectl drain --key-env GRIDLEAF_KEY 10.1.0.1:8082`,
		Flags: []cli.Flag{
			jsonFlag(),
			timeoutFlag(),
			&cli.StringFlag{Name: "key-env", Usage: "environment variable that holds the shared key", Value: defaultKeyEnv},
		},
		Action: drain,
	}
}

func drain(ctx context.Context, cmd *cli.Command) error {
	address, err := addressArgument(cmd)
	if err != nil {
		return err
	}
	name := cmd.String("key-env")
	key, ok := os.LookupEnv(name)
	if !ok || key == "" {
		return trace.BadParameter("the environment variable %s with the shared key is not set", name)
	}
	client := operator.NewClient(operator.ClientConfig{
		Address: address, SharedKey: key, Timeout: cmd.Duration("timeout"),
	})
	reply, err := client.Drain(ctx)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(cmd, reply)
	}
	fmt.Fprintf(cmd.Root().Writer, "%s: %s\n", address, reply.State)
	return nil
}
