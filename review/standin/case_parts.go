package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// contactThreshold is ContactThresholdMs of the settings.
const contactThreshold = 3 * time.Second

// partsCase is a service to which requests come whose prompts have a part that crashes workers.
type partsCase struct {
	workers int
	// sound and deadly return the parts of the n-th prompt but the last, which belongs to the request.
	sound, deadly func(n int) []string
	deadlyPart    string
	// same makes all sound requests the same one that is asked again, with a body and a last part of the prompt that do not
	// change.
	same bool
	// afterEvent makes workers crash after the first event of an answer.
	afterEvent bool
	// soundEvery is the time between two sound requests. deadlyFirst requests with the deadly part come at once, and then one
	// every deadlyEvery.
	soundEvery, deadlyEvery time.Duration
	deadlyFirst             int
	// calm is the time before the first request with the deadly part, and troubled that from it on.
	calm, troubled time.Duration
}

// partsResult holds what clients and workers have seen.
type partsResult struct {
	mu           sync.Mutex
	crashes      []time.Time
	sound        []soundRequest
	deadlyAt     map[string]time.Time
	deadlyRuns   []time.Time
	deadlySent   int
	lastDeadly   time.Time
	brokenStream int
}

type soundRequest struct {
	at    time.Time
	begun bool
}

func (pc *partsCase) play(f *fleet, rec *record, trouble bool) (*partsResult, error) {
	const service = "pool"
	f.store.put("op/config", configuration(
		[]any{route("r-1", "/stream/", "streaming", 15000, 1500, service, map[string]any{"SessionAffinity": true})},
		[]any{map[string]any{
			"Name": service, "HealthCheckPath": "/health", "ConnectionLimit": 360, "Protocol": "h1", "TlsEnabled": false,
			"InferenceEngine": map[string]any{
				"Slots": 64, "KvCacheCapacity": 571068, "KvBytes": 35136, "LinkMbps": 550000.0, "Migrations": true, "BackupCopies": true,
				"Stride": 6, "most": 2, "PinDurationMs": 4000.0, "HoldMs": 2000.0, "HandleTtlS": 5.0,
				"ModelList": []any{map[string]any{"Name": "m"}},
			},
		}},
	))
	res := &partsResult{deadlyAt: make(map[string]time.Time)}
	for i := range pc.workers {
		w := &worker{
			service: service, slots: 64, index: i, downtime: 3 * time.Second,
			args: []string{"-deadly", pc.deadlyPart, "-pieces", "10", "-pause", "30ms", "-think", "60ms"},
			onLine: func(id, line string) {
				rec.log("worker %s: %s", id, line)
				var request string
				if nextWord(line, "run", &request) {
					res.mu.Lock()
					if _, deadly := res.deadlyAt[request]; deadly {
						res.deadlyRuns = append(res.deadlyRuns, time.Now())
					}
					res.mu.Unlock()
				}
			},
			onCrash: func(string) {
				res.mu.Lock()
				defer res.mu.Unlock()
				res.crashes = append(res.crashes, time.Now())
			},
		}
		if pc.afterEvent {
			w.args = append(w.args, "-after-event")
		}
		if err := f.startWorker(w); err != nil {
			return nil, err
		}
	}
	if err := f.start(4); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	c := newClient()
	var wg sync.WaitGroup
	begin := time.Now()
	end := begin.Add(pc.calm + pc.troubled)
	wg.Go(func() {
		for i := 0; time.Now().Before(end); i++ {
			g := f.gateways[i%len(f.gateways)]
			wg.Go(func() { pc.sendSound(c, g, i, rec, res) })
			time.Sleep(pc.soundEvery)
		}
	})
	if trouble {
		time.Sleep(pc.calm)
		for i := 0; time.Now().Before(end); i++ {
			g := f.gateways[i%len(f.gateways)]
			wg.Go(func() { pc.sendDeadly(c, g, i, rec, res) })
			if i+1 >= pc.deadlyFirst {
				time.Sleep(pc.deadlyEvery)
			}
		}
	}
	wg.Wait()
	if !slices.ContainsFunc(res.sound, func(s soundRequest) bool { return s.begun }) {
		return nil, errNothingServed
	}
	return res, nil
}

func (pc *partsCase) sendSound(c *client, g *gateway, n int, rec *record, res *partsResult) {
	last := newID()
	if pc.same {
		last = "7d0f11c3"
	}
	r := request{
		id: newID(), path: "/stream/2f", prompt: promptOf(pc.sound(n), last), body: []byte("a question of the user of part " + last),
		deadline: 15 * time.Second,
	}
	rec.log("client sends %s to %s: sound, prompt %s", r.id, g.name, r.prompt)
	at := time.Now()
	a := c.send(g, r)
	rec.log("client has for %s: status %d, complete %v, %d bytes, error %v, %v", r.id, a.status, a.complete, len(a.body), a.err, a.took)
	res.mu.Lock()
	defer res.mu.Unlock()
	begun := a.status == 200 && len(a.body) > 0
	res.sound = append(res.sound, soundRequest{at: at, begun: begun})
	if begun && !a.complete {
		res.brokenStream++
	}
}

func (pc *partsCase) sendDeadly(c *client, g *gateway, n int, rec *record, res *partsResult) {
	r := request{id: newID(), path: "/stream/2f", prompt: promptOf(pc.deadly(n), newID()), body: []byte(newID()), deadline: 15 * time.Second}
	res.mu.Lock()
	res.deadlyAt[r.id] = time.Now()
	res.lastDeadly = time.Now()
	res.deadlySent++
	res.mu.Unlock()
	rec.log("client sends %s to %s: deadly, prompt %s", r.id, g.name, r.prompt)
	a := c.send(g, r)
	rec.log("client has for %s: status %d, error %v, %v", r.id, a.status, a.err, a.took)
}

// promptOf returns a prompt of the given parts and the last one.
func promptOf(parts []string, last string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p + ":400,")
	}
	return b.String() + last + ":120"
}

// lost evaluates the rule on sound requests beside a part that crashes workers: from 2 x ContactThresholdMs after the fifth
// crash, while requests with the part still come, sound requests begin less than half as often as before.
func (res *partsResult) lost(rec *record) (broken bool) {
	const least = 20
	calm, calmBegun, during, duringBegun := 0, 0, 0, 0
	var firstDeadly time.Time
	for _, at := range res.deadlyAt {
		if firstDeadly.IsZero() || at.Before(firstDeadly) {
			firstDeadly = at
		}
	}
	var from time.Time
	if n := len(res.crashes); n > 0 {
		from = res.crashes[min(n, 5)-1].Add(2 * contactThreshold)
	}
	for _, s := range res.sound {
		switch {
		case firstDeadly.IsZero() || s.at.Before(firstDeadly.Add(-time.Second)):
			calm++
			if s.begun {
				calmBegun++
			}
		case !from.IsZero() && s.at.After(from) && s.at.Before(res.lastDeadly):
			during++
			if s.begun {
				duringBegun++
			}
		}
	}
	rec.say("LOST: outside the disruption %d of %d sound requests began; from 6 s after the fifth crash on %d of %d (%d crashes, %d requests with the part sent)",
		calmBegun, calm, duringBegun, during, len(res.crashes), res.deadlySent)
	if calm < least || during < least {
		return false
	}
	return float64(duringBegun)/float64(during) < 0.5*float64(calmBegun)/float64(calm)
}

// budget evaluates the rule on requests with a part that crashes workers: more than three reach workers later than
// ContactThresholdMs after the fifth crash.
func (res *partsResult) budget(rec *record) (broken bool) {
	n := 0
	if len(res.crashes) >= 5 {
		from := res.crashes[4].Add(contactThreshold)
		for _, at := range res.deadlyRuns {
			if at.After(from) {
				n++
			}
		}
	}
	rec.say("BUDGET: %d requests with the part reached workers later than 3 s after the fifth crash (%d crashes); %d begun sound streams broke off",
		n, len(res.crashes), res.brokenStream)
	return n > 3
}

// The parts of the prompts: one that crashes workers, and one that all sound requests share.
const (
	deadlyPart = "91bd3f06"
	sharedPart = "5c1e07a2"
)

// sessionPart returns the part of the n-th prompt that the requests of its session share.
func sessionPart(n int) string {
	const sessions = 12
	return fmt.Sprintf("e4402b%02x", n%sessions)
}

// caseTie has a part that crashes workers in front of the parts that sound requests share.
func caseTie(f *fleet, rec *record, trouble bool) (bool, error) {
	pc := &partsCase{
		workers: 6, deadlyPart: deadlyPart,
		sound:      func(n int) []string { return []string{sharedPart, sessionPart(n)} },
		deadly:     func(n int) []string { return []string{deadlyPart, sharedPart, sessionPart(n)} },
		soundEvery: 1300 * time.Millisecond, deadlyEvery: 80 * time.Millisecond, deadlyFirst: 36,
		calm: 30600 * time.Millisecond, troubled: 60 * time.Second,
	}
	res, err := pc.play(f, rec, trouble)
	if err != nil {
		return false, err
	}
	res.budget(rec)
	return res.lost(rec), nil
}

// caseSame has a sound request that is asked again and again while another part crashes workers.
func caseSame(f *fleet, rec *record, trouble bool) (bool, error) {
	pc := &partsCase{
		workers: 6, deadlyPart: deadlyPart, same: true,
		sound:      func(int) []string { return []string{sharedPart, sessionPart(0)} },
		deadly:     func(int) []string { return []string{sharedPart, deadlyPart, sessionPart(0)} },
		soundEvery: 250 * time.Millisecond, deadlyEvery: time.Second, deadlyFirst: 1,
		calm: 10 * time.Second, troubled: 40 * time.Second,
	}
	res, err := pc.play(f, rec, trouble)
	if err != nil {
		return false, err
	}
	res.budget(rec)
	return res.lost(rec), nil
}

// caseMiddle has a part that crashes workers in the middle of a prompt of 21 parts and the request's own.
func caseMiddle(f *fleet, rec *record, trouble bool) (bool, error) {
	const parts, place = 21, 10
	prompt := func(deadly bool) func(int) []string {
		return func(int) []string {
			var list []string
			for i := range parts {
				list = append(list, fmt.Sprintf("5c1e07%02x", i))
			}
			if deadly {
				list[place] = deadlyPart
			}
			return list
		}
	}
	pc := &partsCase{
		workers: 6, deadlyPart: deadlyPart, sound: prompt(false), deadly: prompt(true),
		soundEvery: 250 * time.Millisecond, deadlyEvery: time.Second, deadlyFirst: 1,
		calm: 10 * time.Second, troubled: 40 * time.Second,
	}
	res, err := pc.play(f, rec, trouble)
	if err != nil {
		return false, err
	}
	res.lost(rec)
	return res.budget(rec), nil
}

// caseBegun has a part that crashes workers when they have written the first event of an answer.
func caseBegun(f *fleet, rec *record, trouble bool) (bool, error) {
	pc := &partsCase{
		workers: 6, deadlyPart: deadlyPart, afterEvent: true,
		sound:      func(n int) []string { return []string{sharedPart, sessionPart(n)} },
		deadly:     func(n int) []string { return []string{sharedPart, deadlyPart, sessionPart(n)} },
		soundEvery: 250 * time.Millisecond, deadlyEvery: time.Second, deadlyFirst: 1,
		calm: 10 * time.Second, troubled: 40 * time.Second,
	}
	res, err := pc.play(f, rec, trouble)
	if err != nil {
		return false, err
	}
	res.lost(rec)
	return res.budget(rec), nil
}
