package registrar_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// TestMain fixes the seed, so that a failure always means a change of the code, and raises the number of histories: some faults
// show in one of several hundred.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000"} {
		if f := flag.Lookup(name); f.Value.String() != f.DefValue {
			continue // Set in the environment.
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
