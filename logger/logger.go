package logger

import (
	"io"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Config holds the settings and dependencies of a logger.
type Config struct {
	// Level is the lowest level that is written: trace, debug, info, warn or error; an unknown level means info.
	Level string
	// Output receives each line in one call of Write.
	Output io.Writer
	// Secrets are strings that are never written, such as the shared key; empty ones are ignored.
	Secrets []string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// New returns a logger whose lines begin with the fields time, level, logger (if named) and event, followed by those of
// the event.
//
// Event names and field keys should be constants. Values may be any text.
func New(cfg Config) hclog.Logger {
	level := hclog.LevelFromString(cfg.Level)
	if level == hclog.NoLevel {
		level = hclog.Info
	}
	now := cfg.Now
	if now == nil {
		now = time.Now
	}
	// The text format of hclog writes messages unquoted and spreads a value with newlines over several lines. So its own
	// output is discarded, and a sink, which also receives the lines of the standard logger, writes the lines instead.
	log := hclog.NewInterceptLogger(&hclog.LoggerOptions{Level: level, Output: io.Discard})
	log.RegisterSink(&sink{
		level: log.GetLevel,
		enc:   newEncoder(cfg.Secrets),
		now:   now,
		out:   cfg.Output,
	})
	return log
}

// sink writes each event as one line.
type sink struct {
	level func() hclog.Level
	enc   *encoder
	now   func() time.Time

	mu  sync.Mutex
	out io.Writer
}

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Accept writes one event; it implements hclog.SinkAdapter.
func (s *sink) Accept(name string, level hclog.Level, event string, args ...any) {
	if level == hclog.NoLevel {
		level = hclog.Info
	}
	if level < s.level() {
		return
	}
	line := make([]byte, 0, 256)
	line = append(line, "time="...)
	line = s.now().UTC().AppendFormat(line, timeFormat)
	line = append(line, " level="...)
	line = append(line, level.String()...)
	if name != "" {
		line = append(line, " logger="...)
		line = s.enc.appendValue(line, name, maxEventBytes)
	}
	line = append(line, " event="...)
	line = s.enc.appendValue(line, event, maxEventBytes)
	line = s.enc.appendFields(line, args)
	line = append(line, '\n')

	s.mu.Lock()
	defer s.mu.Unlock()
	// A failure to write the log must not stop the work that is logged.
	_, _ = s.out.Write(line)
}
