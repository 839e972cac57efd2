// Package quarantiner decides which requests an agent refuses or isolates
// because its engine, or that of another agent, crashed while they ran.
//
// Each request in flight at a crash gets a mark. The agent that gave the mark
// refuses the request and hands the mark to the router, which carries it to the
// next agent of the chat's order. There the request runs as the only marked
// one; if that engine crashes too, the request is convicted and refused.
//
// A Quarantine is not safe for concurrent use. The agent holds its queue's lock
// around the calls, so that at most one marked request leaves the queue. When
// the engine crashes, the agent calls Crash before the runs that the crash broke
// leave; only requests that are running at that moment get a mark.
package quarantiner
