package gossiper_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/gossiper"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

var key = []byte("a key of the test fleet")

// serve starts a Gossiper on loopback and returns it with its address.
func serve(t testing.TB, cfg gossiper.Config) (*gossiper.Gossiper, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cfg.Control = l.Addr().String()
	return serveOn(t, l, cfg), cfg.Control
}

func serveOn(t testing.TB, l net.Listener, cfg gossiper.Config) *gossiper.Gossiper {
	t.Helper()
	if cfg.Key == nil {
		cfg.Key = key
	}
	g, err := gossiper.New(cfg)
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		g.Close()
		<-done
	})
	return g
}

// mergeRecorder records what a Gossiper merged.
type mergeRecorder struct {
	mu    sync.Mutex
	load  []encoder.LoadEntry
	marks []gossiper.Mark
	id    configurer.ID
	peer  string
}

func (r *mergeRecorder) attach(cfg gossiper.Config) gossiper.Config {
	cfg.MergeLoad = func(l []encoder.LoadEntry) { r.mu.Lock(); r.load = l; r.mu.Unlock() }
	cfg.MergeMarks = func(m []gossiper.Mark) { r.mu.Lock(); r.marks = m; r.mu.Unlock() }
	cfg.Observe = func(peer string, id configurer.ID) { r.mu.Lock(); r.peer, r.id = peer, id; r.mu.Unlock() }
	return cfg
}

func entries(name string, n int) []encoder.LoadEntry {
	var out []encoder.LoadEntry
	for i := range n {
		out = append(out, encoder.LoadEntry{
			Upstream: name, Incarnation: 1 << 60, Sequence: uint64(i), Work: 1234.5, AgeMS: 12, UptimeMS: 1_000_000, Version: "2026-12-01",
		})
	}
	return out
}

func TestExchange(t *testing.T) {
	id := configurer.ID{Version: 3, Digest: configurer.DigestOf([]byte("m"))}
	marks := []gossiper.Mark{{Fingerprint: 1<<63 + 1, Count: 2, Blocked: true, RemainingMS: 300_000}}
	var atB, atA mergeRecorder
	b, bAddress := serve(t, atB.attach(gossiper.Config{
		Name: "b", Load: func() []encoder.LoadEntry { return entries("b", 1) },
		Manifest: func(configurer.Digest) ([]byte, bool) { return []byte("m"), true },
		Part:     func(d configurer.Digest) ([]byte, bool) { return []byte("forged"), d == id.Digest },
	}))
	a, aAddress := serve(t, atA.attach(gossiper.Config{
		Name: "a", Load: func() []encoder.LoadEntry { return entries("a", 8) },
		Marks: func() []gossiper.Mark { return marks }, Current: func() configurer.ID { return id },
	}))
	ctx := context.Background()
	s, err := a.Exchange(ctx, bAddress)
	require.NoError(t, err)
	require.Equal(t, gossiper.Protocol, s.Protocol)
	require.Equal(t, entries("a", 8), atB.load)
	require.Equal(t, marks, atB.marks)
	require.Equal(t, id, atB.id)
	require.Equal(t, aAddress, atB.peer)
	require.Equal(t, entries("b", 1), atA.load)

	// An announcement carries no load entries of the sender.
	atB.load = nil
	_, err = a.Announce(ctx, bAddress)
	require.NoError(t, err)
	require.Nil(t, atB.load)

	data, err := a.Manifest(ctx, bAddress, id.Digest)
	require.NoError(t, err)
	require.Equal(t, "m", string(data))
	_, err = a.Part(ctx, bAddress, id.Digest)
	require.ErrorContains(t, err, "has digest", "content that does not match its digest must not be used")
	_, err = b.Part(ctx, aAddress, id.Digest)
	require.ErrorContains(t, err, "no content with digest")
	_, err = a.Part(ctx, bAddress, "../x")
	require.Error(t, err)
}

// Guards against a process that reads or writes control state without holding the shared key.
func TestSharedKey(t *testing.T) {
	var merged atomic.Int64
	_, address := serve(t, gossiper.Config{Name: "b", MergeLoad: func([]encoder.LoadEntry) { merged.Add(1) }})
	unauthorised, _ := serve(t, gossiper.Config{
		Name: "s", Key: []byte("another key of 22 byte"), Load: func() []encoder.LoadEntry { return entries("s", 1) },
	})
	_, err := unauthorised.Exchange(context.Background(), address)
	require.ErrorIs(t, trace.Unwrap(err), gossiper.ErrKey)
	require.Zero(t, merged.Load())

	_, err = gossiper.New(gossiper.Config{Name: "x", Key: []byte("short")})
	require.ErrorContains(t, err, "at least 16")
}

// Guards against a server that accepts its own proof sent back (a reflection attack) or an unfinished handshake.
func TestReflectedProof(t *testing.T) {
	_, address := serve(t, gossiper.Config{Name: "b", Timeout: 200 * time.Millisecond})
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer c.Close()
	hello := append([]byte("clementine/gossip\x00\x01"), make([]byte, 32)...)
	_, err = c.Write(hello)
	require.NoError(t, err)
	response := make([]byte, len(hello)+32)
	_, err = readFull(c, response)
	require.NoError(t, err)
	// The server's own proof must not be accepted as the client's.
	_, err = c.Write(response[len(hello):])
	require.NoError(t, err)
	n, err := c.Read(make([]byte, 1))
	require.Zero(t, n)
	require.Error(t, err)
}

func readFull(c net.Conn, b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m, err := c.Read(b[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Guards against a call that never returns because a frozen peer accepts connections and sends nothing.
func TestFrozenPeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	a, _ := serve(t, gossiper.Config{Name: "a", Timeout: 100 * time.Millisecond})
	_, err = a.Exchange(context.Background(), l.Addr().String())
	require.True(t, trace.IsConnectionProblem(err), "%v", err)

	// This peer freezes after the handshake.
	release := make(chan struct{})
	var once sync.Once
	_, address := serve(t, gossiper.Config{Name: "b", Current: func() configurer.ID { <-release; return configurer.ID{} }})
	defer once.Do(func() { close(release) })
	_, err = a.Exchange(context.Background(), address)
	require.True(t, trace.IsConnectionProblem(err), "%v", err)
	once.Do(func() { close(release) })
	_, err = a.Exchange(context.Background(), address)
	require.NoError(t, err)
}

// Guards against a restarted peer that is unreachable until the open connection to its predecessor times out.
func TestRestartedPeer(t *testing.T) {
	a, _ := serve(t, gossiper.Config{Name: "a"})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	first, err := gossiper.New(gossiper.Config{Name: "b", Key: key})
	require.NoError(t, err)
	go func() { _ = first.Serve(l) }()
	_, err = a.Exchange(context.Background(), address)
	require.NoError(t, err)
	require.NoError(t, l.Close())
	first.Close()
	l, err = net.Listen("tcp", address)
	require.NoError(t, err)
	serveOn(t, l, gossiper.Config{Name: "b2"})
	s, err := a.Exchange(context.Background(), address)
	require.NoError(t, err)
	require.Equal(t, "b2", s.Name)
}

// Guards against an exchange that is sent although the budget does not allow it, and against bytes not counted.
func TestBudget(t *testing.T) {
	var atA, atB atomic.Int64
	var asked atomic.Int64
	var room atomic.Bool
	load := func() []encoder.LoadEntry { return entries("some-upstream-name", 8) }
	_, address := serve(t, gossiper.Config{Name: "b", Load: load, Count: func(sent, received int) { atB.Add(int64(sent + received)) }})
	a, _ := serve(t, gossiper.Config{
		Name: "a", Load: load, Count: func(sent, received int) { atA.Add(int64(sent + received)) },
		Allow: func(n int) bool { asked.Store(int64(n)); return room.Load() },
	})
	ctx := context.Background()
	_, err := a.Exchange(ctx, address)
	require.True(t, trace.IsLimitExceeded(err), "%v", err)
	require.Zero(t, atA.Load())
	require.Positive(t, asked.Load())
	room.Store(true)
	_, err = a.Exchange(ctx, address)
	require.NoError(t, err)
	first := atA.Load()
	_, err = a.Exchange(ctx, address)
	require.NoError(t, err)
	t.Logf("first exchange of 8 entries each way: %d bytes, next on the same connection: %d bytes, asked for %d", first, atA.Load()-first, asked.Load())
	require.Eventually(t, func() bool { return atA.Load() == atB.Load() }, 5*time.Second, time.Millisecond)
	require.InEpsilon(t, atA.Load()-first, asked.Load(), 0.1)
}

// Guards against out-of-range values of a peer that are merged into the load table.
func TestInvalidState(t *testing.T) {
	invalid := [][]encoder.LoadEntry{
		{{Upstream: ""}},
		{{Upstream: "x", Work: -1}},
		{{Upstream: "x", AgeMS: -1}},
		{{Upstream: strings.Repeat("x", 300)}},
		entries("x", 300),
	}
	var merged atomic.Int64
	_, address := serve(t, gossiper.Config{Name: "b", MergeLoad: func([]encoder.LoadEntry) { merged.Add(1) }})
	for _, load := range invalid {
		a, _ := serve(t, gossiper.Config{Name: "a", Load: func() []encoder.LoadEntry { return load }})
		_, err := a.Exchange(context.Background(), address)
		require.Error(t, err)
	}
	require.Zero(t, merged.Load())
}
