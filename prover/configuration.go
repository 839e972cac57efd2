package prover

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"clementineramp/demonstrator"
	"clementineramp/judge"
	"clementineramp/ticketer"
)

// Versions of the configurations that a cell publishes after the first one.
const (
	versionFirst = 1
	versionLate  = 2
	versionRace  = 3
)

// nextVersion is the model version that a placement loads.
const nextVersion = "v2"

// The organisations that tell a configuration from the others: a key is known only where it is in force.
var (
	late  = demonstrator.Organisation{Name: "late", Key: "key-late", Rank: "normal"}
	raceA = demonstrator.Organisation{Name: "race-a", Key: "key-race-a", Rank: "normal"}
	raceB = demonstrator.Organisation{Name: "race-b", Key: "key-race-b", Rank: "normal"}
)

const (
	// forceTime is the time within which a configuration is in force everywhere.
	forceTime = 17 * time.Second
	// sampleInterval is the time between two looks at the configuration of a process.
	sampleInterval = 500 * time.Millisecond
	sampleTimeout  = 300 * time.Millisecond
)

// publish puts a configuration at the platform and begins to watch where it is in force.
func (c *cellRun) publish(ctx context.Context, version uint64, more ...demonstrator.Organisation) {
	c.sample(ctx)
	c.journal.publish(version)
	_ = c.fleet.Publish(version, c.modelVersion, more...)
	c.observe(event{})
}

// race publishes two configurations with the same version; the second comes when a process has adopted the first.
func (c *cellRun) race(ctx context.Context) {
	select {
	case <-c.adopted:
	default:
	}
	c.publish(ctx, versionRace, late, raceA)
	select {
	case <-c.adopted:
	case <-time.After(raceTime):
	}
	c.publish(ctx, versionRace, late, raceB)
}

// sample begins to look at the configuration of each process; ctx ends it.
func (c *cellRun) sample(ctx context.Context) {
	c.mu.Lock()
	begun := c.sampling
	c.sampling = true
	c.mu.Unlock()
	if begun {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	c.endSampling = cancel
	for i := range routers {
		c.sampler(ctx, func() { c.sampleRouter(ctx, i) })
	}
	for name := range c.agents {
		c.sampler(ctx, func() { c.sampleAgent(name) })
	}
}

func (c *cellRun) sampler(ctx context.Context, look func()) {
	c.samplers.Add(1)
	go func() {
		defer c.samplers.Done()
		for ctx.Err() == nil {
			look()
			pause(ctx, sampleInterval)
		}
	}()
}

// sampleRouter finds out which keys a router knows, and so by which configuration it acts.
func (c *cellRun) sampleRouter(ctx context.Context, i int) {
	address, name := c.routerAt(i)
	s := Sample{Process: name, At: time.Now(), Version: versionFirst}
	for _, o := range []demonstrator.Organisation{late, raceA, raceB} {
		known, ok := c.knows(ctx, address, o)
		if !ok {
			return
		}
		switch {
		case !known:
		case o == late:
			s.Version = max(s.Version, versionLate)
		default:
			s.Version, s.Content = versionRace, s.Content+o.Name
		}
	}
	c.journal.addSample(s)
}

// knows asks a router for a stream that does not exist: it answers "unauthorised" only to an unknown key.
func (c *cellRun) knows(ctx context.Context, address string, o demonstrator.Organisation) (known, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	caller := c.newCaller("sampler", o)
	_, err := caller.client.Resume(ctx, address, "nobody.1.1:0")
	var a Attempt
	a.judge(err)
	switch {
	case a.Outcome != Refused || a.Reason == judge.ReasonNotReady || a.Reason == judge.ReasonLeaving:
		return false, false
	default:
		return a.Reason != judge.ReasonUnauthorised, true
	}
}

// sampleAgent reads the configuration of an agent, which no caller can see, from the agent itself.
func (c *cellRun) sampleAgent(name string) {
	p, err := c.fleet.Process(name)
	if err != nil {
		return
	}
	if s := p.Watcher().Snapshot(); s != nil {
		sample := Sample{Process: name, At: time.Now(), Version: s.Version}
		for _, o := range []demonstrator.Organisation{raceA, raceB} {
			if _, ok := s.Organisation(o.Name); ok {
				sample.Content += o.Name
			}
		}
		c.journal.addSample(sample)
	}
}

// awaitConfiguration waits until a published configuration is due everywhere, and for one more look.
func (c *cellRun) awaitConfiguration() {
	j := c.journal
	j.mu.Lock()
	due, published := j.due(), !j.Published.IsZero()
	j.mu.Unlock()
	if !published {
		return
	}
	time.Sleep(time.Until(due.Add(3 * sampleInterval)))
	c.endSampling()
	c.samplers.Wait()
}

// due returns the time at which the newest configuration must be in force everywhere.
func (j *Journal) due() time.Time {
	from := j.Published
	if j.Healed.After(from) {
		from = j.Healed
	}
	return from.Add(forceTime)
}

func agentOfTicket(text string) (string, error) {
	t, err := ticketer.ParseTicket(text)
	return t.Agent, trace.Wrap(err)
}
