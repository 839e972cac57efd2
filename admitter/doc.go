// Package admitter decides which requests an agent's engine runs and in which
// order. Ranks have guaranteed shares of the engine's work, organisations within
// a rank are scheduled by start-time fair queueing, more urgent requests may
// preempt running ones, requests with a deadline that cannot be met are refused,
// and no request starts that would take the work of the engine beyond the load
// limit.
//
// An Admitter is not safe for concurrent use; the agent guards it with a lock.
// After each call to Offer or Next the agent calls Expire, sends the returned
// refusals to their callers, and sets a timer for NextExpiry.
package admitter
