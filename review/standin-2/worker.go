package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of a worker of a service. handle answers a request on its connection, and reports whether the
// connection goes on.
type worker struct {
	id, service string
	zone        string
	slots       int
	born        int64
	listener    net.Listener
	handle      func(w *worker, c *workerConn, r *http.Request, body []byte) bool

	mu    sync.Mutex
	runs  map[string]int
	conns map[net.Conn]bool
	seen  []arrival
	// running is the number of requests in progress.
	running int
}

// arrival is a request that reached the worker.
type arrival struct {
	id string
	at time.Time
}

// workerConn is a connection to a worker.
type workerConn struct {
	net.Conn
	br *bufio.Reader
}

func (f *fleet) addWorker(id, service string, slots int, handle func(*worker, *workerConn, *http.Request, []byte) bool) error {
	return f.addWorkerIn("malaren", id, service, slots, handle)
}

// addWorkerIn adds a worker in a zone.
func (f *fleet) addWorkerIn(zone, id, service string, slots int, handle func(*worker, *workerConn, *http.Request, []byte) bool) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &worker{id: id, service: service, zone: zone, slots: slots, born: time.Now().UnixMilli(), listener: l, handle: handle, runs: make(map[string]int), conns: make(map[net.Conn]bool)}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	go w.accept()
	f.store.put("servers/"+id, w.entry("ready"))
	return nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// entry returns the entry of the worker in the store.
func (w *worker) entry(state string) []byte {
	data, _ := json.Marshal(map[string]any{
		"Service": w.service, "Address": w.address(), "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": state,
		"ColdRemainingMs": 0, "Sequence": 4, "born": w.born,
	})
	return data
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(&workerConn{Conn: c, br: bufio.NewReaderSize(c, 64<<10)})
	}
}

func (w *worker) serve(c *workerConn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c.Conn)
		w.mu.Unlock()
	}()
	for {
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		w.mu.Lock()
		w.seen = append(w.seen, arrival{id, time.Now()})
		w.mu.Unlock()
		if e := r.Header.Get("Expected-Instance"); e != "" && e != w.id {
			_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
			if err != nil {
				return
			}
			continue
		}
		w.addRunning(1)
		keep := w.handle(w, c, r, body)
		w.addRunning(-1)
		if !keep {
			return
		}
	}
}

func (w *worker) addRunning(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running += n
}

// run records that the worker runs a request.
func (w *worker) run(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

func (w *worker) close() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}
