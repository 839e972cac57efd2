package gatekeeper_test

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/loader"
	"clementineramp/platform/imitator"
)

// exhaustedListener is a listener whose first calls of Accept fail because the process has too many open files.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int64
}

// Accept fails, or waits for the next connection.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a gateway that ends, with all requests that it serves, because one connection could not be accepted.
func TestFailedAcceptDoesNotEndTheGateway(t *testing.T) {
	f := newFleetListening(t, func(*loader.Gateway) {}, func(l net.Listener) net.Listener {
		e := &exhaustedListener{Listener: l}
		e.failures.Store(2)
		return e
	})
	f.configure(1, "/a/")
	f.upstream("u", imitator.Plain("ok"))
	f.eventually("the gateway does not serve", func() bool { return f.status("/a/") == 200 })
	require.Contains(t, f.log.String(), "event=peer_accept_failed")
}
