package prover

import (
	"context"
	"time"

	"clementineramp/demonstrator"
	"clementineramp/standin"
	"clementineramp/subscriber"
)

// Fault is a failure or disturbance that a cell injects. Its value is part of the cell's name.
type Fault string

// The faults. Cut faults block a link between two processes: those named "To" block one direction, the others both.
const (
	KillRouter         Fault = "kill_router"
	KillAgent          Fault = "kill_agent"
	KillUpstream       Fault = "kill_upstream"
	CutRouterAgent     Fault = "cut_router_agent"
	CutRouterToAgent   Fault = "cut_router_to_agent"
	CutAgentToRouter   Fault = "cut_agent_to_router"
	CutAgentUpstream   Fault = "cut_agent_upstream"
	CutAgentToUpstream Fault = "cut_agent_to_upstream"
	CutUpstreamToAgent Fault = "cut_upstream_to_agent"
	FreezeRouter       Fault = "freeze_router"
	FreezeAgent        Fault = "freeze_agent"
	FreezeUpstream     Fault = "freeze_upstream"
	PlatformDown       Fault = "platform_down"
	PlatformStale      Fault = "platform_stale"
	ListsDiffer        Fault = "lists_differ"
	UpstreamLeaving    Fault = "upstream_leaving"
	UpstreamFlapping   Fault = "upstream_flapping"
	OperatorsRacing    Fault = "operators_racing"
	CrashingRequest    Fault = "crashing_request"
	Flood              Fault = "flood"
)

// Faults returns every fault, in the order of the cells of the matrix.
func Faults() []Fault {
	return []Fault{
		KillRouter, KillAgent, KillUpstream,
		CutRouterAgent, CutRouterToAgent, CutAgentToRouter, CutAgentUpstream, CutAgentToUpstream, CutUpstreamToAgent,
		FreezeRouter, FreezeAgent, FreezeUpstream, PlatformDown, PlatformStale, ListsDiffer,
		UpstreamLeaving, UpstreamFlapping, OperatorsRacing, CrashingRequest, Flood,
	}
}

// FaultPairs returns the pairs of faults that are injected together; each fault is in at least one pair.
func FaultPairs() [][2]Fault {
	return [][2]Fault{
		{KillRouter, KillAgent},
		{KillRouter, PlatformStale},
		{KillAgent, PlatformDown},
		{KillUpstream, CutAgentToRouter},
		{CutRouterAgent, UpstreamLeaving},
		{CutRouterToAgent, FreezeUpstream},
		{CutAgentUpstream, Flood},
		{CutAgentToUpstream, ListsDiffer},
		{CutUpstreamToAgent, KillRouter},
		{FreezeRouter, KillUpstream},
		{FreezeAgent, UpstreamLeaving},
		{UpstreamFlapping, Flood},
		{OperatorsRacing, PlatformStale},
		{CrashingRequest, Flood},
	}
}

const (
	// faultDuration is how long a fault lasts; it is longer than the first-byte timeout of the routers in a cell.
	faultDuration = 3 * time.Second
	// freezeDuration is how long a process is frozen; it is longer than every request timeout in a cell.
	freezeDuration = 8 * time.Second
	// flapInterval is how long a flapping upstream stays down, and then up, in each cycle.
	flapInterval = 700 * time.Millisecond
	flapCount    = 3
	// floodChats is many times the number of chats that the fleet of a cell serves at once.
	floodChats = 24
	// supervisorInterval is the interval at which the supervisor of a host restarts a crashed engine.
	supervisorInterval = time.Second
	// raceTimeout limits the wait for a process to apply the first of two competing configurations.
	raceTimeout = 2 * time.Second
)

// duration returns the time between injecting a fault and healing it.
func (f Fault) duration() time.Duration {
	switch f {
	case FreezeRouter, FreezeAgent, FreezeUpstream:
		return freezeDuration
	default:
		return faultDuration
	}
}

// link returns the two ends of the link that the fault cuts, and whether it cuts the direction from a to b (there)
// and from b to a (back). For a fault that cuts no link, a and b are empty.
func (f Fault) link(c *cellRun) (a, b string, there, back bool) {
	upstream := demonstrator.UpstreamEndpoint(c.agent)
	switch f {
	case CutRouterAgent:
		return c.router, c.agent, true, true
	case CutRouterToAgent:
		return c.router, c.agent, true, false
	case CutAgentToRouter:
		return c.router, c.agent, false, true
	case CutAgentUpstream:
		return c.agent, upstream, true, true
	case CutAgentToUpstream:
		return c.agent, upstream, true, false
	case CutUpstreamToAgent:
		return c.agent, upstream, false, true
	default:
		return "", "", false, false
	}
}

// target returns the process that the fault kills, freezes or stops, or an empty string if there is none.
func (f Fault) target(c *cellRun) string {
	switch f {
	case KillRouter, FreezeRouter:
		return c.router
	case KillAgent, FreezeAgent, UpstreamLeaving:
		return c.agent
	case KillUpstream, FreezeUpstream, UpstreamFlapping:
		return demonstrator.UpstreamEndpoint(c.agent)
	default:
		return ""
	}
}

// injectNow injects the part of the fault that other processes notice at once. It runs inside the observed event that
// is the step, so that the fault takes effect exactly at the step.
func (f Fault) injectNow(c *cellRun) {
	a, b, there, back := f.link(c)
	if there {
		c.network.Cut(a, b)
	}
	if back {
		c.network.Cut(b, a)
	}
	switch f {
	case KillRouter, KillAgent, KillUpstream:
		c.network.Kill(f.target(c))
	case FreezeRouter, FreezeAgent, FreezeUpstream:
		c.network.Freeze(f.target(c), true)
	case PlatformDown:
		c.fleet.Platform.SetDown(true)
	case PlatformStale:
		c.fleet.Platform.SetStale(true)
	default:
	}
}

// injectInBackground injects the part of the fault that takes time. It returns before the fault is healed.
func (f Fault) injectInBackground(ctx context.Context, c *cellRun) {
	switch f {
	case KillRouter, KillAgent:
		_ = c.fleet.KillProcess(f.target(c))
	case KillUpstream:
		c.upstream().Kill()
	case ListsDiffer:
		other := demonstrator.RouterName(1)
		c.network.Cut(demonstrator.PlatformEndpoint, other)
		c.fleet.Platform.SetHosts(without(c.fleet.Hosts(), c.agent))
	case UpstreamLeaving:
		c.fleet.Platform.SetHosts(leaving(c.fleet.Hosts(), c.agent))
		c.stop(c.agent)
	case UpstreamFlapping:
		for range flapCount {
			c.network.Kill(f.target(c))
			c.upstream().Kill()
			time.Sleep(flapInterval)
			_ = c.upstream().Restart()
			time.Sleep(flapInterval)
		}
	case OperatorsRacing:
		c.race(ctx)
	case CrashingRequest:
		c.crash(ctx)
	case Flood:
		c.flood(ctx)
	default:
	}
}

// heal undoes the fault; a killed or stopped process is restarted.
func (f Fault) heal(c *cellRun) {
	if a, b, _, _ := f.link(c); a != "" {
		c.network.Heal(a, b)
		c.network.Heal(b, a)
	}
	switch f {
	case KillRouter, KillAgent:
		c.restart(f.target(c))
	case KillUpstream:
		c.restartUpstreams()
	case FreezeRouter, FreezeAgent, FreezeUpstream:
		c.network.Freeze(f.target(c), false)
	case PlatformDown:
		c.fleet.Platform.SetDown(false)
	case PlatformStale:
		c.fleet.Platform.SetStale(false)
	case ListsDiffer:
		c.network.Heal(demonstrator.PlatformEndpoint, demonstrator.RouterName(1))
		c.fleet.Platform.SetHosts(c.fleet.Hosts())
	case UpstreamLeaving:
		c.restartAfterStop(c.agent)
		c.fleet.Platform.SetHosts(c.fleet.Hosts())
	default:
	}
}

func without(hosts []subscriber.Host, name string) []subscriber.Host {
	var kept []subscriber.Host
	for _, h := range hosts {
		if h.Name != name {
			kept = append(kept, h)
		}
	}
	return kept
}

func leaving(hosts []subscriber.Host, name string) []subscriber.Host {
	for i := range hosts {
		if hosts[i].Name == name {
			hosts[i].State = subscriber.StateLeaving
		}
	}
	return hosts
}

// killable is a stand-in upstream that can be killed and restarted.
type killable interface {
	Kill()
	Restart() error
}

// upstream returns the stand-in upstream of the agent that the faults of the cell hit, or a nil pointer if there is none.
func (c *cellRun) upstream() killable {
	for _, e := range c.fleet.Engines {
		if e.Name() == c.agent {
			return e
		}
	}
	for _, s := range c.fleet.Workers {
		if s.Name() == c.agent {
			return s
		}
	}
	return (*standin.Engine)(nil)
}

func (c *cellRun) restartUpstreams() {
	for _, e := range c.fleet.Engines {
		_ = e.Restart()
	}
	for _, s := range c.fleet.Workers {
		_ = s.Restart()
	}
}
