package logger_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/logger"
)

func TestAsyncWritesInOrder(t *testing.T) {
	var out bytes.Buffer
	a := logger.NewAsync(&out)
	for i := range 50 {
		fmt.Fprintf(a, "line %d\n", i)
	}
	a.Close()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 50)
	require.Equal(t, "line 49", lines[49])
	_, err := a.Write([]byte("late\n"))
	require.NoError(t, err, "write after Close")
	a.Close()
}

// TestWriteDoesNotBlockOnFullPipe guards against a log that blocks the process when its reader has stopped reading.
func TestWriteDoesNotBlockOnFullPipe(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	a := logger.NewAsync(w)
	for range 100_000 {
		n, err := a.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	a.Close()
}

func TestDroppedLinesAreCounted(t *testing.T) {
	var out bytes.Buffer
	a := logger.NewAsync(&out)
	for range 50_000 {
		_, _ = a.Write([]byte("line\n"))
	}
	a.Close()
	require.Contains(t, out.String(), "event=log_lines_dropped lines=")
	require.Less(t, strings.Count(out.String(), "\n"), 10_000)
}

// Guards against lines that are dropped after the last accepted one and never counted: those at the end of a second
// before a quiet time, and those before Close.
func TestDropsAfterTheLastAcceptedLineAreCounted(t *testing.T) {
	for name, end := range map[string]func(a *logger.Async){
		"quiet time": func(*logger.Async) {
			time.Sleep(2 * time.Second)
			synctest.Wait()
		},
		"close": func(a *logger.Async) { a.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				a := logger.NewAsync(&out)
				defer a.Close()
				for range 400 { // the lines that are accepted per second
					_, _ = a.Write([]byte("line\n"))
				}
				synctest.Wait() // for the queue to be empty
				require.Equal(t, 400, strings.Count(out.String(), "\n"))
				out.Reset()
				for range 7 {
					_, _ = a.Write([]byte("line\n"))
				}
				end(a)
				require.Regexp(t, `^time=\S+ level=warn event=log_lines_dropped lines=7\n$`, out.String())
			})
		})
	}
}
