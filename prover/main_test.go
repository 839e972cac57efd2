package prover_test

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent trades memory for time: at the default of 100, the many short-lived fleets of the matrix spend a quarter
// of their time in garbage collection.
const gcPercent = 800

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
