package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"clementineramp/demonstrator"
	"clementineramp/encoder"
	"clementineramp/launcher"
	"clementineramp/standin"
)

const (
	// controlRouters and controlEngines give the fleet more upstreams than an exchange has entries.
	controlRouters, controlEngines = 10, 40
	// controlSettleTime lets the traffic of the start-up end; controlWindow is the length of a measurement.
	controlSettleTime, controlWindow = 2 * time.Second, 5 * time.Second
	// controlWarmUp is the time under load before the window. It uses up the saved budget, which is up to that of 10 s.
	controlWarmUp = 13 * time.Second
	// controlRate is the number of requests per second at each router. At the target size, 420 routers receive 3,800
	// requests per second.
	controlRate = 9
	// maxControlBytes and maxCorePercent are the goals of a process: control bytes per second, sent and received, and
	// percent of a core while idle.
	maxControlBytes, maxCorePercent = 8000, 1.4
	// controlTokens is the length of an answer, in tokens.
	controlTokens = 4
	// targetAgents is the number of agents that a router of the baseline polls at the target size.
	targetAgents = 600
)

func controlMeasurement() Measurement {
	return Measurement{
		Name:    "control",
		Summary: "control traffic of routers and agents in bytes per second, and processor time of an idle process",
		Run:     measureControl,
	}
}

// controlProcess is a process whose control traffic is counted twice: by its own metrics and at its connections.
type controlProcess struct {
	*launcher.Process
	network *countedNetwork
	// loadAddresses holds the addresses whose connections carry no control traffic.
	loadAddresses map[string]bool
	// sent, received and skipped are the process's own counters, and wire counts the bytes at its connections. They
	// hold the counts at the start of a window and, after its end, the rates per second.
	sent, received, skipped, wire float64
}

func measureControl(ctx context.Context, seed uint64) (Result, error) {
	r := Result{Name: "control", Seed: seed}
	networks := map[string]*countedNetwork{}
	// Requests to agents and upstreams are load and not control traffic.
	loadAddresses := map[string]bool{}
	f, err := demonstrator.StartFleet(ctx, demonstrator.FleetConfig{
		Routers: controlRouters, Engines: controlEngines, Workers: 1,
		Engine: standin.EngineConfig{Slots: 8, CacheTokens: 4000, TokenInterval: time.Millisecond},
		Network: func(name string) launcher.Network {
			networks[name] = newCountedNetwork()
			return networks[name].network()
		},
	})
	if err != nil {
		return r, trace.Wrap(err)
	}
	defer f.Close()
	for _, e := range f.Engines {
		loadAddresses[e.Address()] = true
	}
	for _, w := range f.Workers {
		loadAddresses[w.Address()] = true
	}
	for _, a := range f.Agents {
		loadAddresses[a.Address()] = true
	}
	routers, agents := controlProcesses(f.Routers, networks, loadAddresses), controlProcesses(f.Agents, networks, loadAddresses)
	time.Sleep(controlSettleTime)
	if err := measureIdle(ctx, &r, routers, agents); err != nil {
		return r, err
	}
	if err := measureLoaded(ctx, &r, seed, routers, agents); err != nil {
		return r, err
	}
	return r, addPollBaseline(&r)
}

func controlProcesses(list []*launcher.Process, networks map[string]*countedNetwork, loadAddresses map[string]bool) []*controlProcess {
	var out []*controlProcess
	for _, p := range list {
		out = append(out, &controlProcess{Process: p, network: networks[p.Status().Name], loadAddresses: loadAddresses})
	}
	return out
}

// startWindow records the counts at the start of a window.
func (p *controlProcess) startWindow() (err error) {
	p.wire = p.network.total(p.loadAddresses)
	p.sent, p.received, p.skipped, err = p.readCounters()
	return err
}

// readCounters reads the process's own counters from its metrics endpoint.
func (p *controlProcess) readCounters() (sent, received, skipped float64, err error) {
	resp, err := http.Get("http://" + p.OperatorAddress() + "/metrics")
	if err != nil {
		return 0, 0, 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	var m struct {
		Sent     gaugeValue `json:"control_bytes_sent"`
		Received gaugeValue `json:"control_bytes_received"`
		Skipped  gaugeValue `json:"control_skipped"`
	}
	err = json.NewDecoder(resp.Body).Decode(&m)
	return m.Sent.Value, m.Received.Value, m.Skipped.Value, trace.Wrap(err)
}

type gaugeValue struct {
	Value float64 `json:"value"`
}

// measureWindow calls run and replaces the counts of each process by their rates per second during the call.
func measureWindow(processes []*controlProcess, run func() error) error {
	for _, p := range processes {
		if err := p.startWindow(); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := run(); err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	for _, p := range processes {
		sent, received, skipped, err := p.readCounters()
		if err != nil {
			return err
		}
		p.sent, p.received, p.skipped = (sent-p.sent)/seconds, (received-p.received)/seconds, (skipped-p.skipped)/seconds
		p.wire = (p.network.total(p.loadAddresses) - p.wire) / seconds
	}
	return nil
}

func measureIdle(ctx context.Context, r *Result, routers, agents []*controlProcess) error {
	var used time.Duration
	all := slices.Concat(routers, agents)
	err := measureWindow(all, func() error {
		before := processorTime()
		sleepFor(ctx, controlWindow)
		used = processorTime() - before
		return nil
	})
	if err != nil {
		return err
	}
	addRates(r, "router without load", routers, true)
	addRates(r, "agent without load", agents, true)
	core := 100 * used.Seconds() / controlWindow.Seconds() / float64(len(all))
	r.Figures = append(r.Figures, Figure{
		Name: "processor time of a process without load, stand-ins included", Subject: systemSubject, Value: core, Unit: "% of a core", Goal: AtMost(maxCorePercent),
	})
	return nil
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// processorTime returns the user and system time that this operating system process has used, or 0 if it is unknown.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// addRates appends the mean and the worst rates of some processes. With controlOnly, their counted connections carry
// only control traffic, so the rate at the connections is added, too.
func addRates(r *Result, label string, processes []*controlProcess, controlOnly bool) {
	add := func(name string, get func(p *controlProcess) float64, goal *Goal) {
		sum, worst := 0.0, 0.0
		for _, p := range processes {
			sum += get(p)
			worst = max(worst, get(p))
		}
		r.Figures = append(r.Figures,
			Figure{Name: label + ", " + name + ", mean", Subject: systemSubject, Value: sum / float64(len(processes)), Unit: "B/s", Goal: goal},
			Figure{Name: label + ", " + name + ", worst", Subject: systemSubject, Value: worst, Unit: "B/s"})
	}
	add("sent", func(p *controlProcess) float64 { return p.sent }, nil)
	add("received", func(p *controlProcess) float64 { return p.received }, nil)
	add("sent and received", func(p *controlProcess) float64 { return p.sent + p.received }, AtMost(maxControlBytes))
	if controlOnly {
		add("at its connections", func(p *controlProcess) float64 { return p.wire }, AtMost(maxControlBytes))
	}
	skipped := 0.0
	for _, p := range processes {
		skipped += p.skipped
	}
	r.Figures = append(r.Figures, Figure{Name: label + ", skipped, mean", Subject: systemSubject, Value: skipped / float64(len(processes)), Unit: "/s"})
}

// measureLoaded measures while each router receives requests at about the rate of the target size.
func measureLoaded(ctx context.Context, r *Result, seed uint64, routers, agents []*controlProcess) error {
	var failed atomic.Int64
	var g errgroup.Group
	for i, p := range routers {
		g.Go(func() error {
			driveRouter(ctx, p.Address(), seed, i, &failed)
			return nil
		})
	}
	sleepFor(ctx, controlWarmUp)
	err := measureWindow(slices.Concat(routers, agents), func() error {
		sleepFor(ctx, controlWindow)
		return nil
	})
	_ = g.Wait()
	if err != nil {
		return err
	}
	addRates(r, fmt.Sprintf("router with %d requests/s", controlRate), routers, false)
	addRates(r, fmt.Sprintf("agent with %.3g requests/s", float64(controlRate*controlRouters)/controlEngines), agents, false)
	r.Notes = append(r.Notes, fmt.Sprintf("%d requests failed", failed.Load()),
		"bytes are counted above TCP; under load the figures are the processes' own counters, because responses share the connections with control traffic",
		"in a window of 5 s a process may exceed the budgeted rate, because up to 10 s of unused budget carries over",
		"the processor time is that of the whole program, divided by the number of routers and agents")
	return nil
}

func driveRouter(ctx context.Context, address string, seed uint64, router int, failed *atomic.Int64) {
	var g errgroup.Group
	o := demonstrator.Organisations[router%len(demonstrator.Organisations)]
	for i := range int(controlRate * (controlWarmUp + controlWindow).Seconds()) {
		sleepFor(ctx, time.Second/controlRate)
		g.Go(func() error {
			s := int64(seed)*1_000_000 + int64(router*1000+i)
			req := encoder.ChatRequest{
				Model: demonstrator.Model, MaxTokens: controlTokens, Seed: &s,
				Messages: []encoder.Message{{Role: "user", Content: fmt.Sprintf("Chat %d: which form is due?", s)}},
			}
			if _, err := (&standin.Caller{Key: o.Key}).Chat(ctx, address, req, nil); err != nil {
				failed.Add(1)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// addPollBaseline measures the size of one poll of an agent's load and calculates from it the rates of routers that
// poll all agents and of agents that all routers poll.
func addPollBaseline(r *Result) error {
	size, err := pollSize()
	if err != nil {
		return err
	}
	r.Figures = append(r.Figures,
		Figure{Name: "one poll of an agent", Subject: pollSubject, Value: size, Unit: "B"},
		Figure{Name: "router, sent and received", Subject: pollSubject, Value: size * controlEngines, Unit: "B/s"},
		Figure{Name: "router, sent and received, at 600 agents", Subject: pollSubject, Value: size * targetAgents, Unit: "B/s"},
		Figure{Name: "agent, sent and received, at 420 routers", Subject: pollSubject, Value: size * targetRouters, Unit: "B/s"})
	r.Notes = append(r.Notes, "the baseline's rates are calculated from the size of one poll on a reused connection")
	return nil
}

const (
	pollSubject   = "every router polls each agent each second"
	targetRouters = 420
)

// pollSize returns the bytes of one HTTP poll on a reused connection, sent and received.
func pollSize() (float64, error) {
	report, err := json.Marshal(encoder.LoadEntry{
		Upstream: "vavrad-001", Incarnation: 1 << 63, Sequence: 12345, Work: 5120, Queued: 640, UptimeMS: 86_400_000, Version: "2026-12-01",
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	s, err := standin.Start("", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(report) }))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer s.Kill()
	nw := newCountedNetwork()
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		return nw.dial(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	const polls = 10
	for range polls {
		resp, err := client.Get("http://" + s.Address() + "/v1/load")
		if err != nil {
			return 0, trace.Wrap(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	return nw.total(nil) / polls, nil
}
