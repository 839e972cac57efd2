package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// propagationTime is the time within which a configuration must take effect.
	propagationTime = 2 * time.Second
	// cutTime is how long gateways are cut off from the store, and cuts how often.
	cutTime = 5 * time.Second
	cuts    = 8
	// pauseTime is the time between the end of a cut and the next one, in which all are in touch again.
	pauseTime = 4 * time.Second
)

// cutoff cuts those gateways off from the store that read it for all, 0.4 s after their last calls have begun, and takes a key and a
// worker away right after that. The
// other gateways reach the store all the time: no request with the key that was sent later than propagationTime may run there,
// and none may reach the worker later than drainTime.
func cutoff(cfg config) int {
	st := newStore()
	zones := []string{"malaren", "malaren", "hjalmaren", "vanern", "hjalmaren"}
	gws := newGateways(cfg.program, cfg.dir, st.addr, zones)
	cleanup = func() {
		for _, g := range gws {
			if g.cmd != nil {
				g.kill()
			}
		}
	}
	const kept = "n2ctnfzs989anu6wsjnb"
	keys := []string{kept}
	for i := range cuts {
		keys = append(keys, fmt.Sprintf("yhks8nbkxxmibw6kpqk%d", i))
	}
	version := 7
	st.put("op/config", configuration(version, keys...))
	var all []*worker
	for i := range 18 {
		w := startWorker("vavrad", zones[1+i%3])
		st.put("servers/"+w.id, w.entry("ready"))
		all = append(all, w)
	}
	stop := make(chan struct{})
	for _, g := range gws {
		g.start()
		go g.watchReadiness(stop)
	}
	time.Sleep(6 * time.Second)
	for _, g := range gws {
		if !g.isReady() {
			fail("%s is not ready", g.name)
		}
	}
	c := &clients{gateways: gws, keys: keys, host: "ficu95.example", sent: make(map[string]*sent)}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	for _, g := range gws {
		for range 10 {
			done.Go(func() { c.run(ctx, g, 100*time.Millisecond) })
		}
	}
	time.Sleep(4 * time.Second)
	revokedAt := make(map[string]time.Time)
	for i := range cuts {
		// Planned, as in a release: a worker joins, and another one leaves below.
		joined := startWorker("vavrad", zones[1+i%3])
		st.put("servers/"+joined.id, joined.entry("ready"))
		time.Sleep(2 * time.Second)
		st.awaitQuiet()
		ips := st.readers()
		var away []*gateway
		for _, g := range gws {
			if cfg.trouble && ips[g.ip] {
				g.cutStore(true)
				away = append(away, g)
				note("%s is cut off from the store", g.name)
			}
		}
		time.Sleep(100 * time.Millisecond)
		// Planned: a worker leaves, and a key is taken away.
		w := all[i]
		w.mu.Lock()
		w.goneAt = st.remove("servers/" + w.id)
		w.mu.Unlock()
		time.AfterFunc(drainTime+1500*time.Millisecond, w.exit)
		version += 2
		revokedAt[keys[i+1]] = st.put("op/config", configuration(version, append([]string{kept}, keys[i+2:]...)...))
		note("worker %s is gone from the store, key %s is taken away", w.id, keys[i+1])
		time.Sleep(cutTime)
		for _, g := range away {
			g.cutStore(false)
		}
		note("all reach the store again")
		time.Sleep(pauseTime)
	}
	cancel()
	done.Wait()
	close(stop)

	latest := make([]time.Duration, cuts)
	for _, s := range c.sent {
		for i := range cuts {
			if s.key == keys[i+1] && s.status == 200 && s.gateway.inTouch(s.at, s.at.Add(s.took)) {
				latest[i] = max(latest[i], s.at.Sub(revokedAt[s.key]))
			}
		}
	}
	note("last requests with the keys that ran, after these were taken away: %v", latest)
	late, old := 0, 0
	for _, s := range c.sent {
		at := revokedAt[s.key]
		if at.IsZero() || s.status != 200 || s.at.Sub(at) <= propagationTime || !s.gateway.inTouch(s.at, s.at.Add(s.took)) {
			continue
		}
		old++
		note("OLD: request %s with key %s, sent to %s %.2f s after the key was taken away, ran", s.id, s.key, s.gateway.name, s.at.Sub(at).Seconds())
	}
	for _, w := range all[:cuts] {
		w.mu.Lock()
		for _, a := range w.arrivals {
			s := c.sent[a.id]
			if a.at.Sub(w.goneAt) <= drainTime || !s.gateway.inTouch(s.at, a.at) {
				continue
			}
			late++
			note("LATE: request %s, sent to %s, reached worker %s %.2f s after its removal", a.id, s.gateway.name, w.id, a.at.Sub(w.goneAt).Seconds())
		}
		w.mu.Unlock()
	}
	calm, served := c.served()
	verdict(calm, served, "%d ran with a key that had been taken away for more than %v, and %d reached a worker that had been gone for more than %v, at gateways in touch",
		old, propagationTime, late, drainTime)
	if calm < 500 || served == 0 {
		return notRun
	}
	if late+old > 0 {
		return broken
	}
	return held
}
