package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a link does with the bytes that it receives.
type Mode int

const (
	// Pass forwards bytes at once; it is the zero value.
	Pass Mode = iota
	// Delay forwards bytes after linkDelay.
	Delay
	// DropForward drops what the side that opened the connection sends, and forwards the other direction.
	DropForward
	// DropBackward drops what the side that accepted the connection sends, and forwards the other direction.
	DropBackward
	// Blackhole drops everything, and accepts new connections without forwarding them.
	Blackhole
	modes
)

// linkDelay is the delay that a link in mode Delay adds to each chunk that it forwards.
const linkDelay = 150 * time.Millisecond

// linkBufferSize is the maximum number of bytes that a link forwards at a time.
const linkBufferSize = 32 << 10

// link is a TCP proxy in front of one address.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   Mode
	pairs  map[*pair]struct{}
}

// pair is an accepted connection and the connection to the target.
type pair struct {
	from, to net.Conn
}

func (p *pair) close(reset bool) {
	for _, c := range []net.Conn{p.from, p.to} {
		if t, ok := c.(*net.TCPConn); ok && reset {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// newLink listens on a free loopback port and forwards connections to target.
func newLink(target string) *link {
	l := &link{listener: listen(), target: target, pairs: make(map[*pair]struct{})}
	go l.serve()
	return l
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

// setMode changes the mode for new and open connections.
func (l *link) setMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

// retarget forwards new connections to another target and resets the open ones.
func (l *link) retarget(target string) {
	l.mu.Lock()
	l.target = target
	l.mu.Unlock()
	l.reset()
}

func (l *link) currentMode() Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

// reset ends all open connections with a TCP reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.close(true)
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.reset()
}

func (l *link) serve() {
	for {
		from, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(from)
	}
}

func (l *link) proxy(from net.Conn) {
	for l.currentMode() == Blackhole {
		time.Sleep(linkPollInterval)
	}
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	to, err := net.Dial("tcp", target)
	if err != nil {
		(&pair{from: from, to: from}).close(true)
		return
	}
	p := &pair{from: from, to: to}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	l.mu.Unlock()
	done := make(chan bool, 2)
	go func() { done <- l.copy(to, from, DropForward) }()
	go func() { done <- l.copy(from, to, DropBackward) }()
	// When one side closes its connection, the other one is closed in the same way: normally, or with a TCP reset.
	p.close(!<-done)
	<-done
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// linkPollInterval is the time between two checks of whether a new connection to a link in mode Blackhole can be
// forwarded.
const linkPollInterval = 20 * time.Millisecond

// copy forwards one direction until it ends, and reports whether it ended with a normal close.
func (l *link) copy(to io.Writer, from io.Reader, cut Mode) bool {
	b := make([]byte, linkBufferSize)
	lost := false
	for {
		n, err := from.Read(b)
		switch m := l.currentMode(); {
		case m == cut || m == Blackhole:
			lost = lost || n > 0
		case lost:
			return false // Bytes were dropped: TCP would not deliver what follows them.
		case m == Delay:
			time.Sleep(linkDelay)
			fallthrough
		default:
			if _, werr := to.Write(b[:n]); werr != nil {
				return false
			}
		}
		if err != nil {
			return err == io.EOF
		}
	}
}
