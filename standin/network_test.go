package standin_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/standin"
)

// pair opens a connection from process a to process b and returns both ends.
func pair(t *testing.T, n *standin.Network) (client, server net.Conn) {
	l, err := n.Endpoint("b").Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	client, err = n.Endpoint("a").Dial(context.Background(), "tcp", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	return client, server
}

func read(c net.Conn) (string, error) {
	b := make([]byte, 64)
	n, err := c.Read(b)
	return string(b[:n]), err
}

// Guards against a cut link that returns an error to the sender, or that delivers a stream with a gap after it is healed.
func TestNetworkCutDropsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork()
		client, server := pair(t, n)
		n.Cut("a", "b")
		_, err := client.Write([]byte("lost"))
		require.NoError(t, err)
		require.NoError(t, server.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = read(server)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		_, err = server.Write([]byte("back"))
		require.NoError(t, err)
		text, err := read(client)
		require.NoError(t, err)
		require.Equal(t, "back", text, "the other direction is not cut")
		n.Heal("a", "b")
		require.NoError(t, server.SetReadDeadline(time.Time{}))
		_, err = read(server)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}

// Guards against a frozen process that loses bytes, or that delivers them before it is unfrozen.
func TestNetworkFreezeDeliversLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork()
		client, server := pair(t, n)
		n.Freeze("b", true)
		_, err := client.Write([]byte("late"))
		require.NoError(t, err)
		started := time.Now()
		time.AfterFunc(time.Minute, func() { n.Freeze("b", false) })
		text, err := read(server)
		require.NoError(t, err)
		require.Equal(t, "late", text)
		require.Equal(t, time.Minute, time.Since(started))
	})
}

// Guards against a dial that hangs on a cut link, and one that succeeds to a process that refuses connections or was
// killed.
func TestNetworkDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork()
		client, server := pair(t, n)
		address := client.RemoteAddr().String()
		dial := func() error {
			_, err := n.Endpoint("a").Dial(context.Background(), "tcp", address)
			return err
		}
		n.Cut("b", "a")
		require.ErrorIs(t, dial(), os.ErrDeadlineExceeded)
		n.Heal("b", "a")
		n.Refuse("b", true)
		require.ErrorIs(t, dial(), syscall.ECONNREFUSED)
		n.Refuse("b", false)
		n.Kill("b")
		require.ErrorIs(t, dial(), syscall.ECONNREFUSED)
		_, err := read(client)
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = read(server)
		require.Error(t, err)
	})
}

// Guards against missing backpressure from a slow reader, and against data that is lost or reordered under delay.
func TestNetworkBackpressureAndDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork()
		client, server := pair(t, n)
		require.NoError(t, client.SetWriteDeadline(time.Now().Add(time.Second)))
		big := make([]byte, 1<<20)
		for i := range big {
			big[i] = byte(i)
		}
		sent, err := client.Write(big)
		require.True(t, errors.Is(err, os.ErrDeadlineExceeded))
		require.Less(t, sent, len(big))
		require.NoError(t, client.SetWriteDeadline(time.Time{}))
		n.Delay("a", "b", time.Second)
		go func() {
			_, _ = client.Write(big[sent:])
			_ = client.Close()
		}()
		started := time.Now()
		got, err := io.ReadAll(server)
		require.NoError(t, err)
		require.Equal(t, big, got)
		require.GreaterOrEqual(t, time.Since(started), time.Second)
	})
}
