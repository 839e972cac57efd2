package prover_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"

	"clementineramp/prover"
)

// run runs a cell in a bubble of virtual time.
func run(t *testing.T, cell prover.Cell, opts prover.Options) (report prover.Report) {
	synctest.Test(t, func(t *testing.T) {
		report = prover.Run(t.Context(), cell, opts)
	})
	return report
}

// Guards against a fault that breaks an invariant of the design at any step of the way of a request, of a configuration
// change or of a planned stop.
func TestMatrix(t *testing.T) {
	for _, cell := range prover.Matrix() {
		t.Run(cell.Name(), func(t *testing.T) {
			if cell.Skip != prover.NotSkipped {
				t.Skip(string(cell.Skip))
			}
			t.Parallel()
			opts := prover.Options{}
			if os.Getenv("PROVER_LOG") != "" {
				opts.Log = func(line []byte) { fmt.Print(string(line)) }
			}
			report := run(t, cell, opts)
			if report.Err != nil {
				t.Fatal(report.Err)
			}
			for _, v := range report.Violations {
				t.Error(v)
			}
		})
	}
}
