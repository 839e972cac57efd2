package soaker_test

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/gatekeeper"
	"clementineramp/soaker"
)

// asGateway is the environment variable that makes the test binary run as a gateway: "correct" or "broken".
const asGateway = "SOAKER_GATEWAY"

func TestMain(m *testing.M) {
	switch os.Getenv(asGateway) {
	case "correct":
		os.Exit(runGateway())
	case "broken":
		os.Exit(runBrokenGateway())
	}
	os.Exit(m.Run())
}

func runGateway() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := gatekeeper.RunFile(ctx, os.Args[2], reload, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

// TestSoak runs soaks without the guarantees that have a time bound, which a loaded machine would miss. Each seed
// after the first once revealed a fault and is kept with a description of the failure.
func TestSoak(t *testing.T) {
	for _, c := range []struct {
		seed      uint64
		allFaults bool
		failure   string
	}{
		{seed: 1},
		{seed: 2, allFaults: true},
		{4, false, "SIGTERM right after the start ended the process before it handled signals"},
		{5, false, "SIGTERM right after the start ended another gateway before it handled signals"},
		{7, false, "the port of a crashed upstream was reused by another server, whose response was forwarded"},
	} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			t.Parallel()
			report, err := soaker.Run(context.Background(), soaker.Config{
				Seed: c.seed, Command: []string{os.Args[0]}, Env: []string{asGateway + "=correct"}, Dir: t.TempDir(),
				AllFaults: c.allFaults,
			})
			require.NoError(t, err)
			t.Log(report)
			require.Empty(t, report.Violations, c.failure)
			require.Positive(t, report.Served)
		})
	}
}

// TestSoakDetectsBrokenGuarantees checks that a soak reports the violations of a gateway that breaks guarantees.
func TestSoakDetectsBrokenGuarantees(t *testing.T) {
	report, err := soaker.Run(context.Background(), soaker.Config{
		Seed: 5, Command: []string{os.Args[0]}, Env: []string{asGateway + "=broken"}, Dir: t.TempDir(),
		Gateways: 2, Callers: 8, Duration: 4 * time.Second, Faults: 16,
	})
	require.NoError(t, err)
	found := strings.Join(report.Violations, "\n")
	for _, violation := range []string{"identity:", "twice:", "refused:", "stale:"} {
		require.Contains(t, found, violation)
	}
}
