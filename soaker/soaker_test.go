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

// asGateway makes the test binary run as a gateway: "sound" or "naive".
const asGateway = "SOAKER_GATEWAY"

func TestMain(m *testing.M) {
	switch os.Getenv(asGateway) {
	case "sound":
		os.Exit(runGateway())
	case "naive":
		os.Exit(runNaive())
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

// TestSoak runs short soaks, without the promises whose time bounds a loaded machine would miss.
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			report, err := soaker.Run(context.Background(), soaker.Config{
				Seed: seed, Command: []string{os.Args[0]}, Env: []string{asGateway + "=sound"}, Dir: t.TempDir(),
				Gateways: 3, Callers: 8, Duration: 5 * time.Second, Faults: 10,
			})
			require.NoError(t, err)
			t.Log(report)
			require.Empty(t, report.Violations)
			require.Positive(t, report.Served)
		})
	}
}

// TestSoakSeesBrokenPromises runs a gateway that breaks them.
func TestSoakSeesBrokenPromises(t *testing.T) {
	report, err := soaker.Run(context.Background(), soaker.Config{
		Seed: 5, Command: []string{os.Args[0]}, Env: []string{asGateway + "=naive"}, Dir: t.TempDir(),
		Gateways: 2, Callers: 8, Duration: 4 * time.Second, Faults: 16,
	})
	require.NoError(t, err)
	found := strings.Join(report.Violations, "\n")
	for _, promise := range []string{"identity:", "twice:", "refused:"} {
		require.Contains(t, found, promise)
	}
}
