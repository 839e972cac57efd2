package scenarist_test

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"clementineramp/commander"
	"clementineramp/launcher"
	"clementineramp/scenarist"
)

// TestMain lets the test binary run as the programs of the fleet, so that scripts can start them as processes.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"clementined":   daemon,
		"clementinectl": control,
	})
}

// daemon is the program clementined; it accepts only the flag --settings.
func daemon() {
	os.Exit(runDaemon())
}

func runDaemon() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if len(os.Args) != 3 || os.Args[1] != "--settings" {
		fmt.Fprintln(os.Stderr, "clementined: want --settings FILE")
		return 1
	}
	if err := launcher.RunFile(ctx, os.Args[2], os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "clementined:", err)
		return 1
	}
	return 0
}

// control is the program clementinectl.
func control() {
	os.Exit(runControl())
}

func runControl() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.Run(ctx, os.Args, os.Stdout, os.Stderr)
}

// TestScenarios runs scripts in which whole processes fail, restart or receive changes, and checks that answers are
// complete, that no order runs twice, and that the outcomes reported to callers are true.
func TestScenarios(t *testing.T) {
	run(t, "script")
}

// run runs the scripts of a directory.
func run(t *testing.T, dir string) {
	examples, err := filepath.Abs(filepath.Join("..", "examples"))
	require.NoError(t, err)
	testscript.Run(t, testscript.Params{
		Dir:  filepath.Join("testdata", dir),
		Cmds: scenarist.Commands(),
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return scenarist.Setup(env, os.Getpid())
		},
		RequireUniqueNames: true,
	})
}
