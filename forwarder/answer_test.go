package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/forwarder"
	"clementineramp/judge"
)

// respond returns the address of an agent that answers a call with the given bytes and then ends. It reads the whole call, or
// only its head if it ends early, in which case its system resets the connection.
func respond(t *testing.T, answer string, early bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 1<<10))
		if err != nil {
			return
		}
		if !early {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		_, _ = io.WriteString(c, answer)
		if early {
			time.Sleep(20 * time.Millisecond) // for the answer to arrive before the reset
		}
	}()
	return l.Addr().String()
}

// Guards against a part of an answer that counts as a whole one, because its agent ended in the middle of it: while the body
// of the call is being written, the system may report the reset of the connection to that write alone.
func TestAnswerWithoutLengthIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + encoder.AnswerHeader + ": 1\r\n"
	for name, c := range map[string]struct {
		method, answer string
		size           int
		early, whole   bool
	}{
		"closed":                  {http.MethodPost, head + "\r\npart", 10, false, false},
		"reset during a long one": {http.MethodPost, head + "\r\npart", 8 << 20, true, false},
		"query":                   {http.MethodGet, head + "\r\npart", 0, false, false},
		"length":                  {http.MethodPost, head + "Content-Length: 5\r\n\r\nwhole", 10, false, true},
		"chunks":                  {http.MethodPost, head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 10, false, true},
		"no content":              {http.MethodPost, "HTTP/1.1 204 No Content\r\n" + encoder.AnswerHeader + ": 1\r\n\r\n", 10, false, true},
		"head only":               {http.MethodHead, head + "\r\n", 0, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			client := forwarder.New(forwarder.Config{})
			a, err := client.Call(t.Context(), respond(t, c.answer, c.early), c.method, "/", envelope(), http.Header{}, make([]byte, c.size))
			if c.whole {
				require.NoError(t, err)
				return
			}
			var f *forwarder.Failure
			require.ErrorAs(t, err, &f, "%q counts as a whole answer", a.Body)
			require.Equal(t, judge.MayHaveRun, f.Cause.Verdict)
			require.False(t, f.Answered)
		})
	}
}

// Guards against the first 16 MiB of a longer answer being passed on as a whole one.
func TestLongAnswerIsNotCut(t *testing.T) {
	const limit = 16 << 20
	for size, whole := range map[int]bool{limit: true, limit + 1: false} {
		answer := "HTTP/1.1 200 OK\r\n" + encoder.AnswerHeader + ": 1\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n" + strings.Repeat("x", size)
		a, err := forwarder.New(forwarder.Config{}).Call(t.Context(), respond(t, answer, false), http.MethodPost, "/", envelope(), http.Header{}, nil)
		if whole {
			require.NoError(t, err)
			require.Len(t, a.Body, size)
			continue
		}
		var f *forwarder.Failure
		require.ErrorAs(t, err, &f, "%d of %d bytes count as a whole answer", len(a.Body), size)
		require.Equal(t, judge.Ran, f.Cause.Verdict)
	}
}
