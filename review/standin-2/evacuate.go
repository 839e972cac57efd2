package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// quickTimeout is TimeoutMs of the route of the case, and answerSlack the time after it up to which the rule waits for an answer.
	quickTimeout = 2500 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	// fewUnanswered is the number of requests without an answer from which the rule counts them.
	fewUnanswered = 8
	// evacuationTime is the time from the request for an evacuation to its end, and evacuationPause that until the next one.
	evacuationTime  = 2 * time.Second
	evacuationPause = time.Second
	// batchTime is the time between two batches of requests, and afterBatch that from the begin of a batch to an evacuation.
	batchTime  = 100 * time.Millisecond
	afterBatch = 2 * time.Millisecond
	// readinessPause is the pause of the platform between two questions, and misses the number of them without 200 after which a
	// gateway gets no new connections.
	readinessPause = time.Second
	misses         = 2
	// gracePeriod is GracePeriodS of the sheet.
	gracePeriod = 8 * time.Second
)

// caseEvacuate evacuates one zone after the other, as for a change of their machines.
func caseEvacuate(c *caseRun) (broken bool, err error) {
	const perZone = 16
	zones := []string{"kl-a", "kl-b", "cyb-c"}
	f, err := newFleet(c.program, 4)
	if err != nil {
		return false, err
	}
	defer f.close()
	quick := route{
		Name: "r-quick", Host: "a.example", PathPrefix: "/quick/", Kind: "streaming", TimeoutMs: int(quickTimeout.Milliseconds()), TargetLatencyMs: 2000,
		Service: "engine", MaxAttempts: 1, SessionAffinity: true, GapTargetMs: 500,
	}
	f.store.put("op/config", configuration(7, append(standardRoutes(), quick), []tenant{{"t1", []string{"k1"}}}))
	for i := range perZone * len(zones) {
		if err := f.addWorkerIn(zones[i%len(zones)], fmt.Sprintf("i-e%d", i), "engine", 128, serveEvents(3)); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	end := began.Add(90 * time.Second)
	stop := make(chan struct{})
	var polls sync.WaitGroup
	for _, g := range f.gateways {
		polls.Go(func() { g.poll(c, began, stop) })
	}
	clients := &callers{prefix: "c6"}
	done := make(chan struct{})
	label := request{method: http.MethodPost, path: "/quick/1", key: "k1", body: "a prompt", deadline: 4 * time.Second, chats: 500, tick: batchTime}
	go func() {
		defer close(done)
		clients.runAll(f, label, 100, 0, end)
	}()
	evacuations := 0
	time.Sleep(4 * time.Second)
	isOut := func(g *gateway) bool { return g.out.Load() }
	for c.trouble && time.Now().Before(end.Add(-8*time.Second)) && !slices.ContainsFunc(f.gateways, isOut) {
		key := "op/evacuate/" + zones[evacuations%len(zones)]
		time.Sleep(time.Until(nextTick(batchTime).Add(afterBatch)))
		at := f.store.put(key, []byte("{}"))
		evacuations++
		c.record("the store acknowledges %s at %v", key, at.Sub(began))
		time.Sleep(evacuationTime)
		f.store.remove(key)
		time.Sleep(evacuationPause)
	}
	if slices.ContainsFunc(f.gateways, isOut) {
		time.Sleep(2 * quickTimeout) // The requests that are still sent end meanwhile.
		clients.stop.Store(true)
	}
	<-done
	close(stop)
	polls.Wait()

	hung := make(map[string]bool)
	for _, g := range f.gateways {
		if hung[g.name] = !g.isReady(); hung[g.name] {
			g.signal(syscall.SIGTERM)
		}
	}
	if slices.Contains(slices.Collect(maps.Values(hung)), true) {
		time.Sleep(gracePeriod + time.Second)
	}

	late, unanswered := 0, 0
	by := make(map[string]int)
	for _, a := range clients.answers {
		if a.took < quickTimeout {
			continue
		}
		late++
		if a.took > quickTimeout+answerSlack {
			unanswered++
			by[a.gateway]++
			c.record("request %s sent at %v to %s has no answer %v after TimeoutMs: %s", a.id, a.sent.Sub(began), a.gateway, a.took-quickTimeout, a.err)
		}
	}
	c.record("%d requests, %d evacuations", len(clients.answers), evacuations)
	for _, g := range f.gateways {
		ended := false // Only those that hang were sent SIGTERM.
		select {
		case <-g.exited:
			ended = true
		default:
		}
		c.record("%s answers the readiness check: %v; requests without an answer: %d; ended: %v",
			g.name, !hung[g.name], by[g.name], ended)
	}
	c.record("CONFIG: %d requests were unanswered at TimeoutMs, %d of them had no answer %v later", late, unanswered, answerSlack)
	return unanswered >= fewUnanswered && 4*unanswered > late, nil
}

// poll asks a gateway whether it is ready, as the platform does.
func (g *gateway) poll(c *caseRun, began time.Time, stop <-chan struct{}) {
	missed := 0
	for {
		select {
		case <-stop:
			return
		case <-time.After(readinessPause):
		}
		if g.isReady() {
			missed = 0
		} else if missed++; missed == misses {
			c.record("%s is sent no new connections from %v on", g.name, time.Since(began))
		}
		g.out.Store(missed >= misses)
	}
}
