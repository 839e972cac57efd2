package judge

import (
	"errors"
	"net"
	"syscall"
)

// Unsent reports whether an error of an HTTP client excludes that a connection was open, so that nothing was sent.
func Unsent(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial")
}
