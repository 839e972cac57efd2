package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementineramp/platform/imitator"
)

const (
	// callerTimeout is the time that a caller waits for the end of a response.
	callerTimeout = 3 * time.Second
	// hurriedTimeout is the time that callers wait for the end of one in hurriedOneIn requests, if all kinds of faults are
	// drawn: a gateway that is shutting down accepts those for longer.
	hurriedTimeout = time.Second
	hurriedOneIn   = 3
	// thinkTime is the mean pause of a caller between two requests; the pauses are exponentially distributed.
	thinkTime = 60 * time.Millisecond
	// disconnectOneIn sets the share of requests whose caller disconnects early: one in this many.
	disconnectOneIn = 25
	// streamLength is the number of events of a stream.
	streamLength = 12
)

// kind is a kind of request, which has its own route.
type kind struct {
	path    string
	service string
	// once means that the request must run at most once.
	once bool
	// events is the number of events of the streamed response; zero means a plain response.
	events int
}

var kinds = []kind{
	{path: "/order/", service: plainService, once: true},
	{path: "/read/", service: plainService},
	{path: "/chat/", service: engineService, events: streamLength},
	{path: "/draft/", service: engineService, once: true, events: streamLength},
}

// attempt is one request of a caller with its outcome.
type attempt struct {
	kind
	id, target, body string
	gateway          int
	timeout          time.Duration
	sent, ended      time.Time
	// status is zero if no response header was received.
	status int
	header http.Header
	answer string
	err    error
	// disconnects means that the caller disconnects early on purpose.
	disconnects bool
}

// served reports whether the caller received a complete response with status 200.
func (a *attempt) served() bool {
	return a.err == nil && a.status == http.StatusOK
}

// caller sends requests one after the other and reuses its connection for as long as possible.
type caller struct {
	s       *soak
	n       int
	random  *rand.Rand
	conn    net.Conn
	br      *bufio.Reader
	gateway int
	sent    int
}

func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		a := c.nextAttempt()
		if c.conn == nil && !c.connect() {
			pause(ctx, thinkTime)
			continue
		}
		c.exchange(a)
		c.s.record(a)
		if retry, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
			pause(ctx, time.Duration(retry*float64(time.Second)))
			continue
		}
		pause(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime)))
	}
}

func (c *caller) nextAttempt() *attempt {
	c.sent++
	id := fmt.Sprintf("seed%d-caller%d-%d", c.s.cfg.Seed, c.n, c.sent)
	k := kinds[c.random.IntN(len(kinds))]
	timeout := callerTimeout
	if c.s.cfg.AllFaults && c.sent%hurriedOneIn == 0 {
		timeout = hurriedTimeout
	}
	return &attempt{
		kind: k, id: id, timeout: timeout, target: k.path + strconv.Itoa(c.sent) + "?caller=" + strconv.Itoa(c.n),
		body: "body of " + id, disconnects: c.random.IntN(disconnectOneIn) == 0,
	}
}

// connect opens a connection to a gateway that pickGateway selects, as the load balancer of the platform would. It
// returns false on failure.
func (c *caller) connect() bool {
	g, ok := c.s.pickGateway(c.random)
	if !ok {
		return false
	}
	conn, err := net.DialTimeout("tcp", g.callerLink.address(), time.Second)
	if err != nil {
		return false
	}
	c.conn, c.br, c.gateway = conn, bufio.NewReader(conn), g.n
	return true
}

func (c *caller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// exchange sends a request and reads its response. The connection stays open if both are complete and the response does
// not close it.
func (c *caller) exchange(a *attempt) {
	a.gateway, a.sent = c.gateway, time.Now()
	keep := false
	defer func() {
		a.ended = time.Now()
		if !keep {
			c.disconnect()
		}
	}()
	timeout := a.timeout
	if a.disconnects {
		timeout = time.Duration(c.random.Int64N(int64(callerTimeout / 20)))
	}
	_ = c.conn.SetDeadline(a.sent.Add(timeout)) // On a closed connection the write below fails.
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n", a.target, host,
		imitator.HeaderAttempt, a.id, imitator.HeaderKey, key, imitator.HeaderRemaining, a.timeout.Milliseconds(), len(a.body))
	if a.events > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n%s: 1:100,chat%d:50,%d:10\r\n", lengthHeader, a.events, imitator.HeaderPrompt, c.n%4, c.sent)
	}
	if _, a.err = io.WriteString(c.conn, b.String()+"\r\n"+a.body); a.err != nil {
		return
	}
	var resp *http.Response
	if resp, a.err = http.ReadResponse(c.br, nil); a.err != nil {
		return
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	var answer []byte
	answer, a.err = io.ReadAll(resp.Body)
	a.answer = string(answer)
	keep = a.err == nil && !resp.Close
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
