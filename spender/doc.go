// Package spender decides which credit account pays for a request: the one that
// lapses soonest, for the ranks of greatest worth first.
//
// An agent spends only its slice of each account, 1/n of the amount, and the
// slice accrues evenly from the time of the sheet to the time the account lapses.
// A restarted agent starts with nothing and accrues from then on, so that
// forgotten spending wastes credits and never overspends them.
//
// A Spender is not safe for concurrent use; the agent holds a lock around it.
package spender
