package soaker

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"clementineramp/platform/imitator"
)

// fault is a kind of fault. run injects it, returns when it is over, and describes what it affected.
type fault struct {
	name string
	run  func(ctx context.Context, s *soak, random *rand.Rand) (what string)
}

// faults lists the kinds of faults, from which a run draws at random. A kind that is listed twice is twice as likely.
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
	{"behaviour", setFaultyBehaviour},
	{"behaviour", setFaultyBehaviour},
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

// laterFaults lists further kinds, from which a run draws only if its configuration says so: seeds that once revealed a
// fault of the gateways keep the faults that they had.
var laterFaults = []fault{
	{"flood", upstreamFault(Flooding)},
	{"flood", upstreamFault(Flooding)},
	{"misanswer", upstreamFault(Misanswering)},
	{"misanswer", upstreamFault(Misanswering)},
	{"store_flood", floodFromStore},
	{"reset_all", resetAllLinks},
	{"group", crashGroup},
	{"leave_unlisted", drainUnlisted},
	{"pausing", makeUpstreamPause},
	{"restore", restoreStore},
	{"restore", restoreStore},
	{"slow_term", terminateBesideSlowWork},
	{"slow_term", terminateBesideSlowWork},
}

// randomDuration returns a random duration of at least low and less than high.
func randomDuration(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// injectFaults runs the faults of the seed, which may overlap, and waits until the last one is over.
func (s *soak) injectFaults(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.cfg.Seed, 0))
	var at []time.Duration
	for range s.cfg.Faults {
		at = append(at, randomDuration(random, 0, s.cfg.Duration))
	}
	slices.Sort(at)
	kinds := faults
	if s.cfg.AllFaults {
		kinds = slices.Concat(faults, laterFaults)
	}
	start := time.Now()
	var group sync.WaitGroup
	for _, d := range at {
		f := kinds[random.IntN(len(kinds))]
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

// timeFormat is the time format of the gateways' logs.
const timeFormat = "15:04:05.000"

// addFaultWindow records a period in which a fault affects a target.
func (s *soak) addFaultWindow(target string, start, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultWindows = append(s.faultWindows, faultWindow{target: target, start: start, end: end})
}

// withFaultWindow runs startFault and, after d, endFault. A window with an estimated end is recorded before the fault
// starts, and one with the real end after it.
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

// withFaultLock runs a fault of the gateway's process while no other fault of this process runs.
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

// terminateGateway shuts a gateway down gracefully with SIGTERM, and starts it again.
func terminateGateway(_ context.Context, s *soak, random *rand.Rand) string {
	return s.terminate(s.randomGateway(random), 0)
}

// terminate shuts a gateway down like terminateGateway; callers still use it for the given time.
func (s *soak) terminate(g *gateway, inRotation time.Duration) string {
	return g.withFaultLock(func() string {
		start := time.Now()
		g.keepInRotation(inRotation)
		s.mu.Lock()
		at := len(s.shutdowns)
		s.shutdowns = append(s.shutdowns, faultWindow{target: g.process.Name, start: start, end: start.Add(grace)})
		s.mu.Unlock()
		err := g.restart(syscall.SIGTERM)
		now := time.Now()
		s.mu.Lock()
		s.shutdowns[at].end = now
		s.mu.Unlock()
		// A process that has just started is still disconnected, so the checks that use faultFree skip this time.
		s.addFaultWindow(g.process.Name, now, now)
		if err != nil {
			s.addViolation("%v", err)
		}
		return g.process.Name
	})
}

// rotationTime is the time for which callers use a gateway that is shutting down beside slow work.
const rotationTime = 1500 * time.Millisecond

// terminateBesideSlowWork shuts a gateway down gracefully while plain upstreams are slow but sound, which no guarantee of a
// shutdown excuses.
func terminateBesideSlowWork(ctx context.Context, s *soak, random *rand.Rand) string {
	s.mu.Lock()
	var slow []*upstream
	for _, u := range s.upstreams {
		if u.Service == plainService && u.behaviour.CompareAndSwap(int32(Healthy), int32(Slow)) {
			slow = append(slow, u)
		}
	}
	s.mu.Unlock()
	pause(ctx, randomDuration(random, 200*time.Millisecond, time.Second))
	what := s.terminate(s.randomGateway(random), rotationTime)
	for _, u := range slow {
		u.behaviour.CompareAndSwap(int32(Slow), int32(Healthy))
	}
	return fmt.Sprint(what, " ", len(slow), " slow")
}

// pauseGateway stops a gateway with SIGSTOP for a while.
func pauseGateway(ctx context.Context, s *soak, random *rand.Rand) string {
	g := s.randomGateway(random)
	return g.withFaultLock(func() string {
		d := randomDuration(random, 100*time.Millisecond, 4*time.Second)
		s.withFaultWindow(ctx, g.process.Name, d, func() { _ = g.process.Signal(syscall.SIGSTOP) }, func() { _ = g.process.Signal(syscall.SIGCONT) })
		return fmt.Sprint(g.process.Name, " ", d)
	})
}

// reloadGateway makes a gateway reload its settings with SIGHUP, in half of the cases from an invalid file first.
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

// disruptLink changes the mode of a link for a while, or resets its connections.
func (s *soak) disruptLink(ctx context.Context, target string, l *link, random *rand.Rand) string {
	m := Mode(random.IntN(int(modes)))
	d := randomDuration(random, 200*time.Millisecond, 3*time.Second)
	if m == Pass {
		s.withFaultWindow(ctx, target, 0, l.reset, func() {})
		return target + " reset"
	}
	// Dropped bytes are never delivered, so the connections that were open in that time are reset.
	s.withFaultWindow(ctx, target, d, func() { l.setMode(m) }, func() {
		l.setMode(Pass)
		if m != Delay {
			l.reset()
		}
	})
	return fmt.Sprint(target, " mode ", m, " ", d)
}

// restoreStore makes the store unresponsive for a while and restores it from a copy that lacks some of the last changes.
func restoreStore(ctx context.Context, s *soak, random *rand.Rand) string {
	away, again := randomDuration(random, 100*time.Millisecond, 3*time.Second), randomDuration(random, 0, 2*time.Second)
	behind := random.Uint64N(20)
	if !s.restoring.TryLock() {
		return "skipped: what an earlier restore lost is not written again yet"
	}
	defer s.restoring.Unlock()
	rewritten := s.restore(ctx, behind, away, again)
	return fmt.Sprint(away, " ", rewritten, " items written again after ", again)
}

// restore makes the store unresponsive for the duration away and restores it from a copy that lacks the last changes. Their
// writers make those changes again, as far as they were not superseded, after the duration again.
func (s *soak) restore(ctx context.Context, behind uint64, away, again time.Duration) (rewritten int) {
	start := time.Now()
	s.addFaultWindow("", start, start.Add(away+again+time.Second))
	s.store.SetMode(imitator.Unresponsive)
	pause(ctx, away)
	revision := s.store.Revision()
	lost := s.store.Restore(max(s.firstRevision, revision-min(behind, revision)))
	s.store.SetMode(imitator.Up)
	last := make(map[string]imitator.Item)
	for _, it := range lost {
		last[it.Key] = it
	}
	pause(ctx, again)
	for _, key := range slices.Sorted(maps.Keys(last)) {
		s.store.Rewrite(last[key])
	}
	s.addFaultWindow("", start, time.Now())
	return len(last)
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

// setFaultyBehaviour makes a random upstream respond with a random fault for a while.
func setFaultyBehaviour(ctx context.Context, s *soak, random *rand.Rand) string {
	u := s.any(random)
	m := Behaviour(1 + random.IntN(int(behaviours)-1))
	d := randomDuration(random, 300*time.Millisecond, 3*time.Second)
	s.withFaultWindow(ctx, u.ID, d, func() { u.behaviour.Store(int32(m)) }, func() { u.behaviour.Store(int32(Healthy)) })
	return fmt.Sprint(u.ID, " behaviour ", m, " ", d)
}

// upstreamFault returns a fault that gives a random upstream a behaviour for a while.
func upstreamFault(m Behaviour) func(ctx context.Context, s *soak, random *rand.Rand) string {
	return func(ctx context.Context, s *soak, random *rand.Rand) string {
		u := s.any(random)
		d := randomDuration(random, 300*time.Millisecond, 3*time.Second)
		s.withFaultWindow(ctx, u.ID, d, func() { u.behaviour.Store(int32(m)) }, func() { u.behaviour.Store(int32(Healthy)) })
		return fmt.Sprint(u.ID, " ", d)
	}
}

func floodFromStore(ctx context.Context, s *soak, random *rand.Rand) string {
	d := randomDuration(random, 300*time.Millisecond, 3*time.Second)
	s.withFaultWindow(ctx, "", d, func() { s.store.SetMode(imitator.Flooding) }, func() { s.store.SetMode(imitator.Up) })
	return d.String()
}

// allLinks is the target of a fault of all connections; faults of the store have an empty target, too, but cut no response.
const allLinks = "links"

// resetAllLinks resets the connections of all callers, upstreams and gateways at the same moment.
func resetAllLinks(_ context.Context, s *soak, _ *rand.Rand) string {
	now := time.Now()
	s.addFaultWindow("", now, now)
	s.addFaultWindow(allLinks, now, now)
	s.mu.Lock()
	upstreams := slices.Clone(s.upstreams)
	s.mu.Unlock()
	for _, u := range upstreams {
		u.link.reset()
	}
	for _, g := range s.gateways {
		g.storeLink.reset()
		g.callerLink.reset()
	}
	return ""
}

// crashGroup crashes two upstreams at the same moment.
func crashGroup(ctx context.Context, s *soak, random *rand.Rand) string {
	other := rand.New(rand.NewPCG(random.Uint64(), 0))
	var second string
	var group sync.WaitGroup
	group.Go(func() { second = crashUpstream(ctx, s, other) })
	first := crashUpstream(ctx, s, random)
	group.Wait()
	return first + " " + second
}

// replaceUpstream adds an upstream of the same service for a random one, and then passes the old one to stop.
func (s *soak) replaceUpstream(random *rand.Rand, stop func(u *upstream)) string {
	u, ok := s.detachUpstream(random)
	if !ok {
		return "spared"
	}
	s.addUpstream(u.Service)
	stop(u)
	return u.ID
}

// crashUpstream breaks an upstream's connections; its store entry is deleted up to 3.6 s later, as if it had expired.
func crashUpstream(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replaceUpstream(random, func(u *upstream) {
		s.withFaultWindow(ctx, u.ID, randomDuration(random, 0, 3600*time.Millisecond), u.stop, func() {})
		s.store.Delete(u.Key())
	})
}

// drainUpstream makes an upstream announce that it is leaving, serve for drainTime, and stop.
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

// drainUnlisted makes an upstream say that it is leaving in its responses only, serve for twice drainTime, and stop.
func drainUnlisted(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replaceUpstream(random, func(u *upstream) {
		u.leavingInResponses.Store(true)
		pause(ctx, 2*drainTime)
		s.addFaultWindow(u.ID, time.Now(), time.Now())
		s.store.Delete(u.Key())
		u.stop()
	})
}

// makeUpstreamPause makes a random upstream ask for pauses for a while.
func makeUpstreamPause(ctx context.Context, s *soak, random *rand.Rand) string {
	u := s.any(random)
	d := randomDuration(random, 2*time.Second, 5*time.Second)
	u.behaviour.Store(int32(Pausing))
	pause(ctx, d)
	u.behaviour.Store(int32(Healthy))
	return fmt.Sprint(u.ID, " ", d)
}

// removeEntry deletes an upstream's store entry without an announcement; the upstream stops after drainTime.
func removeEntry(ctx context.Context, s *soak, random *rand.Rand) string {
	return s.replaceUpstream(random, func(u *upstream) {
		s.store.Delete(u.Key())
		u.markLeaving(time.Now())
		pause(ctx, drainTime)
		s.addFaultWindow(u.ID, time.Now(), time.Now())
		u.stop()
	})
}

// reuseAddress gives the address of a crashed upstream to a new upstream of the other service.
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
		next := s.addUpstream(other)
		u.link.retarget(next.Address())
		next.AdvertisedAddress = u.link.address()
		s.store.PutJSON(next.Key(), next.Entry("ready"))
	})
}

func changeConfiguration(_ context.Context, s *soak, _ *rand.Rand) string {
	s.publishConfiguration()
	return ""
}

// putInvalidEntry writes a store entry that is not a valid upstream entry.
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
