package prover

import (
	"bytes"
	"slices"

	"clementineramp/demonstrator"
	"clementineramp/standin"
)

// Flow is a sequence of steps in the operation of a fleet, such as serving a chat, during which faults are injected.
type Flow string

// The flows.
const (
	Chat          Flow = "chat"
	Order         Flow = "order"
	Configuration Flow = "configuration"
	Placement     Flow = "placement"
	StopAgent     Flow = "stop_agent"
	StopRouter    Flow = "stop_router"
)

// Step is one step of a flow; a cell injects its faults when the step is reached.
type Step struct {
	Flow Flow
	Name string
	// reached reports whether an event is the step; nil means that the step cannot be observed.
	reached func(c *cellRun, ev event) bool
}

// String returns the flow and the name in the form "flow/step".
func (s Step) String() string { return string(s.Flow) + "/" + s.Name }

// event is one observation: network traffic, a log line, or an order that a service runs. The empty event stands for
// the publication of a configuration.
type event struct {
	traffic *standin.Traffic
	line    []byte
	order   *standin.Execution
}

// sent returns the two ends and the data of a write between processes; data is nil for any other event.
func (ev event) sent() (from, to string, data []byte) {
	if ev.traffic == nil || ev.traffic.Kind != standin.Sent {
		return "", "", nil
	}
	return ev.traffic.From, ev.traffic.To, ev.traffic.Data
}

// logged reports whether the event is a log line of the process that contains all of the texts. An empty process
// matches every process.
func (ev event) logged(process string, texts ...string) bool {
	if ev.line == nil || process != "" && !bytes.Contains(ev.line, []byte(" logger="+process+" ")) {
		return false
	}
	return !slices.ContainsFunc(texts, func(t string) bool { return !bytes.Contains(ev.line, []byte(t)) })
}

// Steps returns the steps of every flow.
func Steps() []Step {
	return slices.Concat(requestSteps(Chat), requestSteps(Order), configurationSteps(), placementSteps(),
		stopSteps(StopAgent), stopSteps(StopRouter))
}

func requestSteps(f Flow) []Step {
	routed, posted, answered := " event=route ", "POST /v1/chat/completions", "data:"
	if f == Order {
		routed, posted, answered = " event=route_order ", "POST /", "HTTP/1.1 201"
	}
	done := "[DONE]"
	if f == Order {
		done = answered
	}
	return []Step{
		{f, "accept", func(c *cellRun, ev event) bool {
			return ev.traffic != nil && ev.traffic.Kind == standin.Connecting && ev.traffic.From == probeCaller
		}},
		{f, "authenticate", writeContaining(fromProbe, "POST ")},
		{f, "admit", writeContaining(toProbe, "HTTP/1.1 100")},
		{f, "choose", func(c *cellRun, ev event) bool { return ev.logged(c.router, routed) }},
		{f, "send", writeContaining(routerToAgent, posted)},
		{f, "queue", enqueued(f)},
		{f, "upstream", writeContaining(agentToUpstream, posted)},
		{f, "first_byte", writeContaining(upstreamToAgent, answered)},
		middleStep(f),
		{f, "end", answerEnd(f, done)},
		{f, "acknowledge", writeContaining(toProbe, done)},
	}
}

func fromProbe(_ *cellRun, from, _ string) bool { return from == probeCaller }

func toProbe(_ *cellRun, _, to string) bool { return to == probeCaller }

func routerToAgent(c *cellRun, from, to string) bool { return from == c.router && c.isAgent(to) }

func agentToUpstream(c *cellRun, from, to string) bool {
	return c.isAgent(from) && to == demonstrator.UpstreamEndpoint(from)
}

func upstreamToAgent(c *cellRun, from, to string) bool {
	return c.isAgent(to) && from == demonstrator.UpstreamEndpoint(to)
}

// writeContaining returns a condition that holds for a write of data with the given text on a link.
func writeContaining(link func(c *cellRun, from, to string) bool, text string) func(*cellRun, event) bool {
	return func(c *cellRun, ev event) bool {
		from, to, data := ev.sent()
		return data != nil && link(c, from, to) && bytes.Contains(data, []byte(text))
	}
}

// enqueued returns the condition that the probe enters the queue of an agent. A chat waits there for an occupied
// slot; an order passes through the queue of an idle agent.
func enqueued(f Flow) func(*cellRun, event) bool {
	return func(c *cellRun, ev event) bool {
		if f == Order {
			return ev.logged(c.agent, " event=admit ", " action=queue ")
		}
		return ev.logged("", " event=admit ", " action=queue ", " rank="+probeRank+" ")
	}
}

// middleStep returns the step at half of a chat's answer, or while the service runs an order.
func middleStep(f Flow) Step {
	if f == Order {
		return Step{f, "middle", func(_ *cellRun, ev event) bool { return ev.order != nil }}
	}
	first := writeContaining(upstreamToAgent, "data:")
	return Step{f, "middle", func(c *cellRun, ev event) bool {
		return first(c, ev) && c.answerEvents.Add(1) == chatTokens/2
	}}
}

// answerEnd returns the condition for the end of the answer at the engine, or for the agent's response to an order.
func answerEnd(f Flow, done string) func(*cellRun, event) bool {
	if f == Order {
		return writeContaining(func(c *cellRun, from, to string) bool { return c.isAgent(from) && to == c.router }, done)
	}
	return writeContaining(upstreamToAgent, done)
}

func configurationSteps() []Step {
	f := Configuration
	fromPlatform := func(_ *cellRun, from, _ string) bool { return from == demonstrator.PlatformEndpoint }
	toPlatform := func(_ *cellRun, _, to string) bool { return to == demonstrator.PlatformEndpoint }
	return []Step{
		{f, "publish", func(_ *cellRun, ev event) bool { return ev.traffic == nil && ev.line == nil && ev.order == nil }},
		{f, "notify", writeContaining(fromPlatform, "HTTP/1.1 200")},
		{f, "read_part", writeContaining(toPlatform, "GET /v1/values/config/part/")},
		{f, "adopt", func(_ *cellRun, ev event) bool { return ev.logged("", " event=configuration_in_force ") }},
	}
}

// placementSteps returns the steps of the first load order that an agent sends to its engine after the model version
// of the pool has changed.
func placementSteps() []Step {
	f := Placement
	return []Step{
		{f, "decide", func(_ *cellRun, ev event) bool { return ev.logged("", " event=load_order ") }},
		{f, "send", writeContaining(agentToUpstream, "POST /v1/load")},
		{f, "load", writeContaining(upstreamToAgent, `"ready":false`)},
		{f, "read_back", writeContaining(upstreamToAgent, `"version":"`+nextModelVersion+`"`)},
	}
}

// agentOf returns the agent that sent, received or logged an event, or the agent of the cell if there is none.
func (c *cellRun) agentOf(ev event) string {
	for name := range c.agents {
		from, to, _ := ev.sent()
		if from == name || to == name || ev.logged(name) {
			return name
		}
	}
	return c.agent
}

func stopSteps(f Flow) []Step {
	stopping := func(c *cellRun) string {
		if f == StopRouter {
			return c.router
		}
		return c.agent
	}
	done := writeContaining(func(c *cellRun, from, to string) bool {
		if f == StopRouter {
			return from == c.router
		}
		return upstreamToAgent(c, from, to) && to == c.agent
	}, "[DONE]")
	refuse := writeContaining(func(c *cellRun, from, _ string) bool { return from == c.router }, `"code":"leaving"`)
	if f == StopAgent {
		// Routers are notified that an agent is leaving before it refuses requests, so that it may never send a refusal.
		// The step is therefore the log line of the agent.
		refuse = func(c *cellRun, ev event) bool { return ev.logged(c.agent, " event=leaving running=") }
	}
	return []Step{
		{f, "announce", func(c *cellRun, ev event) bool { return ev.logged(stopping(c), " event=leaving grace_ms=") }},
		{f, "finish", done},
		{f, "refuse", refuse},
		{f, "exit", func(c *cellRun, ev event) bool { return ev.logged(stopping(c), " event=drained") }},
	}
}
