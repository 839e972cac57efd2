package measurer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"clementineramp/compiler"
	"clementineramp/configurer"
	"clementineramp/demonstrator"
	"clementineramp/gossiper"
	"clementineramp/launcher"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

const (
	// configOrganisations makes parts of a few KB, as at the target size.
	configOrganisations = 1000
	// configChanges is the number of changes that are measured at a fleet with the platform up.
	configChanges = 4
	// configGoal and configGoalUp bound the time until a change is in force everywhere.
	propagationGoal, propagationGoalPlatformUp = 17 * time.Second, 5 * time.Second
	// configPause lets pushes of one change end before the next.
	configPause = 200 * time.Millisecond
	// pollInterval is the interval of the baseline, in which every process polls the platform.
	pollInterval = time.Second
)

// configFleets are the sizes that are measured; each has one agent of a plain service besides.
var configFleetSizes = []struct{ routers, engines int }{{4, 7}, {10, 19}, {20, 39}}

func configMeasurement() Measurement {
	return Measurement{
		Name:    "config",
		Summary: "time until a published configuration is in force everywhere, and reads of the platform",
		Run:     measureConfig,
	}
}

// configFleet is a fleet whose processes can be cut off from the platform.
type configFleet struct {
	*demonstrator.Fleet
	seed     uint64
	size     int
	version  uint64
	networks map[string]*countedNetwork
}

func startConfigFleet(ctx context.Context, routers, engines int, seed uint64) (*configFleet, error) {
	f := &configFleet{seed: seed, size: routers + engines + 1, version: 1, networks: map[string]*countedNetwork{}}
	var err error
	f.Fleet, err = demonstrator.StartFleet(ctx, demonstrator.FleetConfig{
		Routers: routers, Engines: engines, Workers: 1,
		Engine: standin.EngineConfig{Slots: 4, CacheTokens: 1000, TokenInterval: time.Millisecond},
		Network: func(name string) launcher.Network {
			f.networks[name] = newCountedNetwork()
			return f.networks[name].network()
		},
	})
	return f, trace.Wrap(err)
}

func (f *configFleet) processes() []*launcher.Process {
	return append(slices.Clone(f.Routers), f.Agents...)
}

// publish puts the next configuration at the platform; each differs from the last in one organisation.
func (f *configFleet) publish() (time.Time, error) {
	f.version++
	s, err := compiler.Compile(compiler.Source{Name: "measure.csv", Data: []byte(configSheet(f.version, f.seed))})
	if err != nil {
		return time.Time{}, trace.Wrap(err)
	}
	for _, p := range s.Parts {
		f.Platform.SetValue(configurer.PartKey(p.Digest), p.Data)
	}
	began := time.Now()
	f.Platform.SetValue(configurer.ManifestKey, s.Manifest)
	return began, nil
}

func configSheet(version, seed uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "version,number\nversion,%d\n", version)
	b.WriteString("rank,name,target,worth,share\nrank,urgent,440ms,100,0.5\nrank,normal,2s,10,0.2\n")
	fmt.Fprintf(&b, "pool,name,model,version,floor,account\npool,%s,%s,%s,0.5,\n",
		demonstrator.Pool, demonstrator.Model, demonstrator.Version)
	b.WriteString("organisation,name,key_hash,rank,ranks,weight\n")
	changed := (seed + version) % configOrganisations
	for i := range uint64(configOrganisations) {
		weight := uint64(1)
		if i == changed {
			weight = version
		}
		sum := sha256.Sum256(fmt.Appendf(nil, "key-%d-%d", seed, i))
		fmt.Fprintf(&b, "organisation,organisation-%d,%s,normal,,%d\n", i, hex.EncodeToString(sum[:]), weight)
	}
	return b.String()
}

// waitInForce returns the time from publication until the newest configuration is in force everywhere.
func (f *configFleet) waitApplied(ctx context.Context, began time.Time) (time.Duration, error) {
	for ctx.Err() == nil {
		behind := 0
		for _, p := range f.processes() {
			if s := p.Watcher().Snapshot(); s == nil || s.Version < f.version {
				behind++
			}
		}
		elapsed := time.Since(began)
		if behind == 0 {
			return elapsed, nil
		}
		if elapsed > 2*propagationGoal {
			return elapsed, trace.LimitExceeded("%d of %d processes lack a configuration after %v", behind, f.size, elapsed)
		}
		time.Sleep(time.Millisecond)
	}
	return 0, trace.Wrap(ctx.Err())
}

// reach cuts off all processes but those named from the platform.
func (f *configFleet) restrictPlatform(names ...string) {
	for name, t := range f.networks {
		if slices.Contains(names, name) {
			t.unblock()
		} else {
			t.block(f.PlatformServer.Address())
		}
	}
}

// split returns the names of the watchers of the platform, and of the others.
func (f *configFleet) splitWatchers() (watchers, others []string) {
	hosts := f.processes()[0].Watcher().Hosts()
	for _, h := range hosts {
		if slices.Contains(gossiper.Watchers(hosts, h.Domain), h.Name) {
			watchers = append(watchers, h.Name)
		} else {
			others = append(others, h.Name)
		}
	}
	return watchers, others
}

func measureConfig(ctx context.Context, seed uint64) (Result, error) {
	r := Result{Name: "config", Seed: seed}
	// The wait for a fallback read is long, so the fleets are measured side by side.
	results := make([]Result, len(configFleetSizes))
	var g errgroup.Group
	for i, size := range configFleetSizes {
		g.Go(func() error { return measureConfigFleet(ctx, &results[i], size.routers, size.engines, seed) })
	}
	if err := g.Wait(); err != nil {
		return r, err
	}
	for _, f := range results {
		r.Figures = append(r.Figures, f.Figures...)
	}
	r.Notes = append(r.Notes,
		"all processes and stand-ins share one machine and the platform answers without delay; a lagging platform adds its delay once",
		"the time runs from the write of the manifest at the stand-in to the last process whose snapshot has the version")
	return r, nil
}

func measureConfigFleet(ctx context.Context, r *Result, routers, engines int, seed uint64) error {
	f, err := startConfigFleet(ctx, routers, engines, seed)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := f.measurePlatformUp(ctx, r); err != nil {
		return err
	}
	if err := f.measureOneWatcher(ctx, r); err != nil {
		return err
	}
	return f.measureOneNonWatcher(ctx, r)
}

// add appends a figure of the fleet.
func (r *Result) addFigure(name string, size int, value float64, unit string, goal *Goal) {
	r.Figures = append(r.Figures, Figure{Name: fmt.Sprintf("%s, %d processes", name, size), Subject: systemSubject, Value: value, Unit: unit, Goal: goal})
}

// subject is the subject of the figures that are not of a baseline.
const systemSubject = "clementineramp"

// measureUp publishes changes while every process reaches the platform, and compares with polling.
func (f *configFleet) measurePlatformUp(ctx context.Context, r *Result) error {
	// The pollers read another platform than the fleet, so that the reads of each can be told apart.
	baseline, err := startPollers(ctx, f.size)
	if err != nil {
		return err
	}
	defer baseline.stop()
	// The first of these configurations replaces every part.
	began, err := f.publish()
	if err != nil {
		return err
	}
	if _, err := f.waitApplied(ctx, began); err != nil {
		return err
	}
	var elapsed, pollElapsed []time.Duration
	var reads []int
	for range configChanges {
		before := f.Platform.Reads()
		began, err := f.publish()
		if err != nil {
			return err
		}
		baseline.publish(f.version)
		d, err := f.waitApplied(ctx, began)
		if err != nil {
			return err
		}
		elapsed = append(elapsed, d)
		time.Sleep(configPause)
		reads = append(reads, f.Platform.Reads()-before)
		pollElapsed = append(pollElapsed, baseline.wait(ctx, f.version, began))
	}
	slices.Sort(elapsed)
	slices.Sort(pollElapsed)
	slices.Sort(reads)
	r.addFigure("in force everywhere, platform up, median", f.size, elapsed[len(elapsed)/2].Seconds(), "s", AtMost(propagationGoalPlatformUp.Seconds()))
	r.addFigure("in force everywhere, platform up, worst of 4", f.size, elapsed[len(elapsed)-1].Seconds(), "s", AtMost(propagationGoalPlatformUp.Seconds()))
	r.addFigure("platform reads for a change", f.size, float64(reads[len(reads)/2]), "", nil)
	r.addPollingFigure("in force everywhere, platform up, worst of 4", f.size, pollElapsed[len(pollElapsed)-1].Seconds(), "s")
	r.addPollingFigure("platform reads between two of 910 changes a day", f.size, float64(f.size)*secondsPerDay/changesPerDay/pollInterval.Seconds(), "")
	return nil
}

const (
	secondsPerDay = 86400
	// changesPerDay is the number of configuration changes at the target size.
	changesPerDay = 910
)

func (r *Result) addPollingFigure(name string, size int, value float64, unit string) {
	r.Figures = append(r.Figures, Figure{
		Name: fmt.Sprintf("%s, %d processes", name, size), Subject: "every process polls each second", Value: value, Unit: unit,
	})
}

// measureRelay publishes while only one watcher reaches the platform.
func (f *configFleet) measureOneWatcher(ctx context.Context, r *Result) error {
	watchers, _ := f.splitWatchers()
	f.restrictPlatform(watchers[int(f.seed)%len(watchers)])
	began, err := f.publish()
	if err != nil {
		return err
	}
	elapsed, err := f.waitApplied(ctx, began)
	r.addFigure("in force everywhere, platform up for one watcher", f.size, elapsed.Seconds(), "s", AtMost(propagationGoal.Seconds()))
	return err
}

// measureAlone publishes while only one process that does not watch the platform reaches it.
func (f *configFleet) measureOneNonWatcher(ctx context.Context, r *Result) error {
	_, others := f.splitWatchers()
	f.restrictPlatform(others[int(f.seed)%len(others)])
	began, err := f.publish()
	if err != nil {
		return err
	}
	elapsed, err := f.waitApplied(ctx, began)
	r.addFigure("in force everywhere, platform up for one process that does not watch it", f.size, elapsed.Seconds(), "s", AtMost(propagationGoal.Seconds()))
	return err
}

// pollers is the baseline: every process reads the manifest each second.
type pollers struct {
	platform *standin.Platform
	server   *standin.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	latest []pollResult
}

// pollSeen is what one poller read last and when.
type pollResult struct {
	version uint64
	at      time.Time
}

func startPollers(ctx context.Context, n int) (*pollers, error) {
	p := &pollers{platform: standin.NewPlatform(), latest: make([]pollResult, n)}
	p.publish(1)
	var err error
	if p.server, err = standin.Start("", p.platform.Handler()); err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, p.cancel = context.WithCancel(ctx)
	client := subscriber.New(subscriber.Config{
		Addresses: []string{p.server.Address()}, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: n}},
	})
	for i := range n {
		p.wg.Go(func() { p.poll(ctx, client, i, time.Duration(i)*pollInterval/time.Duration(n)) })
	}
	return p, nil
}

func (p *pollers) publish(version uint64) {
	p.platform.SetValue(configurer.ManifestKey, fmt.Appendf(nil, "%d", version))
}

func (p *pollers) poll(ctx context.Context, client *subscriber.Client, i int, phase time.Duration) {
	wait := phase
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = pollInterval
		v, err := client.Value(ctx, configurer.ManifestKey)
		if err != nil {
			continue
		}
		var version uint64
		_, _ = fmt.Sscan(string(v.Data), &version)
		p.mu.Lock()
		if version > p.latest[i].version {
			p.latest[i] = pollResult{version, time.Now()}
		}
		p.mu.Unlock()
	}
}

// wait returns the time until every poller has read a version.
func (p *pollers) wait(ctx context.Context, version uint64, began time.Time) time.Duration {
	for ctx.Err() == nil {
		if at, ok := p.allReadAt(version); ok {
			return at.Sub(began)
		}
		time.Sleep(time.Millisecond)
	}
	return 0
}

func (p *pollers) allReadAt(version uint64) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for _, s := range p.latest {
		if s.version < version {
			return last, false
		}
		if s.at.After(last) {
			last = s.at
		}
	}
	return last, true
}

func (p *pollers) stop() {
	p.cancel()
	p.wg.Wait()
	p.server.Kill()
}
