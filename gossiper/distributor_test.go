package gossiper_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/configurer"
	"clementineramp/gossiper"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

const waitTimeout = 30 * time.Second

// process is one member of a test fleet with its own connections.
type process struct {
	host   subscriber.Host
	holder *configurer.Holder
	d      *gossiper.Distributor
	stop   func()

	mu        sync.Mutex
	adopted   time.Time
	conflicts int
	reverted  bool
	last      configurer.ID
}

func (p *process) onAdopt(s *configurer.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adopted = time.Now()
	p.reverted = p.reverted || s.ID().Compare(p.last) <= 0
	p.last = s.ID()
}

func (p *process) conflictCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conflicts
}

type testFleet struct {
	t         testing.TB
	platforms []*standin.Platform
	addresses []string
	processes []*process
	hosts     []subscriber.Host
	// fallback defaults to noFallback, since fallback reads would distort the count of reads per change.
	fallback func(int, float64) time.Duration
	config   gossiper.Config
}

// noFallback returns an interval so long that the first read, at a random time within it, does not happen in a test.
func noFallback(int, float64) time.Duration { return 100_000 * time.Hour }

func newFleet(t testing.TB, platforms int) *testFleet {
	f := &testFleet{t: t, fallback: noFallback}
	for range platforms {
		p := standin.NewPlatform()
		srv := httptest.NewServer(p.Handler())
		t.Cleanup(srv.Close)
		t.Cleanup(func() { p.SetDown(true) })
		f.platforms = append(f.platforms, p)
		f.addresses = append(f.addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	return f
}

// start starts n processes spread over the failure domains; process i uses platform i modulo their number.
func (f *testFleet) start(n, domains int) {
	listeners := make([]net.Listener, n)
	first := len(f.hosts)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(f.t, err)
		listeners[i] = l
		f.hosts = append(f.hosts, subscriber.Host{
			Name: fmt.Sprintf("host-%03d", first+i), Address: "127.0.0.1:1", Control: l.Addr().String(),
			Domain: fmt.Sprintf("d%d", i%domains), Role: subscriber.RoleRouter, State: subscriber.StateLive,
		})
	}
	for _, p := range f.platforms {
		p.SetHosts(f.hosts)
	}
	for i := range n {
		f.run(listeners[i], f.hosts[first+i], f.addresses[i%len(f.addresses)])
	}
}

func (f *testFleet) run(l net.Listener, host subscriber.Host, platformAddress string) *process {
	p := &process{host: host, holder: configurer.NewHolder()}
	cfg := f.config
	cfg.Name, cfg.Control = host.Name, host.Control
	cfg.Current, cfg.Manifest, cfg.Part = p.holder.Current, p.holder.Manifest, p.holder.Part
	cfg.Observe = func(peer string, id configurer.ID) { p.d.Observe(peer, id) }
	cfg.Key = key
	g, err := gossiper.New(cfg)
	require.NoError(f.t, err)
	hosts := append([]subscriber.Host(nil), f.hosts...)
	p.d = gossiper.NewDistributor(gossiper.DistributorConfig{
		Name: host.Name, Domain: host.Domain, Holder: p.holder, Gossip: g,
		Platform:         subscriber.New(subscriber.Config{Addresses: []string{platformAddress}, Timeout: time.Second}),
		Hosts:            func() []subscriber.Host { return hosts },
		FallbackInterval: f.fallback, OnAdopt: p.onAdopt, Seed: uint64(len(f.processes) + 1),
		OnConflict: func(configurer.Conflict) { p.mu.Lock(); p.conflicts++; p.mu.Unlock() },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = g.Serve(l) })
	wg.Go(func() { _ = p.d.Run(ctx) })
	var once sync.Once
	p.stop = func() {
		once.Do(func() {
			cancel()
			_ = l.Close()
			g.Close()
			wg.Wait()
		})
	}
	f.t.Cleanup(p.stop)
	f.processes = append(f.processes, p)
	return p
}

type published struct {
	manifest []byte
	parts    [][]byte
}

func (p published) id() configurer.ID {
	m, _ := configurer.DecodeManifest(p.manifest)
	return configurer.ID{Version: m.Version, Digest: configurer.DigestOf(p.manifest)}
}

func configuration(version uint64, share float64) published {
	p := published{parts: [][]byte{
		configurer.EncodePart(configurer.Part{Ranks: []configurer.Rank{{Name: "urgent", TargetMS: 440, Worth: 1, Share: share}}}),
		configurer.EncodePart(configurer.Part{Pools: []configurer.Pool{{Name: "vavrad", Model: "m", Version: fmt.Sprint(version)}}}),
		configurer.EncodePart(configurer.Part{Services: []configurer.Service{{Name: "bestall", Workers: []string{"w"}, HorizonMS: 1}}}),
	}}
	m := configurer.Manifest{Version: version}
	for i, data := range p.parts {
		m.Parts = append(m.Parts, configurer.PartRef{Name: fmt.Sprint("part-", i), Digest: configurer.DigestOf(data)})
	}
	p.manifest, _ = json.Marshal(m)
	return p
}

func publish(s *standin.Platform, p published) {
	for _, data := range p.parts {
		s.SetValue(configurer.PartKey(configurer.DigestOf(data)), data)
	}
	s.SetValue(configurer.ManifestKey, p.manifest)
}

func (f *testFleet) waitFor(id configurer.ID) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for _, p := range f.processes {
			if p.holder.Current() != id {
				return false
			}
		}
		return true
	}, waitTimeout, 2*time.Millisecond)
	for _, p := range f.processes {
		p.mu.Lock()
		require.False(f.t, p.reverted, "%s reverted", p.host.Name)
		p.mu.Unlock()
	}
}

// lastAdoption returns the time from start until the last process adopted a configuration.
func (f *testFleet) lastAdoption(start time.Time) time.Duration {
	var last time.Duration
	for _, p := range f.processes {
		p.mu.Lock()
		last = max(last, p.adopted.Sub(start))
		p.mu.Unlock()
	}
	return last
}

// Guards against a change that does not reach every process, and against a number of platform reads per change that
// grows with the fleet.
func TestDistribution(t *testing.T) {
	for _, n := range []int{12, 30, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			const domains, changes = 3, 5
			f := newFleet(t, 1)
			publish(f.platforms[0], configuration(1, 0.5))
			f.start(n, domains)
			f.waitFor(configuration(1, 0.5).id())
			watchers := 3 * domains
			waitForWatches := func() {
				require.Eventually(t, func() bool { return f.platforms[0].Waiting() == watchers }, waitTimeout, time.Millisecond)
			}
			// A process may adopt from a peer before its own first read of the platform.
			for _, p := range f.processes {
				<-p.d.Ready()
			}
			waitForWatches()
			started := f.platforms[0].Reads()
			var worst, sum time.Duration
			for v := uint64(2); v < 2+changes; v++ {
				c := configuration(v, 0.5)
				start := time.Now()
				publish(f.platforms[0], c)
				f.waitFor(c.id())
				took := f.lastAdoption(start)
				worst, sum = max(worst, took), sum+took
				waitForWatches()
			}
			reads := f.platforms[0].Reads() - started
			t.Logf("%d processes: %d reads at the start; each change reached all processes after %v on average, %v at worst, with %.1f reads",
				n, started, (sum / changes).Round(time.Millisecond), worst.Round(time.Millisecond), float64(reads)/changes)
			// Each watcher reads the changed part at most once and watches again.
			require.LessOrEqual(t, reads, changes*2*watchers)
		})
	}
}

// Guards against a process that cannot start while the platform is down, and against one that starts with an older
// configuration because the platform is stale.
func TestStartFromPeers(t *testing.T) {
	f := newFleet(t, 1)
	old, newer := configuration(1, 0.5), configuration(2, 0.5)
	publish(f.platforms[0], old)
	f.start(6, 3)
	f.waitFor(old.id())
	publish(f.platforms[0], newer)
	f.waitFor(newer.id())

	f.platforms[0].SetDown(true)
	f.start(2, 2)
	f.waitFor(newer.id())
	for _, p := range f.processes[6:] {
		<-p.d.Ready()
		require.True(t, p.d.Confirmed().IsZero(), "no confirmation is possible while the platform is down")
	}
	f.platforms[0].SetDown(false)

	// From here on, the platform serves an older copy.
	publish(f.platforms[0], old)
	f.platforms[0].SetStale(true)
	f.start(2, 2)
	f.waitFor(newer.id())
	<-f.processes[len(f.processes)-1].d.Ready()
	require.Equal(t, newer.id(), f.processes[len(f.processes)-1].holder.Current())
}

// Guards against a fleet that stays divided after the halves of a partitioned platform served different configurations
// under one version.
func TestConflict(t *testing.T) {
	f := newFleet(t, 2)
	first := configuration(1, 0.5)
	for _, p := range f.platforms {
		publish(p, first)
	}
	f.start(10, 1)
	f.waitFor(first.id())
	a, b := configuration(2, 0.5), configuration(2, 0.6)
	winner := a.id()
	if b.id().Compare(winner) > 0 {
		winner = b.id()
	}
	publish(f.platforms[0], a)
	publish(f.platforms[1], b)
	f.waitFor(winner)
	alarms := 0
	for _, p := range f.processes {
		alarms += p.conflictCount()
		require.LessOrEqual(t, p.conflictCount(), 1)
	}
	require.Positive(t, alarms)
}

// Guards against an invalid configuration that a process adopts or that prevents the adoption of the next one.
func TestInvalidConfiguration(t *testing.T) {
	f := newFleet(t, 1)
	valid := configuration(1, 0.5)
	publish(f.platforms[0], valid)
	f.start(6, 1)
	f.waitFor(valid.id())
	publish(f.platforms[0], configuration(2, 1.5))
	incomplete := configuration(3, 0.5)
	f.platforms[0].SetValue(configurer.ManifestKey, incomplete.manifest)
	next := configuration(4, 0.5)
	publish(f.platforms[0], next)
	f.waitFor(next.id())
}

// Guards against a part that is never fetched because the platform served it late or refused it because of load.
func TestLatePart(t *testing.T) {
	f := newFleet(t, 1)
	valid := configuration(1, 0.5)
	publish(f.platforms[0], valid)
	f.start(4, 1)
	f.waitFor(valid.id())
	late := configuration(2, 0.7)
	f.platforms[0].SetValue(configurer.ManifestKey, late.manifest)
	require.Eventually(t, func() bool { return len(f.processes[0].holder.Missing())+len(f.processes[1].holder.Missing()) > 0 }, waitTimeout, time.Millisecond)
	for _, data := range late.parts {
		f.platforms[0].SetValue(configurer.PartKey(configurer.DigestOf(data)), data)
	}
	f.waitFor(late.id())
}

// Guards against processes that receive no updates when the watchers of their failure domain are unreachable but still
// listed.
func TestUnreachableWatchers(t *testing.T) {
	f := newFleet(t, 1)
	first := configuration(1, 0.5)
	publish(f.platforms[0], first)
	f.start(12, 2)
	f.waitFor(first.id())
	unreachable := gossiper.Watchers(f.hosts, "d0")
	var remaining []*process
	for _, p := range f.processes {
		if strings.Contains(strings.Join(unreachable, " "), p.host.Name) {
			p.stop()
			continue
		}
		remaining = append(remaining, p)
	}
	f.processes = remaining
	next := configuration(2, 0.5)
	publish(f.platforms[0], next)
	f.waitFor(next.id())
}

// Guards against processes that never receive a change while all gossip fails.
func TestFallbackRead(t *testing.T) {
	f := newFleet(t, 1)
	f.fallback = func(int, float64) time.Duration { return 300 * time.Millisecond }
	f.config.Dial = func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
	first := configuration(1, 0.5)
	publish(f.platforms[0], first)
	f.start(6, 1)
	f.waitFor(first.id())
	next := configuration(2, 0.5)
	publish(f.platforms[0], next)
	f.waitFor(next.id())
	require.Eventually(t, func() bool { return !f.processes[0].d.Confirmed().IsZero() }, waitTimeout, time.Millisecond)
}

// Guards against a start of the whole fleet in which each process reads each part from the platform.
func TestStartOfFleet(t *testing.T) {
	const organisations, shards, processes, domains = 14_000, 128, 24, 3
	f := newFleet(t, 1)
	f.platforms[0].SetReadRate(2000)
	c := configuration(1, 0.5)
	var m configurer.Manifest
	require.NoError(t, json.Unmarshal(c.manifest, &m))
	for s := range shards {
		var part configurer.Part
		for i := s; i < organisations; i += shards {
			name := fmt.Sprintf("organisation-%05d", i)
			part.Organisations = append(part.Organisations, configurer.Organisation{Name: name, KeyHash: fmt.Sprintf("%064x", i), Rank: "urgent"})
		}
		data := configurer.EncodePart(part)
		c.parts = append(c.parts, data)
		m.Parts = append(m.Parts, configurer.PartRef{Name: fmt.Sprintf("organisations-%03d", s), Digest: configurer.DigestOf(data)})
	}
	c.manifest, _ = json.Marshal(m)
	publish(f.platforms[0], c)
	start := time.Now()
	f.start(processes, domains)
	for _, p := range f.processes {
		<-p.d.Ready()
	}
	took := time.Since(start)
	f.waitFor(c.id())
	reads, watchers := f.platforms[0].Reads(), 3*domains
	t.Logf("%d processes with %d parts each ready after %v: %d reads, at most %d in a second", processes, len(c.parts), took.Round(time.Millisecond), reads, f.platforms[0].PeakReads())
	require.Equal(t, organisations, f.processes[0].holder.Snapshot().OrganisationCount())
	// Without peers each process would read each part: 24 * 131 reads.
	require.Less(t, reads, 2*watchers*len(c.parts))
}
