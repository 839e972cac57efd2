package dispatcher_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"clementineramp/dispatcher"
)

const (
	ms     = time.Millisecond
	target = 300 * ms
	usual  = 60 * ms
	// deadline is the longest time for which callers wait.
	deadline = 4 * time.Second
	// overcommitment is the multiple of its share that a gateway uses. The tests divide the shares by it, so that the limits are
	// those that they state.
	overcommitment = 3
	// margin is the time that is left for a request at the usual latency when its wait ends.
	margin = usual * 16 / 10
)

// call is one request of a caller, with its retry if there is one.
type call struct {
	organisation string
	gateway      int
	id           uint64
	// first is the arrival of the first try, at that of this one, and sent the time at which the service received it.
	first, at, sent time.Time
	end             time.Time
	retried         bool
}

// load is a sequence of requests a second of one organisation, from one time to another.
type load struct {
	organisation string
	perSecond    float64
	from, to     time.Duration
}

// model is a service with a fixed number of slots, which serves requests in the order of their arrival, behind gateways.
type model struct {
	slots, gateways int
	admit           bool
	// exact says that one of the gateways admits the requests of all, with places for twice the slots.
	exact bool
	// retry says whether refused callers retry once, after the delay that the refusal names. If atOnce is set, all of them retry
	// until their deadline, those of the organisation atOnce every 20 ms.
	retry         bool
	atOnce        string
	returningLast bool
	// onTime and late count the answers, by organisation; refused counts the callers without answer, and arrived all callers.
	onTime, late, refused map[string]int
	// within counts the answers until the end of the loads.
	within  map[string]int
	arrived int
	// refusedAfterStart counts the refusals of requests that the service had received.
	refusedAfterStart int
}

// run runs the loads in steps of one millisecond, until all callers have left.
func (m *model) run(loads ...load) {
	m.onTime, m.late, m.refused, m.within = map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	random := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1000, 0)
	var waiting, running, returning []*call
	latency := time.Duration(0)
	config := dispatcher.Config{
		// With three times the slots, a request takes three times the usual latency, and margin times that is the target: no
		// request could wait.
		Limit:   func(string, time.Time) float64 { return 2 * float64(m.slots) },
		Share:   func(string, time.Time) float64 { return 1 / float64(overcommitment*m.gateways) },
		Latency: func(string, string, time.Time) time.Duration { return latency },
		Usual:   func(string, string) time.Duration { return usual },
		Random:  random.Float64, ReturningLast: m.returningLast,
	}
	deciding := m.gateways
	if m.exact {
		config.Exact, deciding = true, 1
	}
	var cores []*dispatcher.Core
	calls := make([]map[uint64]*call, deciding)
	for i := range deciding {
		cores, calls[i] = append(cores, dispatcher.NewCore(config)), map[uint64]*call{}
	}
	turnAway := func(c *call, after time.Duration, now time.Time) {
		if !c.sent.IsZero() {
			m.refusedAfterStart++
		}
		c.at = now.Add(after)
		again := m.retry && !c.retried
		if m.atOnce != "" {
			again = true
		}
		if c.organisation == m.atOnce {
			c.at = now.Add(20 * ms)
		}
		if !again || c.at.Sub(c.first) > deadline-usual {
			m.refused[c.organisation]++
			return
		}
		c.retried = true
		returning = append(returning, c)
	}
	advance := func(g int, now time.Time) {
		started, refused := cores[g].Advance("s", now)
		for _, id := range started {
			calls[g][id].sent = now
			waiting = append(waiting, calls[g][id])
		}
		for _, r := range refused {
			turnAway(calls[g][r.ID], r.Refusal.RetryAfter, now)
		}
	}
	arrive := func(c *call, now time.Time) {
		c.gateway, c.at, c.sent = random.IntN(deciding), now, time.Time{}
		if !m.admit {
			c.sent = now
			waiting = append(waiting, c)
			return
		}
		left := deadline - now.Sub(c.first)
		var refusal *dispatcher.Refusal
		c.id, refusal = cores[c.gateway].Offer(dispatcher.Request{
			Service: "s", Route: "r", Organisation: c.organisation, Target: target, Remaining: left, Stated: left,
		}, now)
		if refusal == nil {
			calls[c.gateway][c.id] = c
		} else {
			turnAway(c, refusal.RetryAfter, now)
		}
		advance(c.gateway, now)
	}
	last := slices.MaxFunc(loads, func(a, b load) int { return cmp.Compare(a.to, b.to) }).to
	for t := time.Duration(0); t < last+deadline; t += ms {
		now := start.Add(t)
		var ended []*call
		running = slices.DeleteFunc(running, func(c *call) bool {
			if c.end.After(now) {
				return false
			}
			ended = append(ended, c)
			return true
		})
		for _, c := range ended {
			// The current latency is a mean over about 30 responses.
			latency = cmp.Or(latency, now.Sub(c.sent))
			latency += (now.Sub(c.sent) - latency) / 30
			if t < last {
				m.within[c.organisation]++
			}
			if now.Sub(c.first) <= target {
				m.onTime[c.organisation]++
			} else {
				m.late[c.organisation]++
			}
			if m.admit {
				cores[c.gateway].Remove("s", c.id, now)
				advance(c.gateway, now)
			}
		}
		if len(running)+len(waiting) == 0 {
			latency = 0
		}
		var due []*call
		returning = slices.DeleteFunc(returning, func(c *call) bool {
			if c.at.After(now) {
				return false
			}
			due = append(due, c)
			return true
		})
		for _, c := range due {
			arrive(c, now)
		}
		for _, l := range loads {
			for rate := l.perSecond / 1000; t >= l.from && t < l.to && random.Float64() < rate; rate-- {
				m.arrived++
				arrive(&call{organisation: l.organisation, first: now}, now)
			}
		}
		for g := range cores {
			if t%(20*ms) == 0 {
				advance(g, now)
			}
		}
		for len(running) < m.slots && len(waiting) > 0 {
			c := waiting[0]
			waiting, running = waiting[1:], append(running, c)
			c.end = now.Add(40*ms + time.Duration(random.Int64N(int64(40*ms))))
		}
	}
}

func sum(counts map[string]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}
