package agent

import (
	"net/http"
	"sync"
	"time"

	"clementineramp/encoder"
)

// heartbeatInterval is the time between two signs of life to a router that waits for the first byte of an answer.
// A router takes an agent that stays silent for several of them for frozen.
const heartbeatInterval = 500 * time.Millisecond

// heartbeat sends informational responses until the response itself begins, so that a router can tell a request
// that waits in the queue from an agent that is frozen.
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

// report tells the router the agent's load at once, so that it does not learn of an admission only with the first
// token.
func (b *heartbeat) report(own encoder.LoadEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.w.Header().Set(encoder.ReportHeader, encoder.EncodeHeader(encoder.Report{Self: own}))
	b.w.WriteHeader(http.StatusProcessing)
	b.w.Header().Del(encoder.ReportHeader)
}

// beat sends one sign of life.
func (b *heartbeat) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.w.WriteHeader(http.StatusProcessing)
}

// stop ends the heartbeat and waits until nothing uses the response any more.
func (b *heartbeat) stop() {
	b.once.Do(func() { close(b.quit) })
	<-b.done
}
