// Package ticketer decides whether an agent may run an order, so that every
// order runs at most once and the verdict "not run" is never given for an order
// that has run or may still run.
//
// The Idempotency-Key of an order is either a ticket, which the agent issued and
// only that incarnation of the agent accepts, or a key of the caller's own. Each
// of the latter has an owner among the workers of the service, by rendezvous
// hashing. If an agent has no record of such a key, it runs the order only if it
// has owned the key for so long that no other owner can have run an order with it
// that may still be retried.
//
// An agent calls Ledger.Begin before it does anything else with an order, even
// before it refuses the order for load, and reports the outcome with
// Ledger.Finish or Ledger.Abort. For an order with a key, only this agent may
// return the verdict "not run"; every other process passes its refusals through
// WithoutHistory.
package ticketer
