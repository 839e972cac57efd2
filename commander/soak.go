package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"clementineramp/soaker"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run gateways as separate processes, inject random faults and check what callers and upstreams observe",
		Description: `Each seed starts a separate fleet on loopback, with stand-ins of the store and of upstreams. The settings, and after
a violation also the logs, are written to one directory for each seed. Exit code 1 if a guarantee was violated.

Examples:
  clementinectl soak --gateway ./clementined --from 1 --to 50
  clementinectl soak --gateway ./clementined --from 17 --to 17 --gateways 24 --callers 200`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "gateway", Usage: "`PROGRAM` that runs a gateway, clementined", Required: true},
			&cli.Uint64Flag{Name: "from", Usage: "first seed; 0 uses the current time"},
			&cli.Uint64Flag{Name: "to", Usage: "last seed; 0 means the first one"},
			&cli.IntFlag{Name: "parallel", Usage: "number of concurrent soaks", Value: 2},
			&cli.IntFlag{Name: "gateways", Usage: "number of gateways of a fleet", Value: 4},
			&cli.IntFlag{Name: "upstreams", Usage: "number of upstreams of each of the two services", Value: 3},
			&cli.IntFlag{Name: "callers", Usage: "number of callers of a fleet", Value: 16},
			&cli.IntFlag{Name: "faults", Usage: "number of faults of a soak", Value: 20},
			&cli.IntFlag{Name: "evacuations", Usage: "number of evacuations of failure domains beside the faults", Value: 2},
			&cli.DurationFlag{Name: "duration", Usage: "time during which faults are injected", Value: 12 * time.Second},
			&cli.BoolFlag{Name: "timed", Usage: "also check guarantees with a time limit", Value: true},
			&cli.StringFlag{Name: "dir", Usage: "`DIRECTORY` for settings and logs; a temporary one if not set"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	first, last := cmd.Uint64("from"), cmd.Uint64("to")
	if first == 0 {
		first = uint64(time.Now().Unix())
	}
	if last == 0 {
		last = first
	}
	if last < first || cmd.Int("parallel") < 1 {
		return usageErrorf(cmd, "--to must not be below --from, and --parallel must be at least 1")
	}
	program, err := filepath.Abs(cmd.String("gateway"))
	if err != nil {
		return err
	}
	dir := cmd.String("dir")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "soak-"); err != nil {
			return err
		}
	}
	var failed atomic.Int32
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(cmd.Int("parallel"))
	for seed := first; seed <= last; seed++ {
		group.Go(func() error {
			seedDir := filepath.Join(dir, fmt.Sprint(seed))
			if err := os.MkdirAll(seedDir, 0o700); err != nil {
				return err
			}
			report, err := soaker.Run(ctx, soaker.Config{
				Seed: seed, Command: []string{program, "gateway"}, Dir: seedDir, Gateways: cmd.Int("gateways"),
				Upstreams: cmd.Int("upstreams"), Callers: cmd.Int("callers"), Faults: cmd.Int("faults"),
				Duration: cmd.Duration("duration"), Timed: cmd.Bool("timed"), AllFaults: true,
				Evacuations: cmd.Int("evacuations"),
			})
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			if len(report.Violations) > 0 {
				failed.Add(1)
			}
			_, err = fmt.Fprintln(cmd.Root().Writer, report)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	if n := failed.Load(); n > 0 {
		return fmt.Errorf("%d of %d seeds violated a guarantee; logs are in %s", n, last-first+1, dir)
	}
	return nil
}
