package prover_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"clementineramp/prover"
)

// run runs a cell in a synctest bubble, where time is virtual. A non-empty PROVER_LOG prints the log of the fleet.
func run(t *testing.T, cell prover.Cell, opts prover.Options) (report prover.Report) {
	if os.Getenv("PROVER_LOG") != "" {
		opts.Log = func(line []byte) { fmt.Print(string(line)) }
	}
	defer ended.Add(1)
	synctest.Test(t, func(t *testing.T) {
		report = prover.Run(t.Context(), cell, opts)
	})
	return report
}

// Guards against a fault that breaks an invariant at any step of a request, a configuration change, a placement or a
// graceful shutdown.
func TestMatrix(t *testing.T) {
	for _, cell := range prover.Matrix() {
		t.Run(cell.Name(), func(t *testing.T) {
			if cell.Skip != prover.NotSkipped {
				t.Skip(string(cell.Skip))
			}
			t.Parallel()
			report := run(t, cell, prover.Options{})
			if report.Err != nil {
				t.Fatal(report.Err)
			}
			for _, v := range report.Violations {
				t.Error(v)
			}
		})
	}
}
