// Package dispatcher keeps the requests of one gateway to a plain service at or below the gateway's share of what the
// upstreams handle within the target; others wait for a short time or are refused.
//
// Core holds the decisions, which depend on the given time only; Dispatcher adds waiting, timers and locking.
package dispatcher
