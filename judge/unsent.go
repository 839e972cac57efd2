package judge

import (
	"errors"
	"net"
	"syscall"
)

// Unsent reports whether err, returned by an HTTP client, shows that no connection was established and so no part of
// the request was sent.
func Unsent(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial")
}
