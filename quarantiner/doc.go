// Package quarantiner decides which requests an agent refuses or isolates
// because its engine, or that of another agent, crashed while they ran.
//
// A request has a mark, the number of engine crashes that it is suspected of.
// When an engine crashes, its agent raises the mark of each request that was
// running, refuses these requests from then on and returns their marks to the
// router. The router sends the mark along to the next agent in the chat's
// preference order, which runs at most one marked request at a time. If the
// engine crashes while exactly one marked request runs, that request is blocked:
// agents refuse it until the block expires. Agents also exchange marks and
// blocks by gossip.
//
// A Quarantine is not safe for concurrent use. The agent holds the lock of its
// queue during each call, so that at most one marked request leaves the queue.
// When the engine crashes, the agent calls Crash before it ends the runs that the
// crash interrupted: only requests that are running at that moment get a mark.
package quarantiner
