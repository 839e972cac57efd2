package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// The bounds of the case, those of the sheet of vassmattan-drift.
const (
	drainTime = 2000 * time.Millisecond
	// linger is the time for which a worker serves beyond DrainMs before it exits.
	linger = 1500 * time.Millisecond
	// heartbeat is the interval at which a worker writes its entry.
	heartbeat = 1200 * time.Millisecond
)

// servePlain answers a request after its work.
func servePlain(work time.Duration) func(*worker, *workerConn, *http.Request, []byte) bool {
	return func(w *worker, c *workerConn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Attempt-Id")
		w.run(id)
		time.Sleep(work)
		body := "done " + id + " at " + w.id
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			id, w.id, id, len(body), body)
		return err == nil
	}
}

// The length of a stream: events of a pattern note on the sheet, one every eventPause.
const (
	events     = 55
	eventPause = 20 * time.Millisecond
)

// serveStream answers a request with a stream as long as a pattern note.
func serveStream(w *worker, c *workerConn, r *http.Request, body []byte) bool {
	return serveEvents(events)(w, c, r, body)
}

// serveEvents answers a request with a stream of the given number of events.
func serveEvents(number int) func(*worker, *workerConn, *http.Request, []byte) bool {
	return func(w *worker, c *workerConn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Attempt-Id")
		w.run(id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: %s\r\nServer-Signature: %s.%s\r\nTransfer-Encoding: chunked\r\n\r\n",
			id, w.id, id)
		for n := 1; n <= number && err == nil; n++ {
			time.Sleep(eventPause)
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		}
		if err == nil {
			_, err = fmt.Fprint(c, "0\r\n\r\n")
		}
		return err == nil
	}
}

// foreignEntry is an entry of another writer, in which fields are missing.
func foreignEntry(w *worker) []byte {
	data, _ := json.Marshal(map[string]any{"Service": w.service, "Address": w.address(), "Slots": w.slots, "State": "ready"})
	return data
}

// caseDrain lets a worker drain and exit while another writer writes an entry with missing fields under its id.
func caseDrain(c *caseRun) (broken bool, err error) {
	f, err := newFleet(c.program, 4)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("op/config", configuration(7, standardRoutes(), []tenant{{"t1", []string{"k1"}}}))
	for i := range 6 {
		if err := f.addWorker(fmt.Sprintf("i-e%d", i), "engine", 48, serveStream); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	end := began.Add(16 * time.Second)
	clients := &callers{prefix: "c9"}
	done := make(chan struct{})
	note := request{method: http.MethodPost, path: "/stream/1", key: "k1", body: "a prompt", deadline: 12 * time.Second, chats: 60}
	go func() {
		defer close(done)
		clients.runAll(f, note, 10, 20*time.Millisecond, end)
	}()

	time.Sleep(6 * time.Second)
	w := f.workers[1]
	acknowledged := f.store.put("servers/"+w.id, w.entry("draining"))
	c.record("the store acknowledges that %s is draining at %v", w.id, acknowledged.Sub(began))
	// The worker writes its entry at each heartbeat. The other writer writes between two of them.
	for i := 1; i <= 2; i++ {
		time.Sleep(time.Until(acknowledged.Add(time.Duration(i) * heartbeat)))
		f.store.put("servers/"+w.id, w.entry("draining"))
	}
	if c.trouble {
		time.Sleep(50 * time.Millisecond)
		at := f.store.put("servers/"+w.id, foreignEntry(w))
		c.record("another writer writes %s under the id of %s at %v", foreignEntry(w), w.id, at.Sub(began))
	}
	time.Sleep(time.Until(acknowledged.Add(drainTime + linger)))
	w.mu.Lock()
	running := w.running
	w.mu.Unlock()
	w.close()
	f.store.remove("servers/" + w.id)
	c.record("%s exits at %v with %d requests in progress", w.id, time.Since(began), running)
	<-done

	w.mu.Lock()
	late, ran := 0, 0
	for _, a := range w.seen {
		if a.at.After(acknowledged.Add(drainTime)) {
			late++
			ran += w.runs[a.id]
			c.record("request %s reaches %s at %v, %v after the acknowledgement", a.id, w.id, a.at.Sub(began), a.at.Sub(acknowledged))
		}
	}
	w.mu.Unlock()
	clients.summarise(c, began)
	cut := 0
	for _, a := range clients.answers {
		if a.status == http.StatusOK && !a.whole {
			cut++
		}
	}
	c.record("%d streams were broken off", cut)
	c.record("DRAIN: %d requests reached %s later than DrainMs (%v) after the acknowledgement, %d ran", late, w.id, drainTime, ran)
	return late > 0, nil
}
