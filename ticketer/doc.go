// Package ticketer decides whether an agent may run an order, so that every
// order runs at most once and every "not run" stays true.
//
// An agent asks Ledger.Begin before it does anything else with an order, even
// before it refuses the order for load, and reports the outcome with
// Ledger.Finish or Ledger.Abort. Only this agent may say "not run" for an
// order with a key; every other party passes its refusals through
// WithoutHistory.
package ticketer
