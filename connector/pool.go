package connector

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// DefaultDialTimeout bounds the opening of a connection, which takes a few milliseconds within a region.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleTimeout is the time for which an unused connection is kept if the upstream names no timeout.
	DefaultIdleTimeout = 2 * time.Second
	// idleMargin is the time before the upstream's own idle timeout at which a connection is given up.
	idleMargin = 800 * time.Millisecond
	// maxIdleConns bounds the unused connections to one upstream.
	maxIdleConns = 32
)

// ErrTooManyConnections means that the upstream has as many connections of this process as it may have.
var ErrTooManyConnections = errors.New("too many connections to the upstream")

// Config sets up a Pool; zero fields take the defaults.
type Config struct {
	// Dial opens connections; nil means that of net.Dialer with DialTimeout.
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	DialTimeout time.Duration
	IdleTimeout time.Duration
	// OnDial is told each new connection and its outcome; nil means no one is.
	OnDial func(upstream string, took time.Duration, err error)
}

// Target is the upstream of an exchange.
type Target struct {
	// Upstream identifies the incarnation; connections are never shared between two.
	Upstream string
	Address  string
	// MaxConnections bounds the connections to the upstream; zero means no limit.
	MaxConnections int
	// MaxIdleTime bounds the time for which a reused connection was unused; zero means that of the pool.
	MaxIdleTime time.Duration
}

// Pool is safe for concurrent use.
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
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: KeepAlive}
		cfg.Dial = d.DialContext
	}
	return &Pool{cfg: cfg, upstreams: make(map[string]*upstreamConns)}
}

// KeepAlive finds a connection that has gone silent within about three seconds.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// get returns a connection to the target, which the caller must release.
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
	ctx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	start := time.Now()
	nc, err := p.cfg.Dial(ctx, "tcp", t.Address)
	if p.cfg.OnDial != nil {
		p.cfg.OnDial(t.Upstream, time.Since(start), err)
	}
	if err != nil {
		p.mu.Lock()
		p.removeLocked(t.Upstream)
		p.mu.Unlock()
		return nil, err
	}
	return newConn(t.Upstream, nc), nil
}

// takeIdle returns the connection that was used last, or nil after it has counted a new one.
func (p *Pool) takeIdle(t Target) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.upstreams[t.Upstream]
	if u == nil {
		u = &upstreamConns{}
		p.upstreams[t.Upstream] = u
	}
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

// release takes a connection back; keep says that it can carry another exchange.
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

// removeLocked counts a connection out; the lock is held.
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

// Sweep closes the connections that were idle for too long and those to upstreams for which keep is false.
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

// OpenConnections returns the number of connections to all upstreams.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, u := range p.upstreams {
		n += u.open
	}
	return n
}

// Reusable reports whether the other side of an unused connection has neither closed it nor sent anything on it that was
// not read.
func Reusable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errno == syscall.EAGAIN
	})
	return err == nil && reusable
}
