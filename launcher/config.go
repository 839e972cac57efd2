package launcher

import (
	"time"

	"clementineramp/agent"
	"clementineramp/caller"
	"clementineramp/chooser"
	"clementineramp/encoder"
	"clementineramp/forwarder"
	"clementineramp/limiter"
	"clementineramp/operator"
	"clementineramp/router"
)

// creditAdvance is the accrual time whose credits an agent may spend as soon as it has started; without it, a new fleet
// would refuse its first requests. At the target size of 1,020 processes, 270 restarts a day overspend by at most 0.2%
// of a day's accrual.
const creditAdvance = 10 * time.Minute

// unlimitedSkipFactor makes routers send a chat to the first agent in its preference order even if its reported load is
// high, because only that agent has its exact load and a record of which engine has the chat's prefix in its cache.
const unlimitedSkipFactor = 1e6

func (p *Process) routerConfig() router.Config {
	retries, err := limiter.NewRetryBudget(limiter.RetryConfig{Ratio: p.cfg.Routing.RetryRatio})
	if err != nil {
		p.log.Error("retry_budget", "error", err)
	}
	w := p.watcher
	return router.Config{
		Name: p.cfg.Name, SharedKey: p.cfg.SharedKey.Reveal(),
		Limits: caller.Limits{
			BodyBytes: int64(p.cfg.Limits.BodySize), HeaderBytes: int(p.cfg.Limits.HeaderSize),
			HeaderTime: p.cfg.Limits.HeaderTime, IdleTime: p.cfg.Limits.IdleTime, BodyTime: p.cfg.Limits.BodyTime,
			StreamTime: p.cfg.Limits.StreamTime, StreamBytes: int64(p.cfg.Limits.StreamSize),
		},
		Chooser: chooser.Config{
			Bound: p.cfg.Routing.Bound, Attempts: p.cfg.Routing.Attempts, Ramp: p.cfg.Routing.Ramp, Domain: p.cfg.FailureDomain,
			SkipFactor: unlimitedSkipFactor, Policy: p.routing,
		},
		FirstByte: p.cfg.Routing.FirstByteTimeout, StreamIdle: p.cfg.Limits.StreamIdleTime,
		Snapshot: w.Snapshot, Fleet: w.Fleet, View: w.View, HostsReceived: w.HostsReceived, Address: w.Address,
		Observe: w.Observe, Merge: w.Merge, FreshestLoad: w.Freshest,
		CountControl: w.CountControl,
		Forwarder:    forwarder.Config{Dial: p.network.Dial},
		Retries:      retries, Log: p.log, Metrics: p.registry,
	}
}

func (p *Process) agentConfig() agent.Config {
	u, w := p.cfg.Upstream, p.watcher
	return agent.Config{
		Name: p.cfg.Name, Pool: u.Name, Kind: agent.Kind(u.Kind), Upstream: u.Address.String(),
		SharedKey: p.cfg.SharedKey.Reveal(), Slots: u.Slots, Bound: p.cfg.Routing.Bound,
		MaxQueueWork: float64(u.QueueWork), MaxQueueTime: u.QueueTime, AnswerRetention: u.AnswerKeep,
		Admission: p.admission, Routing: p.routing, StreamIdle: p.cfg.Limits.StreamIdleTime, ChecksFencing: u.ChecksFencing,
		Snapshot: w.Snapshot, Confirmed: w.Confirmed, CallerKeysFrom: w.CallerKeysFrom, MergeFleet: w.MergeFleet,
		PeerLoad: w.PoolLoadExcept, View: w.View, MergeLoad: w.Merge,
		FreshestLoad:  func() []encoder.LoadEntry { return w.Freshest(p.cfg.Name) },
		CountControl:  w.CountControl,
		OnCrash:       func() { w.PushMarks(u.Name) },
		CreditAdvance: creditAdvance,
		DialUpstream:  p.network.Dial, Log: p.log, Metrics: p.registry,
	}
}

// Status returns the status of the process for operators. It has no configuration and no upstreams until the first
// configuration is received.
func (p *Process) Status() operator.Status {
	s := operator.Status{
		Name: p.cfg.Name, Role: string(p.cfg.Role), Region: p.cfg.Region, FailureDomain: p.cfg.FailureDomain,
		Incarnation: p.incarnation, State: p.State(), UptimeMS: time.Since(p.started).Milliseconds(), Running: p.role.running(),
	}
	s.Alarms = p.watcher.Alarms()
	if p.role.alarms != nil {
		s.Alarms = append(s.Alarms, p.role.alarms()...)
	}
	totals := p.budget.Totals()
	if seconds := time.Since(p.started).Seconds(); seconds > 0 {
		s.ControlBytesPerSecond = float64(totals.Sent+totals.Received) / seconds
	}
	snapshot := p.watcher.Snapshot()
	if snapshot == nil {
		return s
	}
	s.Configuration = operator.Configuration{Version: snapshot.Version, Digest: snapshot.Digest, ConfirmedMS: -1}
	if c := p.watcher.Confirmed(); !c.IsZero() {
		s.Configuration.ConfirmedMS = time.Since(c).Milliseconds()
	}
	for _, pool := range snapshot.Pools {
		s.Upstreams = append(s.Upstreams, p.upstreams(pool.Name)...)
	}
	for _, service := range snapshot.Services {
		s.Upstreams = append(s.Upstreams, p.upstreams(service.Name)...)
	}
	return s
}

// upstreams returns the status of the upstreams of a pool or service.
func (p *Process) upstreams(pool string) []operator.Upstream {
	var list []operator.Upstream
	for _, u := range p.watcher.View(pool) {
		list = append(list, operator.Upstream{
			Name: u.Name, Pool: pool, FailureDomain: u.Domain, State: u.State.String(),
			Work: u.Work, Queued: u.Queued, AgeMS: u.WorkAge.Milliseconds(),
		})
	}
	return list
}
