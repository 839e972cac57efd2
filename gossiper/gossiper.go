package gossiper

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/go-hclog"
	lru "github.com/hashicorp/golang-lru/v2"

	"clementineramp/configurer"
	"clementineramp/encoder"
)

const (
	defaultTimeout = 2 * time.Second
	// idleTimeout closes an idle connection; a peer picked at random is rarely picked again within this time.
	idleTimeout = 60 * time.Second
	// maxClientConns is the maximum number of open connections to peers.
	maxClientConns = 32
	// maxServerConns is the maximum number of open connections from peers.
	maxServerConns = 512
	// frameOverhead is the size of the length prefixes and the header of a message, in bytes.
	frameOverhead = 2*lengthPrefixBytes + 32

	// minReplyEntries is the number of load entries that a peer receives even if it sent fewer, since it may have just
	// started.
	minReplyEntries = 8

	serviceName = "Gossip"
)

// Config holds the settings and dependencies of a Gossiper. A nil function does nothing or returns the zero value, if
// its comment does not say otherwise.
type Config struct {
	// Name and Control are the process's own name and gossip address.
	Name, Control string
	// Key is the key shared by all processes of the fleet, at least 16 bytes long.
	Key []byte
	// Timeout limits each connect, handshake, write and call; zero means 2 s.
	Timeout time.Duration

	// Load returns the most recent load entries to send; MergeLoad receives those of a peer.
	Load      func() []encoder.LoadEntry
	MergeLoad func([]encoder.LoadEntry)
	// Marks returns the crash marks to send; MergeMarks receives those of a peer.
	Marks      func() []Mark
	MergeMarks func([]Mark)
	// Fleet returns the history of the fleet as known to this process; MergeFleet receives that known to a peer.
	Fleet      func() encoder.FleetHistory
	MergeFleet func(encoder.FleetHistory)
	// Current returns the ID of the current configuration; Observe receives that of a peer with the peer's gossip
	// address.
	Current func() configurer.ID
	Observe func(peer string, id configurer.ID)
	// Manifest and Part return the content with a digest to serve to peers, or false if the process has none.
	Manifest, Part func(configurer.Digest) ([]byte, bool)

	// Hosts returns the encoded list of hosts to serve to a peer that starts while the platform is down. An empty result
	// means that no list is known.
	Hosts func() []byte

	// Count is called with the number of bytes of each write and read above TCP.
	Count func(sent, received int)
	// Allow reports whether the traffic budget allows an exchange of a size in bytes; nil allows all.
	Allow func(bytes int) bool
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  hclog.Logger
}

// Gossiper serves the calls of peers and calls them; it is safe for concurrent use.
type Gossiper struct {
	cfg     Config
	server  *rpc.Server
	clients *lru.Cache[string, *rpc.Client]

	mu          sync.Mutex
	closed      bool
	serverConns map[net.Conn]struct{}
	serverGroup sync.WaitGroup
}

// New returns a Gossiper. It returns a trace.BadParameter error if the key is shorter than 16 bytes or the name is
// missing.
func New(cfg Config) (*Gossiper, error) {
	if len(cfg.Key) < minKeyBytes {
		return nil, trace.BadParameter("gossip: the shared key has %d bytes, want at least %d", len(cfg.Key), minKeyBytes)
	}
	if cfg.Name == "" {
		return nil, trace.BadParameter("gossip: the process's name is missing")
	}
	setDefaults(&cfg)
	g := &Gossiper{cfg: cfg, server: rpc.NewServer(), serverConns: map[net.Conn]struct{}{}}
	clients, err := lru.NewWithEvict(maxClientConns, func(_ string, c *rpc.Client) { _ = c.Close() })
	if err != nil {
		return nil, trace.Wrap(err)
	}
	g.clients = clients
	return g, trace.Wrap(g.server.RegisterName(serviceName, &service{g}))
}

func setDefaults(cfg *Config) {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Load == nil {
		cfg.Load = func() []encoder.LoadEntry { return nil }
	}
	if cfg.MergeLoad == nil {
		cfg.MergeLoad = func([]encoder.LoadEntry) {}
	}
	if cfg.Marks == nil {
		cfg.Marks = func() []Mark { return nil }
	}
	if cfg.MergeMarks == nil {
		cfg.MergeMarks = func([]Mark) {}
	}
	if cfg.Fleet == nil {
		cfg.Fleet = func() encoder.FleetHistory { return encoder.FleetHistory{} }
	}
	if cfg.MergeFleet == nil {
		cfg.MergeFleet = func(encoder.FleetHistory) {}
	}
	if cfg.Current == nil {
		cfg.Current = func() configurer.ID { return configurer.ID{} }
	}
	if cfg.Observe == nil {
		cfg.Observe = func(string, configurer.ID) {}
	}
	none := func(configurer.Digest) ([]byte, bool) { return nil, false }
	if cfg.Manifest == nil {
		cfg.Manifest = none
	}
	if cfg.Part == nil {
		cfg.Part = none
	}
	if cfg.Count == nil {
		cfg.Count = func(int, int) {}
	}
	if cfg.Allow == nil {
		cfg.Allow = func(int) bool { return true }
	}
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
}

// Serve serves peers until the listener is closed, and then returns nil. It closes new connections once the Gossiper is
// closed or has 512 open ones.
func (g *Gossiper) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return trace.Wrap(err)
		}
		if !g.track(c) {
			_ = c.Close()
			continue
		}
		go func() {
			defer g.untrack(c)
			g.serveConn(c)
		}()
	}
}

func (g *Gossiper) track(c net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || len(g.serverConns) >= maxServerConns {
		return false
	}
	g.serverConns[c] = struct{}{}
	g.serverGroup.Add(1)
	return true
}

func (g *Gossiper) untrack(c net.Conn) {
	g.mu.Lock()
	delete(g.serverConns, c)
	g.mu.Unlock()
	_ = c.Close()
	g.serverGroup.Done()
}

func (g *Gossiper) serveConn(c net.Conn) {
	m := &meteredConn{Conn: c, count: g.cfg.Count}
	if err := acceptHandshake(m, g.cfg.Key, g.cfg.Timeout); err != nil {
		g.cfg.Log.Warn("gossip_connection_refused", "peer", c.RemoteAddr().String(), "error", err.Error())
		return
	}
	g.server.ServeCodec(serverCodec{newFramedConn(m.setTimeouts(idleTimeout, g.cfg.Timeout), maxRequestBytes)})
}

// Close closes all connections and waits until none is served. Listeners must be closed first.
func (g *Gossiper) Close() {
	g.mu.Lock()
	g.closed = true
	for c := range g.serverConns {
		_ = c.Close()
	}
	g.mu.Unlock()
	g.clients.Purge()
	g.serverGroup.Wait()
}

// state returns the process's present state; load entries and crash marks are included only if full is set.
func (g *Gossiper) state(full bool) State {
	s := State{Protocol: Protocol, Name: g.cfg.Name, Control: g.cfg.Control, Current: g.cfg.Current(), Fleet: g.cfg.Fleet()}
	if full {
		s.Load = g.cfg.Load()
		s.Marks = g.cfg.Marks()
	}
	return s
}

func (g *Gossiper) merge(s State, address string) {
	g.cfg.MergeFleet(s.Fleet)
	if len(s.Load) > 0 {
		g.cfg.MergeLoad(s.Load)
	}
	if len(s.Marks) > 0 {
		g.cfg.MergeMarks(s.Marks)
	}
	if s.Current.Version > 0 && address != "" {
		g.cfg.Observe(address, s.Current)
	}
}

// Exchange sends the process's state to a peer and merges the peer's state, which it returns.
// If the budget does not allow the exchange, it sends nothing and returns a trace.LimitExceeded error.
func (g *Gossiper) Exchange(ctx context.Context, address string) (State, error) {
	s := g.state(true)
	// The response is assumed to be as large as the request.
	if size := 2 * stateBytes(s); !g.cfg.Allow(size) {
		return State{}, trace.LimitExceeded("gossip: no room for an exchange of %d bytes", size)
	}
	return g.exchange(ctx, address, s)
}

// Announce sends the ID of the current configuration to a peer and merges the peer's state, without load and marks.
// It does not check the budget, since a configuration must reach all processes within seconds and the messages are
// small.
func (g *Gossiper) Announce(ctx context.Context, address string) (State, error) {
	s := g.state(false)
	s.Brief = true
	return g.exchange(ctx, address, s)
}

func (g *Gossiper) exchange(ctx context.Context, address string, s State) (State, error) {
	reply, err := call[State](ctx, g, address, "Exchange", &s)
	if err != nil {
		return State{}, err
	}
	g.merge(*reply, address)
	return *reply, nil
}

func stateBytes(s State) int {
	data, err := EncodeState(s)
	if err != nil {
		return 0
	}
	return len(data) + frameOverhead
}

// Manifest fetches the manifest with a digest from a peer. Content with another digest is an error.
func (g *Gossiper) Manifest(ctx context.Context, address string, d configurer.Digest) ([]byte, error) {
	return g.content(ctx, address, "Manifest", d)
}

// Part fetches the part with a digest from a peer. Content with another digest is an error.
func (g *Gossiper) Part(ctx context.Context, address string, d configurer.Digest) ([]byte, error) {
	return g.content(ctx, address, "Part", d)
}

func (g *Gossiper) content(ctx context.Context, address, method string, d configurer.Digest) ([]byte, error) {
	reply, err := call[Content](ctx, g, address, method, &DigestRequest{Digest: d})
	if err != nil {
		return nil, err
	}
	if got := configurer.DigestOf(reply.Data); got != d {
		return nil, trace.BadParameter("gossip: %s from %s has digest %s, want %s", method, address, got, d)
	}
	return reply.Data, nil
}

// call calls a method of a peer, and retries on another connection if the call failed on a reused one, which the peer
// may have closed. Every method may be retried, since a repeated merge of state has no further effect.
func call[R any](ctx context.Context, g *Gossiper, address, method string, args any) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, g.cfg.Timeout)
	defer cancel()
	for {
		client, reused, err := g.client(ctx, address)
		if err != nil {
			return nil, trace.ConnectionProblem(err, "gossip: connect to %s", address)
		}
		reply := new(R)
		err = callClient(ctx, client, method, args, reply)
		if err == nil {
			return reply, nil
		}
		var serverErr rpc.ServerError
		if errors.As(err, &serverErr) {
			return nil, trace.Errorf("gossip: %s at %s: %v", method, address, serverErr)
		}
		g.dropClient(address, client)
		if !reused || ctx.Err() != nil {
			return nil, trace.ConnectionProblem(err, "gossip: %s at %s", method, address)
		}
	}
}

func callClient(ctx context.Context, client *rpc.Client, method string, args, reply any) error {
	c := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-c.Done:
		return c.Error
	case <-ctx.Done():
		// The caller drops the connection, since a peer that is this late is unresponsive.
		return ctx.Err()
	}
}

// client returns a connection to a peer and whether an earlier call opened it.
func (g *Gossiper) client(ctx context.Context, address string) (*rpc.Client, bool, error) {
	if c, ok := g.clients.Get(address); ok {
		return c, true, nil
	}
	conn, err := g.cfg.Dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	// A cancelled call must not wait for the handshake of an unresponsive peer.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	m := &meteredConn{Conn: conn, count: g.cfg.Count}
	if err := dialHandshake(m, g.cfg.Key, g.cfg.Timeout); err != nil {
		_ = conn.Close()
		return nil, false, err
	}
	c := rpc.NewClientWithCodec(clientCodec{newFramedConn(m.setTimeouts(idleTimeout, g.cfg.Timeout), maxResponseBytes)})
	return g.addClient(address, c)
}

// addClient registers and returns c. If a concurrent call has registered another connection, it closes c and returns
// the registered one, since closing that one would break its calls.
func (g *Gossiper) addClient(address string, c *rpc.Client) (*rpc.Client, bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = c.Close()
		return nil, false, errors.New("gossip: closed")
	}
	if existing, ok := g.clients.Get(address); ok {
		_ = c.Close()
		return existing, true, nil
	}
	g.clients.Add(address, c)
	return c, false, nil
}

func (g *Gossiper) dropClient(address string, c *rpc.Client) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if current, ok := g.clients.Peek(address); ok && current == c {
		g.clients.Remove(address)
		return
	}
	_ = c.Close()
}

// service has the methods that peers may call.
type service struct{ g *Gossiper }

// Exchange merges a peer's state and replies with the state of this process.
func (s *service) Exchange(remote *State, reply *State) error {
	s.g.merge(*remote, remote.Control)
	*reply = s.g.state(!remote.Brief)
	// The number of entries that the peer sent shows how many its budget allows.
	reply.Load = reply.Load[:min(len(reply.Load), max(len(remote.Load), minReplyEntries))]
	if !s.g.cfg.Allow(stateBytes(*reply)) {
		*reply = s.g.state(false)
	}
	return nil
}

// Manifest replies with the manifest of the current configuration if it has the digest, otherwise with an error.
func (s *service) Manifest(r *DigestRequest, c *Content) error {
	return serveContent(s.g.cfg.Manifest, r, c)
}

// Part replies with the part that has the digest, or with an error if the process does not have it.
func (s *service) Part(r *DigestRequest, c *Content) error {
	return serveContent(s.g.cfg.Part, r, c)
}

func serveContent(find func(configurer.Digest) ([]byte, bool), r *DigestRequest, c *Content) error {
	data, ok := find(r.Digest)
	if !ok {
		return fmt.Errorf("no content with digest %s", r.Digest)
	}
	c.Data = data
	return nil
}
