package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id, gateway string
	sent        time.Time
	took        time.Duration
	// status is zero if the connection ended without an answer; whole is set if the answer was complete.
	status int
	whole  bool
	body   string
	err    string
}

// callers is a set of clients, each with a kept connection to one gateway.
type callers struct {
	mu      sync.Mutex
	answers []answer
	serial  atomic.Int64
	prefix  string
	// stop ends the clients before their time.
	stop atomic.Bool
}

// request describes the requests of a client.
type request struct {
	method, path, key string
	body              string
	deadline          time.Duration
	// chats is the number of chats that the requests belong to; zero means that they have no prompt.
	chats int64
	// tick, if not zero, makes the clients send together, at each multiple of it.
	tick time.Duration
	// part, if not empty, is the second part of the prompts in place of that of a chat.
	part string
}

// run sends requests to one gateway with the given pause between them until the end.
func (c *callers) run(g *gateway, r request, pause time.Duration, end time.Time) {
	var nc net.Conn
	var br *bufio.Reader
	for time.Now().Before(end) && !c.stop.Load() {
		if nc == nil {
			if g.out.Load() {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			var err error
			if nc, err = net.DialTimeout("tcp", g.listen, time.Second); err != nil {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			br = bufio.NewReader(nc)
		}
		a, keep := c.send(g, nc, br, r)
		c.mu.Lock()
		c.answers = append(c.answers, a)
		c.mu.Unlock()
		if !keep {
			_ = nc.Close()
			nc = nil
		}
		if r.tick > 0 {
			time.Sleep(time.Until(nextTick(r.tick)))
		}
		time.Sleep(pause)
	}
	if nc != nil {
		_ = nc.Close()
	}
}

// nextTick returns the next multiple of a time.
func nextTick(tick time.Duration) time.Time { return time.Now().Truncate(tick).Add(tick) }

// send sends one request and reads its answer.
func (c *callers) send(g *gateway, nc net.Conn, br *bufio.Reader, r request) (a answer, keep bool) {
	serial := c.serial.Add(1)
	a = answer{id: fmt.Sprintf("%s%08x", c.prefix, serial), gateway: g.name, sent: time.Now()}
	defer func() { a.took = time.Since(a.sent) }()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\nDeadline-Remaining-Ms: %d\r\nKey: %s\r\n",
		r.method, r.path, a.id, r.deadline.Milliseconds(), r.key)
	if r.chats > 0 {
		part := r.part
		if part == "" {
			part = fmt.Sprintf("%x", serial%r.chats)
		}
		head += fmt.Sprintf("Model-Name: m\r\nToken-Usage: 1612,55\r\nPrompt-Prefix-Hash: aa:512,%s:1000,%s:100\r\n", part, a.id)
	}
	if r.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	_ = nc.SetDeadline(time.Now().Add(r.deadline + 200*time.Millisecond))
	if _, err := io.WriteString(nc, head+"\r\n"+r.body); err != nil {
		a.err = err.Error()
		return a, false
	}
	resp, err := http.ReadResponse(br, &http.Request{Method: r.method})
	if err != nil {
		a.err = err.Error()
		return a, false
	}
	a.status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	a.body, a.whole = string(data), err == nil
	if err != nil {
		a.err = err.Error()
	}
	return a, err == nil && !resp.Close
}

// runAll runs the given number of clients at each gateway until the end.
func (c *callers) runAll(f *fleet, r request, each int, pause time.Duration, end time.Time) {
	var wg sync.WaitGroup
	for _, g := range f.gateways {
		for range each {
			wg.Go(func() { c.run(g, r, pause, end) })
		}
	}
	wg.Wait()
}
