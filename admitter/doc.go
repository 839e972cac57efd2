// Package admitter decides which requests an agent's engine runs and in which
// order. Ranks have guaranteed shares of the engine's work, organisations within
// a rank are scheduled by start-time fair queueing, more urgent requests may
// preempt running ones, requests with a deadline that cannot be met are refused,
// and the load bound limits the work that the engine carries.
//
// An Admitter is not safe for concurrent use; the agent guards it with a lock.
// After each call to Offer or Next the agent calls Expire, sends the returned
// refusals to their callers, and sets a timer for NextExpiry.
package admitter
