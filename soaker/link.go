package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode says what a link does with the bytes that it carries.
type Mode int

const (
	// Pass carries bytes on at once; it is the zero value.
	Pass Mode = iota
	// Delay carries bytes on after a pause.
	Delay
	// DropForward drops what the side that opened the connection sends.
	DropForward
	// DropBackward drops what the other side sends.
	DropBackward
	// Blackhole drops everything, and takes new connections without carrying them on.
	Blackhole
	modes
)

// delay is the pause of a delayed link, once for each piece that it carries.
const linkDelay = 150 * time.Millisecond

// linkBuffer is the most that is carried on at a time.
const linkBufferSize = 32 << 10

// link is a proxy for the TCP connections to one address.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   Mode
	pairs  map[*pair]struct{}
}

// pair is a connection and the one that carries it on.
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

// newLink listens on a port of its own and carries connections on to target.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, pairs: make(map[*pair]struct{})}
	go l.serve()
	return l, nil
}

func (l *link) address() string {
	return l.listener.Addr().String()
}

// set changes what the link does.
func (l *link) setMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
}

// retarget makes new connections go to another target and breaks the old ones.
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

// reset breaks all connections.
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
	// A side that closed is closed towards the other as well; a reset stays a reset.
	p.close(!<-done)
	<-done
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// linkPoll is the pause between looks at whether a silent link carries again.
const linkPollInterval = 20 * time.Millisecond

// copy carries one direction until it ends, and reports whether it ended in order.
func (l *link) copy(to io.Writer, from io.Reader, cut Mode) bool {
	b := make([]byte, linkBufferSize)
	lost := false
	for {
		n, err := from.Read(b)
		switch m := l.currentMode(); {
		case m == cut || m == Blackhole:
			lost = lost || n > 0
		case lost:
			return false // Bytes are missing: TCP would not deliver what follows.
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
