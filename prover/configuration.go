package prover

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"clementineramp/demonstrator"
	"clementineramp/judge"
	"clementineramp/ticketer"
)

// Versions of the configurations that a cell publishes; the fleet starts with initialVersion.
const (
	initialVersion = 1
	updatedVersion = 2
	raceVersion    = 3
)

// nextModelVersion is the model version that a placement loads.
const nextModelVersion = "v2"

// The organisations that distinguish the configurations: a router accepts the key of one only while it uses a
// configuration that lists it.
var (
	updateOrg = demonstrator.Organisation{Name: "late", Key: "key-late", Rank: "normal"}
	raceOrgA  = demonstrator.Organisation{Name: "race-a", Key: "key-race-a", Rank: "normal"}
	raceOrgB  = demonstrator.Organisation{Name: "race-b", Key: "key-race-b", Rank: "normal"}
)

const (
	// convergenceTime is the time within which every process must use a published configuration.
	convergenceTime = 17 * time.Second
	// sampleInterval is the time between two samples of the configuration that a process uses.
	sampleInterval = 500 * time.Millisecond
	sampleTimeout  = 300 * time.Millisecond
)

// publish publishes a configuration on the platform, and starts to sample which configuration each process uses.
func (c *cellRun) publish(ctx context.Context, version uint64, more ...demonstrator.Organisation) {
	c.startSampling(ctx)
	c.journal.publish(version)
	_ = c.fleet.Publish(version, c.modelVersion, more...)
	c.observe(event{})
}

// race publishes two configurations with the same version, the second one once a process has applied the first or
// raceTimeout has ended.
func (c *cellRun) race(ctx context.Context) {
	select {
	case <-c.adopted:
	default:
	}
	c.publish(ctx, raceVersion, updateOrg, raceOrgA)
	select {
	case <-c.adopted:
	case <-time.After(raceTimeout):
	}
	c.publish(ctx, raceVersion, updateOrg, raceOrgB)
}

// startSampling starts to sample the configuration that each process uses, until ctx ends. Further calls do nothing.
func (c *cellRun) startSampling(ctx context.Context) {
	c.mu.Lock()
	started := c.samplingStarted
	c.samplingStarted = true
	c.mu.Unlock()
	if started {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	c.stopSampling = cancel
	for i := range routers {
		c.startSampler(ctx, func() { c.sampleRouter(ctx, i) })
	}
	for name := range c.agents {
		c.startSampler(ctx, func() { c.sampleAgent(name) })
	}
}

func (c *cellRun) startSampler(ctx context.Context, sample func()) {
	c.samplers.Add(1)
	go func() {
		defer c.samplers.Done()
		for ctx.Err() == nil {
			sample()
			sleep(ctx, sampleInterval)
		}
	}()
}

// sampleRouter determines which configuration a router uses from the keys that it accepts.
func (c *cellRun) sampleRouter(ctx context.Context, i int) {
	address, name := c.routerAt(i)
	s := Sample{Process: name, At: time.Now(), Version: initialVersion}
	for _, o := range []demonstrator.Organisation{updateOrg, raceOrgA, raceOrgB} {
		known, ok := c.acceptsKey(ctx, address, o)
		if !ok {
			return
		}
		switch {
		case !known:
		case o == updateOrg:
			s.Version = max(s.Version, updatedVersion)
		default:
			s.Version, s.Content = raceVersion, s.Content+o.Name
		}
	}
	c.journal.addSample(s)
}

// acceptsKey reports whether a router accepts the key of an organisation; ok is false if the router gave no usable
// response. It requests a stream that does not exist, which is refused as "unauthorised" only if the key is unknown.
func (c *cellRun) acceptsKey(ctx context.Context, address string, o demonstrator.Organisation) (known, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	caller := c.newCaller("sampler", o)
	_, err := caller.client.Resume(ctx, address, "nobody.1.1:0")
	var a Attempt
	a.setOutcome(err)
	switch {
	case a.Outcome != Refused || a.Reason == judge.ReasonNotReady || a.Reason == judge.ReasonLeaving:
		return false, false
	default:
		return a.Reason != judge.ReasonUnauthorised, true
	}
}

// sampleAgent reads the configuration from the agent itself, because callers cannot observe it.
func (c *cellRun) sampleAgent(name string) {
	p, err := c.fleet.Process(name)
	if err != nil {
		return
	}
	if s := p.Watcher().Snapshot(); s != nil {
		sample := Sample{Process: name, At: time.Now(), Version: s.Version}
		for _, o := range []demonstrator.Organisation{raceOrgA, raceOrgB} {
			if _, ok := s.Organisation(o.Name); ok {
				sample.Content += o.Name
			}
		}
		c.journal.addSample(sample)
	}
}

// awaitConvergence waits until every process must use the published configuration, and three sample intervals longer,
// so that each process is sampled once more.
func (c *cellRun) awaitConvergence() {
	j := c.journal
	j.mu.Lock()
	deadline, published := j.convergenceDeadline(), !j.Published.IsZero()
	j.mu.Unlock()
	if !published {
		return
	}
	time.Sleep(time.Until(deadline.Add(3 * sampleInterval)))
	c.stopSampling()
	c.samplers.Wait()
}

// convergenceDeadline returns the time by which every process must use the newest configuration: convergenceTime
// after its publication or after the last fault was healed, whichever is later.
func (j *Journal) convergenceDeadline() time.Time {
	from := j.Published
	if j.Healed.After(from) {
		from = j.Healed
	}
	return from.Add(convergenceTime)
}

func agentOfTicket(text string) (string, error) {
	t, err := ticketer.ParseTicket(text)
	return t.Agent, trace.Wrap(err)
}
