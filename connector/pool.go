package connector

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"clementineramp/timekeeper"
)

const (
	// DefaultDialTimeout bounds the dialling of a connection, which takes a few milliseconds within a region, and far longer
	// while this host gets too little processor time. A request for an upstream that has gone dark waits for it before it is
	// sent to another one.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout is the time for which an idle connection is kept if the upstream announces no timeout.
	DefaultIdleTimeout = 2 * time.Second
	// DefaultHeadTimeout bounds the time from the first byte of a response's head to its last. A head has a few hundred
	// bytes; a lost packet is sent again within a second.
	DefaultHeadTimeout = 2 * time.Second
	// idleMargin is subtracted from the upstream's own idle timeout, so that a connection is not reused at the moment
	// at which the upstream closes it.
	idleMargin = 800 * time.Millisecond
	// maxIdleConns bounds the idle connections to one upstream.
	maxIdleConns = 32
)

// ErrTooManyConnections means that this process already has Target.MaxConnections connections to the upstream.
var ErrTooManyConnections = errors.New("too many connections to the upstream")

var errDialTimeout = errors.New("no connection within the dial timeout")

// Config holds the settings and dependencies of a Pool; a zero field means its default.
type Config struct {
	// Dial opens connections; nil means a net.Dialer with KeepAlive. Its context ends after DialTimeout.
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// HeadTimeout bounds the time to receive the head of a response from its first byte on, and to discard a body.
	HeadTimeout time.Duration
	// OnDial, if not nil, is called after each dial with its duration and error.
	OnDial func(upstream string, took time.Duration, err error)
}

// Target identifies the upstream of an exchange and limits the use of connections to it.
type Target struct {
	// Upstream identifies the incarnation of the upstream; no connection is shared between two incarnations.
	Upstream string
	Address  string
	// MaxConnections bounds the connections to the upstream; zero means no limit.
	MaxConnections int
	// MaxIdleTime is the idle time after which a connection is no longer reused; zero means that only the idle timeout
	// applies.
	MaxIdleTime time.Duration
}

// Pool holds connections to upstreams; it is safe for concurrent use.
type Pool struct {
	cfg Config

	mu        sync.Mutex
	upstreams map[string]*upstreamConns
}

// upstreamConns holds the connections to one upstream.
type upstreamConns struct {
	idle []*conn
	// open counts idle and busy connections.
	open int
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.HeadTimeout == 0 {
		cfg.HeadTimeout = DefaultHeadTimeout
	}
	if cfg.Dial == nil {
		d := &net.Dialer{KeepAliveConfig: KeepAlive}
		cfg.Dial = d.DialContext
	}
	return &Pool{cfg: cfg, upstreams: make(map[string]*upstreamConns)}
}

// KeepAlive detects an unresponsive peer within about three seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// get returns an idle or new connection to the target, which must be passed to release.
func (p *Pool) get(ctx context.Context, t Target) (*conn, error) {
	for {
		c, err := p.takeIdle(t)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if Reusable(c.nc) {
			c.reused = true
			return c, nil
		}
		p.release(c, false)
	}
	return p.dial(ctx, t)
}

// Reservation is an open connection that is kept for one exchange.
type Reservation struct {
	pool *Pool
	conn *conn
}

// Reserve returns an idle or new connection to the target, which must be passed to Do or released.
func (p *Pool) Reserve(ctx context.Context, t Target) (*Reservation, error) {
	c, err := p.get(ctx, t)
	if err != nil {
		return nil, err
	}
	return &Reservation{pool: p, conn: c}, nil
}

// Release returns a connection that has not been used. The idle time of one that had been used before goes on.
func (r *Reservation) Release() {
	if !r.conn.reused {
		r.pool.release(r.conn, true)
		return
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	u := r.pool.conns(r.conn.upstream)
	u.idle = append(u.idle, r.conn)
}

// reservedOr returns the connection of r, or one from get if r is nil or the upstream has closed its connection.
func (p *Pool) reservedOr(ctx context.Context, t Target, r *Reservation) (*conn, error) {
	if r == nil {
		return p.get(ctx, t)
	}
	if Reusable(r.conn.nc) {
		return r.conn, nil
	}
	p.release(r.conn, false)
	return p.get(ctx, t)
}

// Connect opens a connection to the target and keeps it for later exchanges.
func (p *Pool) Connect(ctx context.Context, t Target) error {
	p.mu.Lock()
	u := p.conns(t.Upstream)
	if t.MaxConnections > 0 && u.open >= t.MaxConnections {
		p.mu.Unlock()
		return ErrTooManyConnections
	}
	u.open++
	p.mu.Unlock()
	c, err := p.dial(ctx, t)
	if err != nil {
		return err
	}
	p.release(c, true)
	return nil
}

// dial opens a connection that has been counted as open.
func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	dialCtx, _, cancel := timekeeper.WithTimeout(ctx, p.cfg.DialTimeout, errDialTimeout)
	defer cancel()
	start := time.Now()
	nc, err := p.cfg.Dial(dialCtx, "tcp", t.Address)
	if err != nil && errors.Is(context.Cause(dialCtx), errDialTimeout) {
		err = fmt.Errorf("dial %s: %w", t.Address, errDialTimeout)
	}
	if p.cfg.OnDial != nil {
		p.cfg.OnDial(t.Upstream, time.Since(start), err)
	}
	if err != nil {
		p.mu.Lock()
		p.removeLocked(t.Upstream)
		p.mu.Unlock()
		return nil, err
	}
	return newConn(t.Upstream, nc, p.cfg.HeadTimeout), nil
}

// takeIdle returns the most recently used idle connection. If there is none, it returns nil and counts a new connection
// as open, which its caller must dial; at the limit of connections it returns ErrTooManyConnections.
func (p *Pool) takeIdle(t Target) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.conns(t.Upstream)
	now := time.Now()
	for len(u.idle) > 0 {
		c := u.idle[len(u.idle)-1]
		u.idle = u.idle[:len(u.idle)-1]
		if now.Before(c.idleUntil) && (t.MaxIdleTime == 0 || now.Sub(c.idleSince) < t.MaxIdleTime) {
			return c, nil
		}
		_ = c.nc.Close()
		u.open--
	}
	if t.MaxConnections > 0 && u.open >= t.MaxConnections {
		return nil, ErrTooManyConnections
	}
	u.open++
	return nil, nil
}

// conns returns the connections to an upstream, which are created on first use; p.mu must be held.
func (p *Pool) conns(upstream string) *upstreamConns {
	u := p.upstreams[upstream]
	if u == nil {
		u = &upstreamConns{}
		p.upstreams[upstream] = u
	}
	return u
}

// release returns a connection to the pool if keep is true and the pool has fewer than maxIdleConns idle connections to
// the upstream. Otherwise it closes the connection.
func (p *Pool) release(c *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[c.upstream]
	if keep && u != nil && len(u.idle) < maxIdleConns {
		limit := p.cfg.IdleTimeout
		if c.idleTimeout > 0 {
			limit = max(c.idleTimeout-idleMargin, 0)
		}
		c.idleSince = time.Now()
		c.idleUntil = c.idleSince.Add(limit)
		u.idle = append(u.idle, c)
		return
	}
	_ = c.nc.Close()
	p.removeLocked(c.upstream)
}

// removeLocked decrements the number of open connections to an upstream; p.mu must be held.
func (p *Pool) removeLocked(upstream string) {
	u := p.upstreams[upstream]
	if u == nil {
		return
	}
	u.open--
	if u.open <= 0 && len(u.idle) == 0 {
		delete(p.upstreams, upstream)
	}
}

// Sweep closes the idle connections past their idle timeout and those to upstreams for which keep is false.
func (p *Pool) Sweep(keep func(upstream string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, u := range p.upstreams {
		kept := u.idle[:0]
		for _, c := range u.idle {
			if now.Before(c.idleUntil) && keep(name) {
				kept = append(kept, c)
				continue
			}
			_ = c.nc.Close()
			u.open--
		}
		clear(u.idle[len(kept):])
		u.idle = kept
		if u.open <= 0 && len(u.idle) == 0 {
			delete(p.upstreams, name)
		}
	}
}

// OpenConnections returns the number of idle and busy connections to all upstreams.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, u := range p.upstreams {
		n += u.open
	}
	return n
}

// Reusable reports whether the peer of an idle connection has neither closed it nor sent bytes that are still unread.
// It is true for a connection that is not a syscall.Conn, which cannot be checked.
func Reusable(nc net.Conn) bool {
	_, err := peek(nc)
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, errors.ErrUnsupported)
}

// ClosedByPeer reports whether the peer of a connection has closed or reset it and no unread bytes are left. It is false
// for a connection that is not a syscall.Conn, which cannot be checked.
func ClosedByPeer(nc net.Conn) bool {
	n, err := peek(nc)
	open := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) || errors.Is(err, errors.ErrUnsupported)
	return n == 0 && !open
}

// peek returns the number of unread bytes of a connection, up to one, without waiting for any, even while another goroutine
// reads. The error is that of the operating system: EAGAIN for an open connection without unread bytes, none for a closed
// one. It is errors.ErrUnsupported if the connection is not a syscall.Conn.
func peek(nc net.Conn) (n int, err error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return max(n, 0), cmp.Or(controlErr, err)
}
