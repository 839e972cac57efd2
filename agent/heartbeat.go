package agent

import (
	"net/http"
	"sync"
	"time"

	"clementineramp/encoder"
)

// heartbeatInterval is the time between two informational responses to a router that waits for the first byte of an
// answer. A router treats an agent that sends nothing for several intervals as unresponsive.
const heartbeatInterval = 500 * time.Millisecond

// heartbeat sends informational responses until the response itself begins, so that a router can distinguish a queued
// request from an unresponsive agent.
type heartbeat struct {
	w    http.ResponseWriter
	mu   sync.Mutex
	once sync.Once
	quit chan struct{}
	done chan struct{}
}

func startHeartbeat(w http.ResponseWriter) *heartbeat {
	b := &heartbeat{w: w, quit: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

func (b *heartbeat) run() {
	defer close(b.done)
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-b.quit:
			return
		case <-t.C:
			b.beat()
		}
	}
}

// report sends the agent's load at once, so that the router receives the load after the admission before the first token.
func (b *heartbeat) report(own encoder.LoadEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.w.Header().Set(encoder.ReportHeader, encoder.EncodeHeader(encoder.Report{Self: own}))
	b.w.WriteHeader(http.StatusProcessing)
	b.w.Header().Del(encoder.ReportHeader)
}

// beat sends one informational response.
func (b *heartbeat) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.w.WriteHeader(http.StatusProcessing)
}

// stop ends the heartbeat and waits until it no longer uses the ResponseWriter.
func (b *heartbeat) stop() {
	b.once.Do(func() { close(b.quit) })
	<-b.done
}
