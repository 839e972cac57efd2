package subscriber_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"clementineramp/standin"
	"clementineramp/subscriber"
)

func serve(t *testing.T, p *standin.Platform) string {
	t.Helper()
	srv := httptest.NewServer(p.Handler())
	t.Cleanup(srv.Close)
	t.Cleanup(func() { p.SetDown(true) })
	return strings.TrimPrefix(srv.URL, "http://")
}

var host = subscriber.Host{
	Name: "h1", Address: "127.0.0.1:1", Control: "127.0.0.1:2", Domain: "d1",
	Role: subscriber.RoleAgent, Upstream: "vavrad", State: subscriber.StateLive,
}

func TestReads(t *testing.T) {
	p := standin.NewPlatform()
	c := subscriber.New(subscriber.Config{Addresses: []string{serve(t, p)}})
	ctx := context.Background()

	_, err := c.Value(ctx, "config/manifest")
	require.True(t, trace.IsNotFound(err), "%v", err)
	p.SetValue("config/manifest", []byte("one"))
	v, err := c.Value(ctx, "config/manifest")
	require.NoError(t, err)
	require.Equal(t, "one", string(v.Data))

	p.SetHosts([]subscriber.Host{host})
	l, err := c.Hosts(ctx)
	require.NoError(t, err)
	require.Equal(t, []subscriber.Host{host}, l.Hosts)
	require.Greater(t, l.Revision, v.Revision)
	require.Equal(t, 3, p.Reads())
}

// Guards against a watch that misses a change, and against one that never returns while nothing changes.
func TestWatch(t *testing.T) {
	p := standin.NewPlatform()
	p.WatchTimeout = 50 * time.Millisecond
	c := subscriber.New(subscriber.Config{Addresses: []string{serve(t, p)}})
	ctx := context.Background()
	p.SetValue("k", []byte("one"))
	first, err := c.WatchValue(ctx, "k", 0)
	require.NoError(t, err)
	unchanged, err := c.WatchValue(ctx, "k", first.Revision)
	require.NoError(t, err)
	require.Equal(t, first, unchanged)

	p.WatchTimeout = time.Minute
	done := make(chan subscriber.Value, 1)
	go func() {
		v, _ := c.WatchValue(ctx, "k", first.Revision)
		done <- v
	}()
	require.Eventually(t, func() bool { return p.Waiting() == 1 }, 5*time.Second, time.Millisecond)
	p.SetValue("k", []byte("two"))
	require.Equal(t, "two", string((<-done).Data))

	hosts, err := c.WatchHosts(ctx, 0)
	require.NoError(t, err)
	require.Empty(t, hosts.Hosts)
}

func TestPlatformFaults(t *testing.T) {
	p := standin.NewPlatform()
	c := subscriber.New(subscriber.Config{Addresses: []string{serve(t, p)}})
	ctx := context.Background()
	p.SetValue("k", []byte("old"))

	p.SetStale(true)
	p.SetValue("k", []byte("new"))
	v, err := c.Value(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, "old", string(v.Data))
	p.SetStale(false)
	v, err = c.Value(ctx, "k")
	require.NoError(t, err)
	require.Equal(t, "new", string(v.Data))

	p.SetDown(true)
	_, err = c.Value(ctx, "k")
	require.True(t, trace.IsConnectionProblem(err), "%v", err)
	p.SetDown(false)

	p.SetReadRate(1)
	_, err = c.Value(ctx, "k")
	require.NoError(t, err)
	_, err = c.Value(ctx, "k")
	require.True(t, trace.IsLimitExceeded(err), "%v", err)
}

// Guards against reads that all fail because one of the platform's addresses is unreachable.
func TestAddressFailover(t *testing.T) {
	p := standin.NewPlatform()
	p.SetValue("k", []byte("x"))
	closed := httptest.NewServer(http.NotFoundHandler())
	unreachable := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	c := subscriber.New(subscriber.Config{Addresses: []string{unreachable, serve(t, p)}})
	v, err := c.Value(context.Background(), "k")
	require.NoError(t, err)
	require.Equal(t, "x", string(v.Data))
}

func TestValueTooLarge(t *testing.T) {
	p := standin.NewPlatform()
	p.SetValue("k", make([]byte, subscriber.MaxValueBytes+1))
	c := subscriber.New(subscriber.Config{Addresses: []string{serve(t, p)}})
	_, err := c.Value(context.Background(), "k")
	require.ErrorContains(t, err, "larger than")
}

type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{c, &l.bytes}, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Guards against a byte count that differs by more than 1 % from the bytes on the connection.
func TestByteCount(t *testing.T) {
	p := standin.NewPlatform()
	p.SetValue("config/manifest", make([]byte, 200))
	srv := httptest.NewUnstartedServer(p.Handler())
	l := &countingListener{Listener: srv.Listener}
	srv.Listener = l
	srv.Start()
	var counted atomic.Int64
	c := subscriber.New(subscriber.Config{
		Addresses: []string{strings.TrimPrefix(srv.URL, "http://")},
		Count:     func(sent, received int) { counted.Add(int64(sent + received)) },
	})
	for range 20 {
		_, err := c.Value(context.Background(), "config/manifest")
		require.NoError(t, err)
	}
	// The server counts a write only after it has returned, when the client may already have the response.
	srv.Close()
	t.Logf("counted %d bytes, on the connection %d", counted.Load(), l.bytes.Load())
	require.InEpsilon(t, l.bytes.Load(), counted.Load(), 0.01)
}

func TestDecodeHostList(t *testing.T) {
	valid := `{"name":"a","address":"10.0.0.1:80","control":"10.0.0.1:81","domain":"d","role":"router","state":"live"}`
	tests := []struct{ name, json, err string }{
		{"valid", valid, ""},
		{"duplicate", valid + "," + valid, "listed twice"},
		{"name", strings.Replace(valid, `"a"`, `""`, 1), "field name"},
		{"address", strings.Replace(valid, "10.0.0.1:80", "host.example:80", 1), "field address"},
		{"control", strings.Replace(valid, "10.0.0.1:81", "x", 1), "field control"},
		{"domain", strings.Replace(valid, `"d"`, `""`, 1), "field domain"},
		{"role", strings.Replace(valid, "router", "proxy", 1), "want router or agent"},
		{"upstream", strings.Replace(valid, "router", "agent", 1), "field upstream"},
		{"state", strings.Replace(valid, "live", "dead", 1), "want live or leaving"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := subscriber.DecodeHostList([]byte(`{"hosts":[` + tt.json + `]}`))
			if tt.err == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, tt.err)
		})
	}
}

func FuzzDecodeHostList(f *testing.F) {
	f.Add([]byte(`{"revision":1,"hosts":[{"name":"a","address":"10.0.0.1:80","control":"10.0.0.1:81","domain":"d","role":"router","state":"live"}]}`))
	f.Add([]byte(`{"hosts":[null,{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := subscriber.DecodeHostList(data)
		if err != nil {
			return
		}
		for _, h := range l.Hosts {
			require.NotEmpty(t, h.Name)
			require.NotEmpty(t, h.Domain)
		}
	})
}
