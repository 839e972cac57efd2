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
	// idleTimeout closes a connection that carried nothing; a peer picked at random is rarely picked again within it.
	idleTimeout = 60 * time.Second
	// maxClientConns bounds the connections that are reused open to peers.
	maxClientConns = 32
	// maxServerConns bounds the connections that peers may hold open.
	maxServerConns = 512
	// frameOverhead is the size of the length prefixes and the header of a message, in bytes.
	frameOverhead = 2*lengthPrefixBytes + 32

	// minReplyEntries is what a peer that sends fewer load entries still gets, since it may have just started.
	minReplyEntries = 8

	serviceName = "Gossip"
)

// Config holds the settings and seams of a Gossiper; a nil function has no effect or gives nothing.
type Config struct {
	// Name and Control are the process's own name and gossip address.
	Name, Control string
	// Key is shared by all processes of the fleet and has at least 16 bytes.
	Key []byte
	// Timeout bounds a connect, a handshake, a write and a call; zero means 2 s.
	Timeout time.Duration

	// Load returns the freshest load entries to send; MergeLoad takes those of a peer.
	Load      func() []encoder.LoadEntry
	MergeLoad func([]encoder.LoadEntry)
	// Marks returns the crash marks to send; MergeMarks takes those of a peer.
	Marks      func() []Mark
	MergeMarks func([]Mark)
	// Fleet returns what the process knows of the past of the fleet; LearnFleet takes what a peer knows.
	Fleet      func() encoder.Fleet
	MergeFleet func(encoder.Fleet)
	// Current returns the configuration in force; Note takes that of a peer with the peer's gossip address.
	Current func() configurer.ID
	Observe func(peer string, id configurer.ID)
	// Manifest and Part return content to serve to peers.
	Manifest, Part func(configurer.Digest) ([]byte, bool)

	// Hosts returns the encoded list of hosts to serve to a peer that starts while the platform is down; nil means none.
	Hosts func() []byte

	// Count is told every byte that is sent or received above TCP.
	Count func(sent, received int)
	// Allow says whether the budget has room for an exchange of a size; nil allows all.
	Allow func(bytes int) bool
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  hclog.Logger
}

// Gossiper serves peers and calls them; it is safe for concurrent use.
type Gossiper struct {
	cfg     Config
	server  *rpc.Server
	clients *lru.Cache[string, *rpc.Client]

	mu          sync.Mutex
	closed      bool
	serverConns map[net.Conn]struct{}
	serverGroup sync.WaitGroup
}

// New returns a Gossiper; the error says which setting is wrong.
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
		cfg.Fleet = func() encoder.Fleet { return encoder.Fleet{} }
	}
	if cfg.MergeFleet == nil {
		cfg.MergeFleet = func(encoder.Fleet) {}
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

// Serve answers peers until the listener or the Gossiper is closed.
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

// Close ends all connections and waits until none is served; the caller closes its listeners first.
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

// state returns what the process knows now; without room in the budget it holds the configuration only.
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

// Exchange sends the process's state to a peer and merges the peer's.
// It sends nothing and returns a trace.LimitExceeded error when the budget has no room.
func (g *Gossiper) Exchange(ctx context.Context, address string) (State, error) {
	s := g.state(true)
	// The answer is assumed to be as large as the question.
	if size := 2 * stateBytes(s); !g.cfg.Allow(size) {
		return State{}, trace.LimitExceeded("gossip: no room for an exchange of %d bytes", size)
	}
	return g.exchange(ctx, address, s)
}

// Announce tells a peer of the newest configuration and asks for that of the peer.
// It does not ask the budget, since a configuration must be in force within seconds and the messages are small.
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

// Manifest returns a manifest that a peer holds; the digest has been checked.
func (g *Gossiper) Manifest(ctx context.Context, address string, d configurer.Digest) ([]byte, error) {
	return g.content(ctx, address, "Manifest", d)
}

// Part returns a part that a peer holds; the digest has been checked.
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

// call calls a method of a peer, and once more on a new connection when the reused one had been closed.
// Every method may be repeated, since none changes anything but knowledge.
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
		// The caller drops the connection: an answer that is late by this much comes from a frozen peer.
		return ctx.Err()
	}
}

// client returns a connection to a peer and whether it was reused from an earlier call.
func (g *Gossiper) client(ctx context.Context, address string) (*rpc.Client, bool, error) {
	if c, ok := g.clients.Get(address); ok {
		return c, true, nil
	}
	conn, err := g.cfg.Dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	// A cancelled call must not wait for the handshake of a frozen peer.
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

// addClient returns c, or the connection that a call at the same time opened before; closing that one would break its calls.
func (g *Gossiper) addClient(address string, c *rpc.Client) (*rpc.Client, bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		_ = c.Close()
		return nil, false, errors.New("the gossiper is closed")
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

// service holds the methods that peers may call.
type service struct{ g *Gossiper }

// Exchange takes a peer's state and answers with the process's own.
func (s *service) Exchange(remote *State, reply *State) error {
	s.g.merge(*remote, remote.Control)
	*reply = s.g.state(!remote.Brief)
	// The peer's own entries show how many its budget has room for.
	reply.Load = reply.Load[:min(len(reply.Load), max(len(remote.Load), minReplyEntries))]
	if !s.g.cfg.Allow(stateBytes(*reply)) {
		*reply = s.g.state(false)
	}
	return nil
}

// Manifest answers with the manifest in force if it has the digest.
func (s *service) Manifest(r *DigestRequest, c *Content) error {
	return serveContent(s.g.cfg.Manifest, r, c)
}

// Part answers with a part.
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
