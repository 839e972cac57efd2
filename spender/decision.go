package spender

import "fmt"

// Reason says why an account pays or not.
type Reason string

// The reasons of a decision.
const (
	ReasonPays      Reason = "pays"
	ReasonNoAccount Reason = "no_account"
	ReasonInvalid   Reason = "invalid_cost"
	// ReasonBalance means that too little has accrued.
	ReasonBalance Reason = "balance"
	// ReasonLearning means that the demand of greater worth is not yet known.
	ReasonLearning Reason = "learning"
	// ReasonProjection means that demand of greater worth will use the account.
	ReasonProjection Reason = "projection"
	// ReasonReserve means that the balance is kept for the next demand of greater worth.
	ReasonReserve Reason = "reserve"
)

// candidate is an account that could pay for a request.
type candidate struct {
	Account string
	// Balance is what may be spent now, and Surplus what would expire unused, in tokens.
	Balance, Surplus float64
	// reserve is the part of the balance that is kept, and covered the demand of greater worth that the account meets.
	reserve, covered float64
	Reason           Reason
}

// decide decides whether the account pays.
func (c *candidate) decide(cost float64, demandMeasured bool) {
	switch {
	case c.Balance < cost:
		c.Reason = ReasonBalance
	case !demandMeasured:
		c.Reason = ReasonLearning
	case c.Surplus < cost:
		c.Reason = ReasonProjection
	case c.Balance-cost < c.reserve:
		c.Reason = ReasonReserve
	default:
		c.Reason = ReasonPays
	}
}

// Decision explains the latest call of Spend.
type Decision struct {
	Rank string
	// Cost is the work, in tokens.
	Cost float64
	// ReservedRate is the measured demand of greater worth, in tokens per second.
	ReservedRate float64
	// Account is the account that pays; it is empty if none does.
	Account string
	// Reason is why it pays, or why the last account looked at does not.
	Reason Reason
	// Balance and Surplus are those of that account, in tokens, before the request.
	Balance, Surplus float64
}

func (d *Decision) setCandidate(c candidate) {
	d.Reason, d.Balance, d.Surplus = c.Reason, c.Balance, c.Surplus
}

// LastDecision returns the decision of the latest call of Spend.
func (s *Spender) LastDecision() Decision { return s.decision }

// Pairs returns the fields of the decision as alternating keys and values for a structured logger.
func (d Decision) Pairs() []any {
	return []any{
		"rank", d.Rank, "cost", d.Cost, "account", d.Account, "reason", string(d.Reason),
		"balance", d.Balance, "surplus", d.Surplus, "reserved_rate", d.ReservedRate,
	}
}

// String returns the decision as one line of key=value fields.
func (d Decision) String() string {
	return fmt.Sprintf("rank=%q cost=%.0f account=%q reason=%q balance=%.0f surplus=%.0f reserved_rate=%.2f",
		d.Rank, d.Cost, d.Account, d.Reason, d.Balance, d.Surplus, d.ReservedRate)
}
