package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// contactThreshold is ContactThresholdMs of the sheet.
	contactThreshold = 3 * time.Second
	// allowedLate is the number of late requests with the part that the rule allows.
	allowedLate = 3
	// blamedCrash is the crash from which the time of the rule counts.
	blamedCrash = 5
	// deadlyPart is the part of prompts that crashes workers.
	deadlyPart = "dead"
	// crashAfter is the time from the first event of an answer to the crash.
	crashAfter = 400 * time.Millisecond
	// downTime is the time from a crash to the next start of the worker.
	downTime = 3 * time.Second
	// expiry is the time from a crash to the removal of the entry: three heartbeats of silence.
	expiry = 3 * heartbeat
	// deadlyPause is the time between two requests with the part.
	deadlyPause = time.Second
)

// crashes holds the crashes of workers, and the requests with the part that reached them.
type crashes struct {
	mu      sync.Mutex
	times   []time.Time
	arrived []arrival
}

// caseDeadlyPart sends requests with a part that crashes the worker a while after it has begun to write its answer.
func caseDeadlyPart(c *caseRun) (broken bool, err error) {
	const workers = 12
	f, err := newFleet(c.program, 4)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("op/config", configuration(7, standardRoutes(), []tenant{{"t1", []string{"k1"}}}))
	seen := &crashes{}
	for i := range workers {
		if err := f.addCrashing(c, fmt.Sprintf("i-e%d-", i), 0, seen); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	end := began.Add(46 * time.Second)
	sound, deadly := &callers{prefix: "c10"}, &callers{prefix: "d10"}
	note := request{method: http.MethodPost, path: "/stream/1", key: "k1", body: "a prompt", deadline: 12 * time.Second, chats: 60}
	var clients sync.WaitGroup
	clients.Go(func() { sound.runAll(f, note, 6, 20*time.Millisecond, end) })
	time.Sleep(6 * time.Second)
	withPart := note
	withPart.part, withPart.deadline = deadlyPart, 4*time.Second
	for i := 0; time.Now().Before(end.Add(-5 * time.Second)); i++ {
		g := f.gateways[i%len(f.gateways)]
		clients.Go(func() { deadly.run(g, withPart, 0, time.Now().Add(time.Millisecond)) })
		time.Sleep(deadlyPause)
	}
	clients.Wait()

	sound.summarise(c, began)
	c.record("of the requests with the part:")
	deadly.summarise(c, began)
	seen.mu.Lock()
	defer seen.mu.Unlock()
	for i, at := range seen.times {
		c.record("crash %d of a worker at %v", i+1, at.Sub(began))
	}
	late := 0
	for _, a := range seen.arrived {
		if len(seen.times) >= blamedCrash && a.at.After(seen.times[blamedCrash-1].Add(contactThreshold)) {
			late++
			c.record("request %s with the part reaches a worker at %v, %v after crash %d", a.id, a.at.Sub(began), a.at.Sub(seen.times[blamedCrash-1]), blamedCrash)
		}
	}
	cut := 0
	for _, a := range sound.answers {
		if a.status == http.StatusOK && !a.whole {
			cut++
		}
	}
	c.record("%d requests with the part reached workers, %d workers crashed, %d sound streams were broken off", len(seen.arrived), len(seen.times), cut)
	c.record("BUDGET: %d requests with the part reached workers later than ContactThresholdMs after crash %d, %d are allowed", late, blamedCrash, allowedLate)
	return late > allowedLate, nil
}

// addCrashing adds a worker that crashes on the part and comes back as another instance. The number is that of its starts before.
func (f *fleet) addCrashing(c *caseRun, name string, number int, seen *crashes) error {
	var crash sync.Once
	return f.addWorker(fmt.Sprint(name, number), "engine", 48, func(w *worker, wc *workerConn, r *http.Request, body []byte) bool {
		if !strings.Contains(r.Header.Get("Prompt-Prefix-Hash"), ","+deadlyPart+":") {
			return serveStream(w, wc, r, body)
		}
		seen.mu.Lock()
		seen.arrived = append(seen.arrived, arrival{r.Header.Get("Attempt-Id"), time.Now()})
		seen.mu.Unlock()
		if c.trouble {
			time.AfterFunc(eventPause+crashAfter, func() {
				crash.Do(func() { f.crash(c, w, name, number, seen) })
			})
		}
		return serveStream(w, wc, r, body)
	})
}

// crash ends a worker, and starts it again as another instance. It says nothing, so that its entry expires.
func (f *fleet) crash(c *caseRun, w *worker, name string, number int, seen *crashes) {
	w.close()
	seen.mu.Lock()
	seen.times = append(seen.times, time.Now())
	seen.mu.Unlock()
	time.AfterFunc(expiry, func() { f.store.remove("servers/" + w.id) })
	time.AfterFunc(downTime, func() {
		if err := f.addCrashing(c, name, number+1, seen); err != nil {
			c.record("%s did not start again: %v", w.id, err)
		}
	})
}
