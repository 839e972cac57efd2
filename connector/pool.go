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
	// DefaultIdleTime is the time for which an unused connection is kept if the upstream names no timeout.
	DefaultIdleTime = 2 * time.Second
	// idleMargin is the time before the upstream's own idle timeout at which a connection is given up.
	idleMargin = 800 * time.Millisecond
	// maxIdle bounds the unused connections to one upstream.
	maxIdle = 32
)

// ErrCrowded means that the upstream has as many connections of this process as it may have.
var ErrCrowded = errors.New("too many connections to the upstream")

// Config sets up a Pool; zero fields take the defaults.
type Config struct {
	// Dial opens connections; nil means that of net.Dialer with DialTimeout.
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	DialTimeout time.Duration
	IdleTime    time.Duration
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
	// FreshFor bounds the time for which a reused connection was unused; zero means that of the pool.
	FreshFor time.Duration
}

// Pool is safe for concurrent use.
type Pool struct {
	cfg Config

	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the connections to one upstream.
type peer struct {
	idle []*conn
	// open counts idle and busy connections.
	open int
}

// New returns a pool without connections.
func New(cfg Config) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.IdleTime == 0 {
		cfg.IdleTime = DefaultIdleTime
	}
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: cfg.DialTimeout, KeepAliveConfig: KeepAlive}
		cfg.Dial = d.DialContext
	}
	return &Pool{cfg: cfg, peers: make(map[string]*peer)}
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
		if Quiet(c.nc) {
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
		p.forget(t.Upstream)
		p.mu.Unlock()
		return nil, err
	}
	return newConn(t.Upstream, nc), nil
}

// takeIdle returns the connection that was used last, or nil after it has counted a new one.
func (p *Pool) takeIdle(t Target) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.peers[t.Upstream]
	if e == nil {
		e = &peer{}
		p.peers[t.Upstream] = e
	}
	now := time.Now()
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		e.idle = e.idle[:len(e.idle)-1]
		if now.Before(c.idleUntil) && (t.FreshFor == 0 || now.Sub(c.idleSince) < t.FreshFor) {
			return c, nil
		}
		_ = c.nc.Close()
		e.open--
	}
	if t.MaxConnections > 0 && e.open >= t.MaxConnections {
		return nil, ErrCrowded
	}
	e.open++
	return nil, nil
}

// release takes a connection back; keep says that it can carry another exchange.
func (p *Pool) release(c *conn, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.peers[c.upstream]
	if keep && e != nil && len(e.idle) < maxIdle {
		limit := p.cfg.IdleTime
		if c.idleTimeout > 0 {
			limit = max(c.idleTimeout-idleMargin, 0)
		}
		c.idleSince = time.Now()
		c.idleUntil = c.idleSince.Add(limit)
		e.idle = append(e.idle, c)
		return
	}
	_ = c.nc.Close()
	p.forget(c.upstream)
}

// forget counts a connection out; the lock is held.
func (p *Pool) forget(upstream string) {
	e := p.peers[upstream]
	if e == nil {
		return
	}
	e.open--
	if e.open <= 0 && len(e.idle) == 0 {
		delete(p.peers, upstream)
	}
}

// Sweep closes the connections that were idle for too long and those to upstreams for which keep is false.
func (p *Pool) Sweep(keep func(upstream string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for name, e := range p.peers {
		kept := e.idle[:0]
		for _, c := range e.idle {
			if now.Before(c.idleUntil) && keep(name) {
				kept = append(kept, c)
				continue
			}
			_ = c.nc.Close()
			e.open--
		}
		clear(e.idle[len(kept):])
		e.idle = kept
		if e.open <= 0 && len(e.idle) == 0 {
			delete(p.peers, name)
		}
	}
}

// Open returns the number of connections to all upstreams.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.peers {
		n += e.open
	}
	return n
}

// Quiet reports whether the other side of an unused connection has neither closed it nor sent anything on it that was
// not read.
func Quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errno == syscall.EAGAIN
	})
	return err == nil && quiet
}
