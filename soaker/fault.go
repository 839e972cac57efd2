package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"clementineramp/platform/imitator"
)

// fault is something that happens to the fleet; it returns when it is over.
type fault struct {
	name string
	run  func(ctx context.Context, s *soak, random *rand.Rand) (what string)
}

// faults are all kinds of faults; each seed draws from them.
var faults = []fault{
	{"kill", kill},
	{"term", term},
	{"term", term},
	{"pause", stopAndGo},
	{"hup", hup},
	{"store", storeFault},
	{"compact", compact},
	{"store_link", storeLink},
	{"front_link", frontLink},
	{"upstream_link", upstreamLink},
	{"behaviour", behaviour},
	{"behaviour", behaviour},
	{"crash", crash},
	{"crash", crash},
	{"leave", leave},
	{"leave", leave},
	{"vanish", vanish},
	{"reuse", reuse},
	{"configuration", change},
	{"configuration", change},
	{"unreadable", unreadable},
}

// between draws a time.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// inject runs the faults of the seed, which overlap, and waits for the last one.
func (s *soak) inject(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, 0))
	var at []time.Duration
	for range s.cfg.Faults {
		at = append(at, between(random, 0, s.cfg.Duration))
	}
	slices.Sort(at)
	start := time.Now()
	var group sync.WaitGroup
	for _, d := range at {
		f := faults[random.IntN(len(faults))]
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		group.Go(func() {
			pause(ctx, time.Until(start.Add(d)))
			begin := time.Now()
			what := f.run(ctx, s, own)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.faults = append(s.faults, fmt.Sprintf("%s to %s %s %s", begin.UTC().Format(timeFormat), time.Now().UTC().Format(timeFormat), f.name, what))
		})
	}
	group.Wait()
}

// timeFormat is that of the gateways' logs.
const timeFormat = "15:04:05.000"

// disturb notes a time in which a fault struck.
func (s *soak) disturb(who string, start, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed = append(s.disturbed, disturbance{who: who, start: start, end: end})
}

// during disturbs someone for a while; the disturbance is known from its start on.
func (s *soak) during(ctx context.Context, who string, d time.Duration, begin, end func()) {
	start := time.Now()
	s.disturb(who, start, start.Add(d+time.Second))
	begin()
	pause(ctx, d)
	end()
	s.disturb(who, start, time.Now())
}

func (s *soak) gateway(random *rand.Rand) *gateway {
	return s.gateways[random.IntN(len(s.gateways))]
}

// exclusive runs a fault of a gateway's process while no other one strikes it.
func (g *gateway) exclusive(run func() string) string {
	g.faultMu.Lock()
	defer g.faultMu.Unlock()
	return run()
}

func kill(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.gateway(random)
	return g.exclusive(func() string {
		start := time.Now()
		s.disturb(g.process.Name, start, start.Add(contactTime))
		if err := g.restart(syscall.SIGKILL); err != nil {
			s.violate("%v", err)
		}
		pause(ctx, between(random, 0, time.Second))
		s.disturb(g.process.Name, start, time.Now())
		return g.process.Name
	})
}

// term stops a gateway as planned.
func term(_ context.Context, s *soak, random *rand.Rand) string {
	g := s.gateway(random)
	return g.exclusive(func() string {
		start := time.Now()
		s.mu.Lock()
		at := len(s.planned)
		s.planned = append(s.planned, disturbance{who: g.process.Name, start: start, end: start.Add(grace)})
		s.mu.Unlock()
		err := g.restart(syscall.SIGTERM)
		now := time.Now()
		s.mu.Lock()
		s.planned[at].end = now
		s.mu.Unlock()
		// The start of a process takes it out of touch for the other promises.
		s.disturb(g.process.Name, now, now)
		if err != nil {
			s.violate("%v", err)
		}
		return g.process.Name
	})
}

// stopAndGo makes a gateway stand still.
func stopAndGo(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.gateway(random)
	return g.exclusive(func() string {
		d := between(random, 100*time.Millisecond, 4*time.Second)
		s.during(ctx, g.process.Name, d, func() { _ = g.process.Signal(syscall.SIGSTOP) }, func() { _ = g.process.Signal(syscall.SIGCONT) })
		return fmt.Sprint(g.process.Name, " ", d)
	})
}

// hup makes a gateway read its settings again; some of them are faulty.
func hup(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.gateway(random)
	return g.exclusive(func() string {
		if !g.begun() {
			return g.process.Name + " spared"
		}
		faulty := random.IntN(2) == 0
		var data []byte
		if faulty {
			data = []byte(`{"name": `)
		}
		if err := g.rewrite(data); err != nil {
			s.violate("%v", err)
		}
		_ = g.process.Signal(syscall.SIGHUP)
		pause(ctx, between(random, 50*time.Millisecond, time.Second))
		if err := g.rewrite(nil); err != nil {
			s.violate("%v", err)
		}
		_ = g.process.Signal(syscall.SIGHUP)
		return fmt.Sprint(g.process.Name, " faulty ", faulty)
	})
}

func storeFault(ctx context.Context, s *soak, random *rand.Rand) string {
	m := []imitator.Mode{imitator.Busy, imitator.Unresponsive}[random.IntN(2)]
	d := between(random, 300*time.Millisecond, 4*time.Second)
	s.during(ctx, "", d, func() { s.store.SetMode(m) }, func() { s.store.SetMode(imitator.Up) })
	return fmt.Sprint("mode ", m, " ", d)
}

func compact(_ context.Context, s *soak, _ *rand.Rand) string {
	now := time.Now()
	s.disturb("", now, now)
	s.store.Compact()
	return ""
}

// disrupt changes what a link does for a while, or breaks its connections.
func (s *soak) disrupt(ctx context.Context, who string, l *link, random *rand.Rand) string {
	m := Mode(random.IntN(int(modes)))
	d := between(random, 200*time.Millisecond, 3*time.Second)
	if m == Pass {
		s.during(ctx, who, 0, l.reset, func() {})
		return who + " reset"
	}
	// What a cut has swallowed never comes: the connections of that time end with it.
	s.during(ctx, who, d, func() { l.set(m) }, func() {
		l.set(Pass)
		if m != Delay {
			l.reset()
		}
	})
	return fmt.Sprint(who, " mode ", m, " ", d)
}

func storeLink(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.gateway(random)
	return s.disrupt(ctx, g.process.Name, g.store, random)
}

func frontLink(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.gateway(random)
	return s.disrupt(ctx, g.process.Name, g.front, random)
}

func upstreamLink(ctx context.Context, s *soak, random *rand.Rand) string {
	u := s.any(random)
	return s.disrupt(ctx, u.ID, u.link, random)
}

func behaviour(ctx context.Context, s *soak, random *rand.Rand) string {
	u := s.any(random)
	m := Behaviour(1 + random.IntN(int(behaviours)-1))
	d := between(random, 300*time.Millisecond, 3*time.Second)
	s.during(ctx, u.ID, d, func() { u.behaviour.Store(int32(m)) }, func() { u.behaviour.Store(int32(Healthy)) })
	return fmt.Sprint(u.ID, " behaviour ", m, " ", d)
}

// replace lets an upstream end in some way, and adds another one before or after.
func (s *soak) replace(random *rand.Rand, end func(u *upstream)) string {
	u, ok := s.take(random)
	if !ok {
		return "spared"
	}
	if _, err := s.join(u.Service); err != nil {
		s.violate("%v", err)
	}
	end(u)
	return u.ID
}

// crash breaks an upstream's connections; its entry lapses later.
func crash(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replace(random, func(u *upstream) {
		s.during(ctx, u.ID, between(random, 0, 3600*time.Millisecond), u.end, func() {})
		s.store.Delete(u.Key())
	})
}

// leave lets an upstream say that it leaves, serve for a while, and end.
func leave(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replace(random, func(u *upstream) {
		s.store.PutJSON(u.Key(), u.Entry("draining"))
		u.leave(time.Now())
		pause(ctx, lingerTime)
		s.disturb(u.ID, time.Now(), time.Now())
		s.store.Delete(u.Key())
		u.end()
	})
}

// vanish removes an upstream's entry without notice.
func vanish(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replace(random, func(u *upstream) {
		s.store.Delete(u.Key())
		u.leave(time.Now())
		pause(ctx, lingerTime)
		s.disturb(u.ID, time.Now(), time.Now())
		u.end()
	})
}

// reuse gives the address of an upstream that crashed to one of the other service.
func reuse(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replace(random, func(u *upstream) {
		s.disturb(u.ID, time.Now(), time.Now().Add(leaveTime))
		u.Close()
		s.store.Delete(u.Key())
		pause(ctx, leaveTime)
		other := plainService
		if u.Service == plainService {
			other = engineService
		}
		next, err := s.join(other)
		if err != nil {
			s.violate("%v", err)
			return
		}
		u.link.retarget(next.Address())
		next.AdvertisedAddress = u.link.address()
		s.store.PutJSON(next.Key(), next.Entry("ready"))
	})
}

func change(_ context.Context, s *soak, _ *rand.Rand) string {
	s.configure()
	return ""
}

// unreadable writes entries that name no upstream.
func unreadable(_ context.Context, s *soak, random *rand.Rand) string {
	id := fmt.Sprintf("%sstrange-%d", imitator.UpstreamPrefix, random.IntN(1000))
	switch random.IntN(3) {
	case 0:
		s.store.Put(id, []byte("no JSON"))
	case 1:
		s.store.PutJSON(id, map[string]any{"Service": plainService, "Address": 7, "State": "ready"})
	default:
		s.store.PutJSON(id, map[string]any{"Service": plainService, "Address": "127.0.0.1:1", "State": "sleeping"})
	}
	return id
}
