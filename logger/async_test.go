package logger_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

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
