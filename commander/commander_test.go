package commander_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"clementineramp/commander"
	"clementineramp/operator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"clementinectl": func() {
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			code := commander.Run(ctx, os.Args, os.Stdout, os.Stderr)
			stop()
			os.Exit(code)
		},
	})
}

// TestScripts runs each script with the operator address of a process in ADDR and its shared key in KEY.
// It guards against changes to the output, exit codes and help that operators rely on.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			address, err := startProcess(env)
			if err != nil {
				return err
			}
			env.Setenv("ADDR", address)
			env.Setenv("KEY", sharedKey)
			env.Setenv("LOOPBACK", testLoopback(2))
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"exitcode": checkExitCode,
			"serves":   waitUntilListening,
		},
	})
}

// Guards against a remote process that sends control sequences to the operator's terminal.
func TestRemoteTextIsQuoted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, `{"error":{"message":"\u001b[2J\nforged","verdict":"not_run"}}`)
	}))
	defer server.Close()
	var stdout, stderr bytes.Buffer
	args := []string{"clementinectl", "status", server.Listener.Addr().String()}
	require.Equal(t, commander.ExitFailed, commander.Run(t.Context(), args, &stdout, &stderr))
	require.Contains(t, stderr.String(), `\x1b[2J\nforged`)
	require.Equal(t, 1, strings.Count(stderr.String(), "\n"))
	require.NotContains(t, stderr.String(), "\x1b")
}

// checkExitCode runs a program and compares its exit code: exitcode CODE PROGRAM [ARG...].
func checkExitCode(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exitcode CODE PROGRAM [ARG...]")
	}
	err := ts.Exec(args[1], args[2:]...)
	got := "0"
	if exit, ok := err.(interface{ ExitCode() int }); ok {
		got = string(rune('0' + exit.ExitCode()))
	} else if err != nil {
		ts.Fatalf("run %s: %v", args[1], err)
	}
	if got != args[0] {
		ts.Fatalf("exit code is %s, want %s", got, args[0])
	}
}

// waitUntilListening waits until something listens on an address: serves ADDRESS.
func waitUntilListening(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: serves ADDRESS")
	}
	const attempts, interval = 1000, 10 * time.Millisecond
	for range attempts {
		conn, err := net.Dial("tcp", args[0])
		if err == nil {
			ts.Check(conn.Close())
			return
		}
		time.Sleep(interval)
	}
	ts.Fatalf("nothing listens on %s", args[0])
}

const sharedKey = "a key for the tests only"

// startProcess serves the operator endpoints of a process, which stays in the state leaving after a drain.
func startProcess(env *testscript.Env) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	var leaving atomic.Bool
	state := func() operator.State {
		if leaving.Load() {
			return operator.StateLeaving
		}
		return operator.StateReady
	}
	server := operator.NewServer(operator.Config{
		SharedKey: sharedKey,
		State:     state,
		Status: func() operator.Status {
			return operator.Status{
				Name: "router-1", Role: "router", Region: "svealand", FailureDomain: "malaren", Incarnation: 255,
				State: state(), UptimeMS: 90_000, Running: 2, Queued: 1, ControlBytesPerSecond: 312.4,
				Configuration: operator.Configuration{Version: 7, Digest: "000102030405060708090a0b0c0d0e0f", ConfirmedMS: 40},
				Alarms:        []string{"two manifests of version 7\x1b[2J"},
				Upstreams: []operator.Upstream{
					{Name: "vavrad-1", Pool: "vavrad", FailureDomain: "malaren", State: "live", Work: 300, AgeMS: 120, Version: "v3"},
					{Name: "vavrad-12", Pool: "vavrad", FailureDomain: "vanern", State: "down", AgeMS: 8000, Version: "v3"},
				},
			}
		},
		Drain:    func() { leaving.Store(true) },
		Registry: metrics.NewRegistry(),
		Logger:   hclog.NewNullLogger(),
	})
	go func() { _ = server.Serve(listener) }()
	env.Defer(func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// Guards against a line that is too long, such as bytes of a damaged file, hiding the rest of a log.
func TestStorySkipsLongLines(t *testing.T) {
	for name, long := range map[string]string{
		"text": strings.Repeat("x", 10<<20), "one with the request": "request=9c41d07b " + strings.Repeat("x", 100<<10), "zeros": strings.Repeat("\x00", 1<<20),
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "gateway.log")
			text := "event=first request=9c41d07b\n" + long + "\nevent=last request=9c41d07b"
			require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
			var stdout, stderr bytes.Buffer
			require.Equal(t, commander.ExitOK, commander.Run(t.Context(), []string{"clementinectl", "story", "9c41d07b", file}, &stdout, &stderr), stderr.String())
			require.Equal(t, file+": event=first request=9c41d07b\n"+file+": event=last request=9c41d07b\n", stdout.String())
		})
	}
}
