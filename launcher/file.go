package launcher

import (
	"context"
	"io"

	"github.com/gravitational/trace"

	"clementineramp/loader"
	"clementineramp/logger"
)

// RunFile runs the daemon of a settings file and logs to log. When ctx ends, it shuts down gracefully and returns.
func RunFile(ctx context.Context, file string, log io.Writer) error {
	cfg, err := loader.Load(file)
	if err != nil {
		return trace.Wrap(err)
	}
	l := logger.New(logger.Config{Level: cfg.LogLevel, Output: log, Secrets: []string{cfg.SharedKey.Reveal()}})
	p, err := New(cfg, l, Options{})
	if err != nil {
		return trace.Wrap(err)
	}
	return p.Run(ctx)
}
