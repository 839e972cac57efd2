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
	// configOrganisations is the number of organisations. It gives each part a size of a few KB, as at the target size.
	configOrganisations = 1000
	// configChanges is the number of changes that are measured while every process reaches the platform.
	configChanges = 4
	// propagationGoal bounds the time until all processes use a change if only one process reaches the platform, and
	// propagationGoalPlatformUp if every process does.
	propagationGoal, propagationGoalPlatformUp = 17 * time.Second, 5 * time.Second
	// configPause lets the pushes of one change end before the next change.
	configPause = 200 * time.Millisecond
	// pollInterval is the poll interval of the baseline, in which every process polls the platform.
	pollInterval = time.Second
)

// configFleetSizes lists the measured fleet sizes; each fleet also has one agent of a plain service.
var configFleetSizes = []struct{ routers, engines int }{{4, 7}, {10, 19}, {20, 39}}

func configMeasurement() Measurement {
	return Measurement{
		Name:    "config",
		Summary: "time until all processes use a published configuration, and reads of the platform",
		Run:     measureConfig,
	}
}

// configFleet is a fleet whose processes can be disconnected from the platform one by one.
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

// publish stores the next configuration on the platform and returns the time just before the write of its manifest.
// Each configuration differs from the previous one in the weights of at most two organisations.
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

// waitApplied waits until all processes use the newest configuration and returns the time since its publication. It
// fails after twice propagationGoal.
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
			return elapsed, trace.LimitExceeded("%d of %d processes do not use the published configuration after %v", behind, f.size, elapsed)
		}
		time.Sleep(time.Millisecond)
	}
	return 0, trace.Wrap(ctx.Err())
}

// restrictPlatform disconnects all processes from the platform except the named ones.
func (f *configFleet) restrictPlatform(names ...string) {
	for name, nw := range f.networks {
		if slices.Contains(names, name) {
			nw.unblock()
		} else {
			nw.block(f.PlatformServer.Address())
		}
	}
}

// splitWatchers returns the names of the processes that watch the platform and of those that do not.
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
	// A process waits long before its fallback read of the platform, so the fleets are measured concurrently.
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
		"all processes and stand-ins share one machine, and the platform responds without delay; a slow platform adds its delay once",
		"the time runs from the write of the manifest on the stand-in platform until the last process uses that version")
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

// addFigure appends a figure of a fleet with the given number of processes.
func (r *Result) addFigure(name string, size int, value float64, unit string, goal *Goal) {
	r.Figures = append(r.Figures, Figure{Name: fmt.Sprintf("%s, %d processes", name, size), Subject: systemSubject, Value: value, Unit: unit, Goal: goal})
}

// systemSubject is the subject of all figures of the config, control and slopes measurements but those of baselines.
const systemSubject = "clementineramp"

// measurePlatformUp publishes changes while every process reaches the platform, and compares the fleet with polling.
func (f *configFleet) measurePlatformUp(ctx context.Context, r *Result) error {
	// The pollers read a platform of their own, so that their reads are not counted as reads of the fleet.
	baseline, err := startPollers(ctx, f.size)
	if err != nil {
		return err
	}
	defer baseline.stop()
	// The first published configuration replaces every part, so it is not measured.
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

// measureOneWatcher publishes a change while only one watcher reaches the platform.
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

// measureOneNonWatcher publishes a change while only one process reaches the platform, and that one does not watch it.
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

// pollers is the baseline, in which every process reads the manifest each second.
type pollers struct {
	platform *standin.Platform
	server   *standin.Server
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu     sync.Mutex
	latest []pollResult
}

// pollResult is the newest version that a poller has read, and the time of the first read of it.
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

// wait blocks until every poller has read a version and returns the time since its publication.
func (p *pollers) wait(ctx context.Context, version uint64, began time.Time) time.Duration {
	for ctx.Err() == nil {
		if at, ok := p.allReadAt(version); ok {
			return at.Sub(began)
		}
		time.Sleep(time.Millisecond)
	}
	return 0
}

// allReadAt returns when the last poller read a version, and false while a poller has not read it.
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
