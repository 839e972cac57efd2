// Package quarantiner decides which requests an agent refuses or isolates
// because its engine, or that of another agent, crashed while they ran.
//
// A request has a mark, the number of engine crashes that it is suspected of. A
// request with a mark above zero is a suspect request, others are ordinary ones.
// When an engine crashes, its agent raises the mark of each request that was
// running, refuses these requests until the mark expires and returns their marks
// to the router. The router sends the mark with the request to the next agent in
// the chat's preference order, which runs at most one suspect request at a time.
// If the engine crashes while exactly one suspect request runs, that request is
// blocked: agents refuse it until the block expires. Agents also exchange marks
// and blocks by gossip.
//
// A Quarantine is not safe for concurrent use. The agent holds the lock of its
// queue during each call, so that at most one suspect request leaves the queue.
// When the engine crashes, the agent calls Crash before it ends the runs that the
// crash interrupted: only requests that are running at that moment get a mark.
package quarantiner
