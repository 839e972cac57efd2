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
	{"kill", killGateway},
	{"term", terminateGateway},
	{"term", terminateGateway},
	{"pause", pauseGateway},
	{"hup", reloadGateway},
	{"store", disruptStore},
	{"compact", compactStore},
	{"store_link", disruptStoreLink},
	{"front_link", disruptCallerLink},
	{"upstream_link", disruptUpstreamLink},
	{"behaviour", misbehave},
	{"behaviour", misbehave},
	{"crash", crashUpstream},
	{"crash", crashUpstream},
	{"leave", drainUpstream},
	{"leave", drainUpstream},
	{"vanish", removeEntry},
	{"reuse", reuseAddress},
	{"configuration", changeConfiguration},
	{"configuration", changeConfiguration},
	{"unreadable", putInvalidEntry},
}

// between draws a time.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// inject runs the faults of the seed, which overlap, and waits for the last one.
func (s *soak) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, 0))
	var at []time.Duration
	for range s.cfg.Faults {
		at = append(at, randomDuration(random, 0, s.cfg.Duration))
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
			s.faultLog = append(s.faultLog, fmt.Sprintf("%s to %s %s %s", begin.UTC().Format(timeFormat), time.Now().UTC().Format(timeFormat), f.name, what))
		})
	}
	group.Wait()
}

// timeFormat is that of the gateways' logs.
const timeFormat = "15:04:05.000"

// disturb notes a time in which a fault struck.
func (s *soak) addFaultWindow(target string, start, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultWindows = append(s.faultWindows, faultWindow{target: target, start: start, end: end})
}

// during disturbs someone for a while; the disturbance is known from its start on.
func (s *soak) withFaultWindow(ctx context.Context, target string, d time.Duration, startFault, endFault func()) {
	start := time.Now()
	s.addFaultWindow(target, start, start.Add(d+time.Second))
	startFault()
	pause(ctx, d)
	endFault()
	s.addFaultWindow(target, start, time.Now())
}

func (s *soak) randomGateway(random *rand.Rand) *gateway {
	return s.gateways[random.IntN(len(s.gateways))]
}

// exclusive runs a fault of a gateway's process while no other one strikes it.
func (g *gateway) withFaultLock(run func() string) string {
	g.faultMu.Lock()
	defer g.faultMu.Unlock()
	return run()
}

func killGateway(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.randomGateway(random)
	return g.withFaultLock(func() string {
		start := time.Now()
		s.addFaultWindow(g.process.Name, start, start.Add(reconnectTime))
		if err := g.restart(syscall.SIGKILL); err != nil {
			s.addViolation("%v", err)
		}
		pause(ctx, randomDuration(random, 0, time.Second))
		s.addFaultWindow(g.process.Name, start, time.Now())
		return g.process.Name
	})
}

// term stops a gateway as planned.
func terminateGateway(_ context.Context, s *soak, random *rand.Rand) string {
	g := s.randomGateway(random)
	return g.withFaultLock(func() string {
		start := time.Now()
		s.mu.Lock()
		at := len(s.shutdowns)
		s.shutdowns = append(s.shutdowns, faultWindow{target: g.process.Name, start: start, end: start.Add(grace)})
		s.mu.Unlock()
		err := g.restart(syscall.SIGTERM)
		now := time.Now()
		s.mu.Lock()
		s.shutdowns[at].end = now
		s.mu.Unlock()
		// The start of a process takes it out of touch for the other promises.
		s.addFaultWindow(g.process.Name, now, now)
		if err != nil {
			s.addViolation("%v", err)
		}
		return g.process.Name
	})
}

// stopAndGo makes a gateway stand still.
func pauseGateway(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.randomGateway(random)
	return g.withFaultLock(func() string {
		d := randomDuration(random, 100*time.Millisecond, 4*time.Second)
		s.withFaultWindow(ctx, g.process.Name, d, func() { _ = g.process.Signal(syscall.SIGSTOP) }, func() { _ = g.process.Signal(syscall.SIGCONT) })
		return fmt.Sprint(g.process.Name, " ", d)
	})
}

// hup makes a gateway read its settings again; some of them are faulty.
func reloadGateway(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.randomGateway(random)
	return g.withFaultLock(func() string {
		if !g.hasStarted() {
			return g.process.Name + " spared"
		}
		faulty := random.IntN(2) == 0
		var data []byte
		if faulty {
			data = []byte(`{"name": `)
		}
		if err := g.rewriteSettings(data); err != nil {
			s.addViolation("%v", err)
		}
		_ = g.process.Signal(syscall.SIGHUP)
		pause(ctx, randomDuration(random, 50*time.Millisecond, time.Second))
		if err := g.rewriteSettings(nil); err != nil {
			s.addViolation("%v", err)
		}
		_ = g.process.Signal(syscall.SIGHUP)
		return fmt.Sprint(g.process.Name, " faulty ", faulty)
	})
}

func disruptStore(ctx context.Context, s *soak, random *rand.Rand) string {
	m := []imitator.Mode{imitator.Busy, imitator.Unresponsive}[random.IntN(2)]
	d := randomDuration(random, 300*time.Millisecond, 4*time.Second)
	s.withFaultWindow(ctx, "", d, func() { s.store.SetMode(m) }, func() { s.store.SetMode(imitator.Up) })
	return fmt.Sprint("mode ", m, " ", d)
}

func compactStore(_ context.Context, s *soak, _ *rand.Rand) string {
	now := time.Now()
	s.addFaultWindow("", now, now)
	s.store.Compact()
	return ""
}

// disrupt changes what a link does for a while, or breaks its connections.
func (s *soak) disruptLink(ctx context.Context, target string, l *link, random *rand.Rand) string {
	m := Mode(random.IntN(int(modes)))
	d := randomDuration(random, 200*time.Millisecond, 3*time.Second)
	if m == Pass {
		s.withFaultWindow(ctx, target, 0, l.reset, func() {})
		return target + " reset"
	}
	// What a cut has swallowed never comes: the connections of that time end with it.
	s.withFaultWindow(ctx, target, d, func() { l.setMode(m) }, func() {
		l.setMode(Pass)
		if m != Delay {
			l.reset()
		}
	})
	return fmt.Sprint(target, " mode ", m, " ", d)
}

func disruptStoreLink(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.randomGateway(random)
	return s.disruptLink(ctx, g.process.Name, g.storeLink, random)
}

func disruptCallerLink(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.randomGateway(random)
	return s.disruptLink(ctx, g.process.Name, g.callerLink, random)
}

func disruptUpstreamLink(ctx context.Context, s *soak, random *rand.Rand) string {
	u := s.any(random)
	return s.disruptLink(ctx, u.ID, u.link, random)
}

func misbehave(ctx context.Context, s *soak, random *rand.Rand) string {
	u := s.any(random)
	m := Behaviour(1 + random.IntN(int(behaviours)-1))
	d := randomDuration(random, 300*time.Millisecond, 3*time.Second)
	s.withFaultWindow(ctx, u.ID, d, func() { u.behaviour.Store(int32(m)) }, func() { u.behaviour.Store(int32(Healthy)) })
	return fmt.Sprint(u.ID, " behaviour ", m, " ", d)
}

// replace lets an upstream end in some way, and adds another one before or after.
func (s *soak) replaceUpstream(random *rand.Rand, stop func(u *upstream)) string {
	u, ok := s.detachUpstream(random)
	if !ok {
		return "spared"
	}
	if _, err := s.addUpstream(u.Service); err != nil {
		s.addViolation("%v", err)
	}
	stop(u)
	return u.ID
}

// crash breaks an upstream's connections; its entry lapses later.
func crashUpstream(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replaceUpstream(random, func(u *upstream) {
		s.withFaultWindow(ctx, u.ID, randomDuration(random, 0, 3600*time.Millisecond), u.stop, func() {})
		s.store.Delete(u.Key())
	})
}

// leave lets an upstream say that it leaves, serve for a while, and end.
func drainUpstream(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replaceUpstream(random, func(u *upstream) {
		s.store.PutJSON(u.Key(), u.Entry("draining"))
		u.markLeaving(time.Now())
		pause(ctx, drainTime)
		s.addFaultWindow(u.ID, time.Now(), time.Now())
		s.store.Delete(u.Key())
		u.stop()
	})
}

// vanish removes an upstream's entry without notice.
func removeEntry(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replaceUpstream(random, func(u *upstream) {
		s.store.Delete(u.Key())
		u.markLeaving(time.Now())
		pause(ctx, drainTime)
		s.addFaultWindow(u.ID, time.Now(), time.Now())
		u.stop()
	})
}

// reuse gives the address of an upstream that crashed to one of the other service.
func reuseAddress(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replaceUpstream(random, func(u *upstream) {
		s.addFaultWindow(u.ID, time.Now(), time.Now().Add(maxLeaveDelay))
		u.Close()
		s.store.Delete(u.Key())
		pause(ctx, maxLeaveDelay)
		other := plainService
		if u.Service == plainService {
			other = engineService
		}
		next, err := s.addUpstream(other)
		if err != nil {
			s.addViolation("%v", err)
			return
		}
		u.link.retarget(next.Address())
		next.AdvertisedAddress = u.link.address()
		s.store.PutJSON(next.Key(), next.Entry("ready"))
	})
}

func changeConfiguration(_ context.Context, s *soak, _ *rand.Rand) string {
	s.publishConfiguration()
	return ""
}

// unreadable writes entries that name no upstream.
func putInvalidEntry(_ context.Context, s *soak, random *rand.Rand) string {
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
