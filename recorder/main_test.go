package recorder_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of the properties, so that each run of the tests checks the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	goleak.VerifyTestMain(m)
}
