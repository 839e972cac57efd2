// Package admitter decides which requests an agent's engine runs and in which
// order: ranks with guaranteed shares, fair queueing between organisations,
// deadlines, preemption, and the load bound of the engine.
//
// An Admitter is not safe for concurrent use; the agent holds a lock around it.
// After each call to Offer or Next the agent calls Expire, answers the requests
// that it returns, and arms a timer for NextExpiry.
package admitter
