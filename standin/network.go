package standin

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// pipeBytes bounds the bytes in flight in one direction of a connection, like a socket buffer.
	pipeBytes = 64 << 10
	// connectTimeout is the time after which dialling over a cut link fails.
	connectTimeout = time.Second
	// firstPort is the port number after which the network starts to assign ports.
	firstPort = 20000
)

// TrafficKind is the kind of an event on the network.
type TrafficKind int

// The kinds of traffic.
const (
	// Connecting is an attempt to open a connection.
	Connecting TrafficKind = iota
	// Sent is a write on a connection.
	Sent
	// Accepted is a connection that the process at its other end accepted from its listener.
	Accepted
)

// Traffic is one event on the network, between the processes From and To.
type Traffic struct {
	Kind TrafficKind
	From string
	To   string
	// Data is the data written, for the kind Sent; it must not be retained or modified.
	Data []byte
}

type linkKey struct{ from, to string }

type link struct {
	cut   bool
	delay time.Duration
}

// Network is an in-memory network between named processes, with faults that can be switched on and off at any time.
// It blocks only on sync primitives and timers, so that it can run inside a testing/synctest bubble.
type Network struct {
	mu        sync.Mutex
	tap       func(Traffic)
	listeners map[string]*memListener
	owners    map[string]string
	links     map[linkKey]link
	frozen    map[string]bool
	refusing  map[string]bool
	conns     map[*memConn]struct{}
	changed   *sync.Cond
	port      int
	closed    bool
}

// NewNetwork returns a network without processes or faults.
func NewNetwork() *Network {
	n := &Network{
		listeners: map[string]*memListener{}, owners: map[string]string{}, links: map[linkKey]link{},
		frozen: map[string]bool{}, refusing: map[string]bool{}, conns: map[*memConn]struct{}{}, port: firstPort,
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// SetTap makes the network call f with every event before the event takes effect, so that f can switch on a fault that
// affects this event.
func (n *Network) SetTap(f func(Traffic)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tap = f
}

// Endpoint returns an endpoint for a new incarnation of a process.
func (n *Network) Endpoint(process string) *Endpoint {
	return &Endpoint{network: n, process: process}
}

// Cut drops bytes from one process to another without an error.
// A connection that lost bytes is reset at Heal, because TCP never delivers a stream with a gap.
func (n *Network) Cut(from, to string) {
	n.setLink(from, to, func(l *link) { l.cut = true })
}

// Delay makes bytes from one process to another arrive after a delay.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.setLink(from, to, func(l *link) { l.delay = d })
}

// Heal removes the faults of the link from one process to another.
func (n *Network) Heal(from, to string) {
	n.setLink(from, to, func(l *link) { *l = link{} })
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.out.lost && c.endpoint.process == from && c.peer.endpoint.process == to {
			c.reset()
		}
	}
}

func (n *Network) setLink(from, to string, change func(*link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[linkKey{from, to}]
	change(&l)
	n.links[linkKey{from, to}] = l
	n.wakeAll()
}

// Refuse makes a process refuse new connections, or accept them again.
func (n *Network) Refuse(process string, refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing[process] = refuse
}

// Freeze holds back all data to and from a process, while its connections stay open and new ones are accepted.
// The data is delivered after the process is unfrozen. The process's own timers keep running.
func (n *Network) Freeze(process string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[process] = frozen
	n.wakeAll()
}

// Kill resets every connection of a process and closes its listeners; their endpoints cannot open new ones.
func (n *Network) Kill(process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		if l.endpoint.process == process {
			l.endpoint.killed = true
			l.close()
		}
	}
	for c := range n.conns {
		if c.endpoint.process == process {
			c.endpoint.killed = true
			c.reset()
		}
	}
	n.wakeAll()
}

// Close resets every connection, closes every listener and refuses new ones.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, l := range n.listeners {
		l.close()
	}
	for c := range n.conns {
		c.reset()
	}
	n.wakeAll()
}

// wakeAll wakes every blocked operation to check its condition again; the caller must hold the lock.
func (n *Network) wakeAll() {
	n.changed.Broadcast()
	for c := range n.conns {
		c.out.cond.Broadcast()
	}
}

func (n *Network) isCut(from, to string) bool {
	return n.links[linkKey{from, to}].cut
}

func (n *Network) frozenEither(a, b string) bool {
	return n.frozen[a] || n.frozen[b]
}

func (n *Network) observe(t Traffic) {
	n.mu.Lock()
	tap := n.tap
	n.mu.Unlock()
	if tap != nil {
		tap(t)
	}
}

// Endpoint is one incarnation of a process on the network; a killed one cannot be used again.
type Endpoint struct {
	network *Network
	process string
	killed  bool
}

// Listen listens on an IP address and port; port 0 means a free one.
func (e *Endpoint) Listen(_, address string) (net.Listener, error) {
	n := e.network
	n.mu.Lock()
	defer n.mu.Unlock()
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if at.Port() == 0 {
		n.port++
		at = netip.AddrPortFrom(at.Addr(), uint16(n.port)) // #nosec G115 -- a network hands out far fewer ports
	}
	key := at.String()
	if n.closed || e.killed {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: net.ErrClosed}
	}
	if n.listeners[key] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	l := &memListener{endpoint: e, key: key, address: net.TCPAddrFromAddrPort(at), cond: sync.NewCond(&n.mu)}
	n.listeners[key] = l
	n.owners[key] = e.process
	return l, nil
}

// Dial opens a connection to an address. While the link is cut in either direction or the dialling process is frozen, it
// blocks, and fails with os.ErrDeadlineExceeded after connectTimeout or when ctx ends. If nothing accepts connections at
// the address, it fails with syscall.ECONNREFUSED.
func (e *Endpoint) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	n := e.network
	n.mu.Lock()
	owner := n.owners[address]
	n.mu.Unlock()
	n.observe(Traffic{Kind: Connecting, From: e.process, To: owner})
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.changed.Broadcast()
	})
	defer stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.frozen[e.process] || n.isCut(e.process, owner) || n.isCut(owner, e.process) {
		if ctx.Err() != nil || e.killed || n.closed {
			return nil, dialError(os.ErrDeadlineExceeded)
		}
		n.changed.Wait()
	}
	l := n.listeners[address]
	if l == nil || n.refusing[owner] || e.killed || n.closed {
		return nil, dialError(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	return l.connect(e), nil
}

func dialError(err error) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: err}
}

// memListener accepts in-memory connections to one address.
type memListener struct {
	endpoint *Endpoint
	key      string
	address  net.Addr
	cond     *sync.Cond
	backlog  []*memConn
	closed   bool
}

// connect creates both ends of a connection and queues the server's end; the caller must hold the lock.
func (l *memListener) connect(from *Endpoint) net.Conn {
	n := l.endpoint.network
	n.port++
	client := &memConn{endpoint: from, local: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: n.port}, remote: l.address}
	server := &memConn{endpoint: l.endpoint, local: l.address, remote: client.local, peer: client}
	client.peer = server
	client.out, server.out = newPipe(&n.mu), newPipe(&n.mu)
	client.in, server.in = server.out, client.out
	n.conns[client] = struct{}{}
	n.conns[server] = struct{}{}
	l.backlog = append(l.backlog, server)
	l.cond.Broadcast()
	return client
}

// Accept waits for a connection; it fails with net.ErrClosed once the listener is closed.
func (l *memListener) Accept() (net.Conn, error) {
	c, err := l.accept()
	if err != nil {
		return nil, err
	}
	l.endpoint.network.observe(Traffic{Kind: Accepted, From: c.peer.endpoint.process, To: l.endpoint.process})
	return c, nil
}

func (l *memListener) accept() (*memConn, error) {
	mu := &l.endpoint.network.mu
	mu.Lock()
	defer mu.Unlock()
	for len(l.backlog) == 0 && !l.closed {
		l.cond.Wait()
	}
	if l.closed {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
	}
	c := l.backlog[0]
	l.backlog = l.backlog[1:]
	return c, nil
}

// Close closes the listener; connections in its backlog are reset.
func (l *memListener) Close() error {
	mu := &l.endpoint.network.mu
	mu.Lock()
	defer mu.Unlock()
	l.close()
	return nil
}

func (l *memListener) close() {
	if l.closed {
		return
	}
	l.closed = true
	delete(l.endpoint.network.listeners, l.key)
	for _, c := range l.backlog {
		c.reset()
	}
	l.backlog = nil
	l.cond.Broadcast()
}

// Addr returns the address that the listener listens on.
func (l *memListener) Addr() net.Addr { return l.address }
