package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// propagation is ConfigPropagationMs of the sheet.
const propagation = 2000 * time.Millisecond

// caseStale changes the configuration: a key is taken away, a route is added, and the time-out of another route is
// changed.
func caseStale(c *caseRun) (broken bool, err error) {
	f, err := newFleet(c.program, 4)
	if err != nil {
		return false, err
	}
	defer f.close()
	f.store.put("op/config", configuration(7, standardRoutes(), []tenant{{"t1", []string{"k1", "k2"}}}))
	for i := range 3 {
		if err := f.addWorker(fmt.Sprintf("i-p%d", i), "plain", 6, servePlain(15*time.Millisecond)); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	end := began.Add(20 * time.Second)
	kept, dropped, added := &callers{prefix: "kept"}, &callers{prefix: "drop"}, &callers{prefix: "adds"}
	order := request{method: http.MethodPost, path: "/order/1", key: "k1", body: "an order", deadline: 600 * time.Millisecond}
	withDropped, onAdded := order, order
	withDropped.key, onAdded.path = "k2", "/added/1"
	var wg sync.WaitGroup
	wg.Go(func() { kept.runAll(f, order, 2, 100*time.Millisecond, end) })
	wg.Go(func() { dropped.runAll(f, withDropped, 1, 100*time.Millisecond, end) })

	time.Sleep(4 * time.Second)
	const version = 12
	routes := append(standardRoutes(), route{
		Name: "r-added", Host: "a.example", PathPrefix: "/added/", Kind: "non_idempotent", TimeoutMs: 2500, TargetLatencyMs: 100,
		Priority: 2, Service: "plain", MaxAttempts: 1,
	})
	routes[0].TimeoutMs = calmTimeout
	if c.trouble {
		routes[0].TimeoutMs = longTimeout
	}
	acknowledged := f.store.put("op/config", configuration(version, routes, []tenant{{"t1", []string{"k1"}}}))
	c.record("the store acknowledges version %d, without the key k2, with the route r-added and TimeoutMs %d of the route %s, at %v",
		version, routes[0].TimeoutMs, routes[0].Name, acknowledged.Sub(began))
	bound := acknowledged.Add(propagation)
	time.Sleep(time.Until(bound))
	wg.Go(func() { added.runAll(f, onAdded, 1, 100*time.Millisecond, end) })
	wg.Wait()

	for _, g := range f.gateways {
		c.record("%s says that it is ready: %v", g.name, g.isReady())
	}
	runs := f.runs()
	stale, missing, late, tries := 0, 0, 0, 0
	for _, a := range dropped.answers {
		if a.sent.After(bound) {
			late++
			if runs[a.id] > 0 {
				stale++
			}
		}
	}
	for _, a := range added.answers {
		if a.sent.After(bound) {
			tries++
			if a.status == http.StatusNotFound {
				missing++
			}
		}
	}
	kept.summarise(c, began)
	c.record("CONFIG: of %d requests with the dropped key that were sent later than %v after the acknowledgement, %d ran", late, propagation, stale)
	c.record("CONFIG: of %d requests on the added route that were sent later than that, %d were refused with 404", tries, missing)
	return stale > 0 || missing > 0, nil
}

// The time-outs in ms that the second version gives the route r-stream, which had 12,000: calmTimeout without the disruption, and
// longTimeout, the largest 32-bit number, of an operator who wants no limit.
const (
	calmTimeout = 15_000
	longTimeout = 1<<31 - 1
)

// runs returns how often the workers ran each request.
func (f *fleet) runs() map[string]int {
	all := make(map[string]int)
	for _, w := range f.workers {
		w.mu.Lock()
		for id, n := range w.runs {
			all[id] += n
		}
		w.mu.Unlock()
	}
	return all
}
