package prover

import (
	"sync"
	"time"

	"clementineramp/demonstrator"
	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/standin"
)

// Outcome is the result of an attempt as its caller saw it.
type Outcome string

// The outcomes.
const (
	// Complete is an answer with its closing event, or the response to an order.
	Complete Outcome = "whole"
	// Refused is an error response, or an error event in a stream.
	Refused Outcome = "refused"
	// Broken is a connection that broke, or an answer that ended early, without an error response.
	Broken Outcome = "broken"
	// Unreachable is a connection that could not be opened.
	Unreachable Outcome = "unreachable"
	// TimedOut is an attempt that reached the caller's own timeout.
	TimedOut Outcome = "gave_up"
)

// Attempt is one attempt of a caller at a chat or an order, as the caller saw it.
type Attempt struct {
	// ID is the chat or order that the attempt is for.
	ID     string
	Router string
	// Seed identifies the attempt at a chat in the records of the engines.
	Seed int64
	// Key is the ticket of an order, or empty for an order without one.
	Key            string
	Started, Ended time.Time
	// Cost is the work of a chat in tokens.
	Cost    float64
	Outcome Outcome
	// Accepted says that the router accepted the connection from its listener. A connection still in the backlog when
	// the listener closes is reset by the operating system, and no process has received its request.
	Accepted bool
	// Verdict and Reason are those of a refusal.
	Verdict judge.Verdict
	Reason  judge.Reason
	// Text is the answer that the caller received, complete or not.
	Text string
	// Want holds the expected complete answer of each model version.
	Want []string
}

// Result is the outcome of a chat or order after all attempts.
type Result struct {
	ID string
	// Complete says that the caller received the complete answer.
	Complete bool
	// Crashes marks a request that crashes its engine; it may end without an answer.
	Crashes bool
}

// Interval is the half-open time from From to To during which something holds for a process. A zero To means that it
// has not ended.
type Interval struct {
	Process  string
	Fault    Fault
	From, To time.Time
}

func (i Interval) covers(t time.Time) bool {
	return !t.Before(i.From) && (i.To.IsZero() || t.Before(i.To))
}

// overlaps reports whether the interval, here including its end, has an instant in common with the time between from
// and to, both included. The end counts because the last action of a process and its exit can fall on the same
// instant of virtual time.
func (i Interval) overlaps(from, to time.Time) bool {
	return !to.Before(i.From) && (i.To.IsZero() || !from.After(i.To))
}

// Sample is the configuration that a process was observed to use at one time.
type Sample struct {
	Process string
	At      time.Time
	// Version is the observed version. The competing configurations of the fault OperatorsRacing share one version
	// and differ in Content.
	Version uint64
	Content string
}

// agentRequest identifies a request sent to an agent, by its request or order ID.
type agentRequest struct{ agent, id string }

// connection identifies connections by their two ends.
type connection struct{ from, to string }

// Journal holds what callers, stand-ins and the network recorded during one cell.
type Journal struct {
	mu sync.Mutex
	// Chats and Orders are the attempts of callers.
	Chats, Orders []Attempt
	Results       []Result
	// Runs and Executions are the records of the engines and services.
	Runs       []standin.Run
	Executions []standin.Execution
	// Sent holds the time when a router first wrote a request to an agent.
	Sent map[agentRequest]time.Time
	// Faults, Leaving and Stops are the times during which a fault hit a process, an upstream was leaving, and a
	// process was shutting down gracefully.
	Faults, Leaving, Stops []Interval
	// Loading holds the times during which an engine loaded a model and accepted no requests.
	Loading []Interval
	Samples []Sample
	// Published is when the newest configuration was published, or zero if none was; Version is its version.
	Published time.Time
	Version   uint64
	// Healed is when the last fault was healed.
	Healed time.Time
	// Engines is the number of engines in the pool. LoadFactor is the multiple of the mean load that no engine may
	// exceed.
	Engines    int
	LoadFactor float64
	// Processes holds the name of every process of the fleet.
	Processes []string
	// accepted holds the time when a process last accepted a connection from another.
	accepted map[connection]time.Time
}

func newJournal() *Journal {
	return &Journal{Sent: map[agentRequest]time.Time{}, accepted: map[connection]time.Time{}}
}

func (j *Journal) addChat(a Attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Chats = append(j.Chats, a)
}

func (j *Journal) addOrder(a Attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Orders = append(j.Orders, a)
}

func (j *Journal) addResult(r Result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Results = append(j.Results, r)
}

func (j *Journal) addSample(s Sample) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Samples = append(j.Samples, s)
}

func (j *Journal) addSent(agent, id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.Sent[agentRequest{agent, id}]; !ok {
		j.Sent[agentRequest{agent, id}] = time.Now()
	}
}

func (j *Journal) addAccepted(from, to string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.accepted[connection{from, to}] = time.Now()
}

// acceptedSince reports whether process to has accepted a connection of from at or after the given time.
func (j *Journal) acceptedSince(from, to string, since time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	t, ok := j.accepted[connection{from, to}]
	return ok && !t.Before(since)
}

// open adds an interval that starts now to a list of the journal.
func (j *Journal) open(list *[]Interval, process string, f Fault) {
	j.mu.Lock()
	defer j.mu.Unlock()
	*list = append(*list, Interval{Process: process, Fault: f, From: time.Now()})
}

// close ends the open intervals of a process in a list of the journal.
func (j *Journal) close(list *[]Interval, process string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range *list {
		if l := &(*list)[i]; l.Process == process && l.To.IsZero() {
			l.To = time.Now()
		}
	}
}

func (j *Journal) publish(version uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.Published = time.Now()
	j.Version = max(j.Version, version)
}

// hadFault reports whether a fault hit any of the processes between from and to.
func (j *Journal) hadFault(from, to time.Time, processes ...string) bool {
	for _, i := range j.Faults {
		for _, p := range processes {
			if i.Process == p && i.overlaps(from, to) {
				return true
			}
		}
	}
	return false
}

// expectedAnswers returns the complete answer of each model version to a chat.
func expectedAnswers(r encoder.ChatRequest) []string {
	return []string{standin.Answer(r, demonstrator.Version), standin.Answer(r, nextModelVersion)}
}
