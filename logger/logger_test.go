package logger_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/logger"
)

const secret = "sekrit-0123456789"

func newLogger(out io.Writer, level string) hclog.Logger {
	return logger.New(logger.Config{
		Level: level, Output: out, Secrets: []string{secret, "", `quoted"sekrit`},
		Now: func() time.Time { return time.Date(2026, 3, 1, 7, 30, 0, 250e6, time.UTC) },
	})
}

const prefix = "time=2026-03-01T07:30:00.250Z level=info "

type field struct {
	key, value string
}

// parseLine splits a line into its fields as a reader of the log does; it fails on anything but key=value pairs.
func parseLine(line string) ([]field, error) {
	var fields []field
	for rest := line; ; {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"\\") {
			return nil, fmt.Errorf("no key at %q", rest)
		}
		var value string
		if strings.HasPrefix(after, `"`) {
			quoted, err := strconv.QuotedPrefix(after)
			if err != nil {
				return nil, fmt.Errorf("value at %q: %w", after, err)
			}
			if value, err = strconv.Unquote(quoted); err != nil {
				return nil, err
			}
			rest = after[len(quoted):]
		} else {
			value, _, _ = strings.Cut(after, " ")
			rest = after[len(value):]
		}
		fields = append(fields, field{key, value})
		if rest == "" {
			return fields, nil
		}
		if !strings.HasPrefix(rest, " ") {
			return nil, fmt.Errorf("no separator at %q", rest)
		}
		rest = rest[1:]
	}
}

func TestLine(t *testing.T) {
	var out bytes.Buffer
	log := newLogger(&out, "info").Named("router").With("process", "router-1")
	log.Info("choose", "upstream", "vavrad-3", "work", 12.5, "age", 30*time.Millisecond, "ok", true,
		"address", netip.MustParseAddrPort("127.0.0.1:80"), "err", errors.New("connection refused"), "reason", "")
	require.Equal(t, prefix+`logger=router event=choose process=router-1 upstream=vavrad-3 work=12.5 age=30ms `+
		`ok=true address=127.0.0.1:80 err="connection refused" reason=""`+"\n", out.String())
}

// Guards against sub-loggers that ignore the configured level or a later change of it.
func TestLevel(t *testing.T) {
	var out bytes.Buffer
	log := newLogger(&out, "warn")
	log.Named("router").Info("hidden")
	require.False(t, log.IsInfo())
	require.Empty(t, out.String())
	log.SetLevel(hclog.Debug)
	log.Named("router").Debug("shown")
	require.Contains(t, out.String(), "level=debug logger=router event=shown")
}

// Guards against text from a caller that adds a line or field, or hides a part of one.
func TestHostileText(t *testing.T) {
	hostile := []string{
		"a\nlevel=error event=forged", "a\r\nb", "a b=c", `a" event=forged x="`, `a\`, `\"`, `"`, "=", "'", "`",
		"\x1b[2J\x1b[31mred", "\x00", "\x7f", "a\u2028b\u2029c", "a\u0085b", "\u202egnp.exe", "\ufeff", "\xff\xfe broken", " ", "\t", "",
		"Malmö", "日本", strings.Repeat("x", 100_000), strings.Repeat("\n", 100_000), strings.Repeat("é", 100_000),
	}
	for _, text := range hostile {
		requireOneLine(t, text)
	}
}

// requireOneLine logs a text as value, error, key, logger name, event and message of the standard logger. It requires that
// each call writes one well-formed line in which time, level and event occur once.
func requireOneLine(t *testing.T, text string) {
	t.Helper()
	var out bytes.Buffer
	log := newLogger(&out, "info")
	calls := []func(){
		func() { log.Info("refuse", "model", text, "last", "end") },
		func() { log.Info("refuse", "err", errors.New(text), "last", "end") },
		func() { log.Info("refuse", "model", hclog.Fmt("%s", text), "last", "end") },
		func() { log.Info("refuse", "model", hclog.Quote(text), "last", "end") },
		func() { log.Info("refuse", "model", []string{text}, "last", "end") },
		func() { log.With("model", text).Info("refuse", "last", "end") },
		func() { log.Info("refuse", "key"+text, 1, "last", "end") },
		func() { log.Named(text).Info("refuse", "last", "end") },
		func() { log.Info(text, "last", "end") },
		func() { log.Info("refuse", "last", "end", text) },
		func() { log.StandardLogger(nil).Print(text) },
	}
	for i, call := range calls {
		out.Reset()
		call()
		line, ok := strings.CutSuffix(out.String(), "\n")
		require.True(t, ok, "call %d", i)
		require.True(t, utf8.ValidString(line), "call %d", i)
		require.Less(t, len(line), 32<<10, "call %d", i)
		for _, r := range line {
			require.True(t, unicode.IsPrint(r), "call %d: %q in %q", i, r, line)
		}
		fields, err := parseLine(line)
		require.NoError(t, err, "call %d", i)
		require.Equal(t, "time", fields[0].key)
		require.Equal(t, field{"level", "info"}, fields[1])
		require.LessOrEqual(t, len(fields), 6, "call %d: %q", i, line)
		seen := map[string]int{}
		for _, f := range fields {
			seen[f.key]++
		}
		for _, key := range []string{"time", "level", "event"} {
			require.Equal(t, 1, seen[key], "call %d: %q", i, line)
		}
	}
}

// Guards against a key that repeats one of the reserved keys that each line begins with.
func TestReservedKeys(t *testing.T) {
	var out bytes.Buffer
	newLogger(&out, "info").Info("refuse", "level", "error", "event", "forged", "", "x")
	require.Equal(t, prefix+"event=refuse field_level=error field_event=forged field_=x\n", out.String())
}

func TestLongLineIsBounded(t *testing.T) {
	var out bytes.Buffer
	var args []any
	for i := range 1000 {
		args = append(args, "k"+strconv.Itoa(i), strings.Repeat("\n", 3000))
	}
	newLogger(&out, "info").Info("refuse", args...)
	require.Less(t, out.Len(), 32<<10)
	require.Regexp(t, `\.\.\.\(3000 bytes\)" fields_left_out=9\d\d\n$`, out.String())
}

// Guards against a secret in the log, in whichever argument it is passed.
func TestSecrets(t *testing.T) {
	const key = "sk-vassmattan-1"
	tests := []struct {
		name string
		call func(hclog.Logger)
	}{
		{"value", func(l hclog.Logger) { l.Info("x", "err", "key "+secret+" is wrong") }},
		{"error", func(l hclog.Logger) { l.Info("x", "err", fmt.Errorf("dial: %s", secret)) }},
		{"quoted", func(l hclog.Logger) { l.Info("x", "err", fmt.Errorf("dial: %q", `quoted"sekrit`)) }},
		{"event", func(l hclog.Logger) { l.Info(secret) }},
		{"name", func(l hclog.Logger) { l.Named(secret).Info("x") }},
		{"key", func(l hclog.Logger) { l.Info("x", secret, 1) }},
		{"cut", func(l hclog.Logger) { l.Info("x", "text", strings.Repeat("a", 2040)+secret) }},
		{"key cut", func(l hclog.Logger) { l.Info("x", strings.Repeat("a", 58)+secret, 1) }},
		{"standard logger", func(l hclog.Logger) { l.StandardLogger(nil).Print(secret) }},
		{"secret key", func(l hclog.Logger) { l.Info("x", "Authorization", key, "api-key", key, "token", key) }},
		{"header", func(l hclog.Logger) { l.Info("x", "err", `header "Authorization: Bearer `+key+`" is wrong`) }},
		{"header map", func(l hclog.Logger) {
			l.Info("x", "header", map[string][]string{"Authorization": {"bearer " + key}})
		}},
		{"spaces", func(l hclog.Logger) { l.Info("x", "header", "Bearer \t "+key) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			tt.call(newLogger(&out, "info"))
			// Truncation may shorten "(redacted)" itself.
			require.Contains(t, out.String(), "redac")
			require.NotContains(t, out.String(), "sekrit")
			require.NotContains(t, out.String(), key)
		})
	}
}

type panicking struct{}

func (panicking) String() string { panic("broken") }

// Guards against a log call that ends the process, and against lines that mix when several goroutines log.
func TestConcurrentAndPanicking(t *testing.T) {
	var out lockedBuffer
	log := newLogger(&out, "info")
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 50 {
				log.Info("refuse", "value", panicking{}, "nil", nil, "ptr", (*netip.AddrPort)(nil))
			}
		})
	}
	wg.Wait()
	lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
	require.Len(t, lines, 400)
	for _, line := range lines {
		_, err := parseLine(line)
		require.NoError(t, err)
		require.Equal(t, lines[0], line)
	}
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// FuzzLine guards against text that adds a line or field, in whichever part of an event it occurs.
func FuzzLine(f *testing.F) {
	f.Add("a\nlevel=error event=forged")
	f.Add(`a" event=forged x="`)
	f.Add("\x1b[2J\xff\u202e")
	f.Add("Bearer " + secret + "=\"\\")
	f.Fuzz(func(t *testing.T, text string) {
		requireOneLine(t, text)
	})
}

func BenchmarkLine(b *testing.B) {
	log := newLogger(io.Discard, "info").Named("router")
	for b.Loop() {
		log.Info("choose", "upstream", "vavrad-3", "work", 12.5, "model", "a model\n", "reason", "first in order")
	}
}
