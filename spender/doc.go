// Package spender decides which credit account pays for a request: the first to
// expire that has credits to spare. Ranks of greater worth have priority: other ranks
// may use only the credits that those are projected to leave unused.
//
// An agent spends only its share of each account: 1/n of the amount for n
// agents. The share accrues evenly from the time of the sheet to the time the
// account expires. An agent keeps no record of its spending across a restart. It
// therefore starts again with nothing, or with the configured advance, so that a
// restart without an advance wastes credits but never overspends them.
//
// A Spender is not safe for concurrent use; the agent guards it with a mutex.
package spender
