package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a worker has accepted.
type arrival struct {
	id, worker string
	at         time.Time
}

// worker is a model worker that serves streams of a few events.
type worker struct {
	id, service, zone, addr string
	srv                     *http.Server
	running                 atomic.Int64

	mu sync.Mutex
	// goneAt is the time at which the store acknowledged that the worker is gone or draining; zero before.
	goneAt   time.Time
	arrivals []arrival
}

// workers numbers the workers of a run.
var workers atomic.Int64

func startWorker(service, zone string) *worker {
	w := &worker{id: fmt.Sprintf("i-%06x%04d", time.Now().UnixNano()&0xffffff, workers.Add(1)), service: service, zone: zone}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("worker: %v", err)
	}
	w.addr = l.Addr().String()
	w.srv = &http.Server{Handler: w}
	go func() { _ = w.srv.Serve(l) }()
	return w
}

// entry is the worker's entry in the store.
func (w *worker) entry(state string) map[string]any {
	return map[string]any{
		"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 48, "State": state,
		"ColdRemainingMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	h := rw.Header()
	h.Set("Attempt-Id", id)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != w.id {
		h.Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.mu.Lock()
	if !w.goneAt.IsZero() { // A worker that leaves says so in its answers.
		h.Set("Server-Leaving", "1")
	}
	w.arrivals = append(w.arrivals, arrival{id: id, worker: w.id, at: time.Now()})
	w.mu.Unlock()
	running := w.running.Add(1)
	defer w.running.Add(-1)
	h.Set("Server-Signature", "s."+w.id+"."+id)
	h.Set("Instance-Load", fmt.Sprintf("%d,0,48", running))
	h.Set("Content-Type", "text/event-stream")
	for i := 1; i <= 10; i++ {
		time.Sleep(60 * time.Millisecond)
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %d of 10\n\n", i, id, i); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
}

// exit ends the worker. Requests that it still serves are cut off.
func (w *worker) exit() {
	note("worker %s exits with %d requests", w.id, w.running.Load())
	_ = w.srv.Close()
}
