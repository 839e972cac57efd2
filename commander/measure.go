package commander

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"clementineramp/measurer"
)

// measureCommand runs one measurement on a fleet and fails when a goal is missed.
func measureCommand() *cli.Command {
	names := make([]string, 0, len(measurer.Measurements()))
	for _, m := range measurer.Measurements() {
		names = append(names, "  "+m.Name+": "+m.Summary)
	}
	return &cli.Command{
		Name:      "measure",
		Usage:     "run one measurement on real routers and agents on loopback",
		ArgsUsage: "NAME",
		Description: `Prints results, goals and baselines of the same run. Exit code 1 if a goal is missed.

Names:
` + strings.Join(names, "\n") + `

Example:
  clementinectl measure reuse --json`,
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the workload", Value: 1},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			name, err := oneArgument(cmd, "NAME")
			if err != nil {
				return err
			}
			m, ok := measurer.Find(name)
			if !ok {
				return usageErrorf(cmd, "unknown measurement %q", name)
			}
			r, err := m.Run(ctx, cmd.Uint64("seed"))
			if err != nil {
				return err
			}
			if err := r.Print(cmd.Root().Writer, cmd.Bool("json")); err != nil {
				return err
			}
			if !r.Met() {
				return errReported
			}
			return nil
		},
	}
}
