package main

import (
	"net"
	"sync"
)

// cutLink is a proxy in front of an address that can be cut silently: it then passes on nothing in either direction.
type cutLink struct {
	addr, target string
	// ip is the address from which the target is called.
	ip string

	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

func newCutLink(ip, target string) *cutLink {
	l := &cutLink{target: target, ip: ip}
	l.cond = sync.NewCond(&l.mu)
	nl, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("link: %v", err)
	}
	l.addr = nl.Addr().String()
	go func() {
		for {
			c, err := nl.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l
}

// set cuts the link or mends it.
func (l *cutLink) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.cond.Broadcast()
}

// await waits while the link is cut.
func (l *cutLink) await() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.cut {
		l.cond.Wait()
	}
}

func (l *cutLink) serve(c net.Conn) {
	defer c.Close()
	l.await()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(l.ip)}}
	t, err := d.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer t.Close()
	go l.copy(t, c)
	l.copy(c, t)
}

func (l *cutLink) copy(to, from net.Conn) {
	defer to.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		l.await()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
