package spender

import "fmt"

// Reason is why an account pays for a request or does not. Its text is written to the log.
type Reason string

// Values of Reason.
const (
	// ReasonPays means that the account pays.
	ReasonPays Reason = "pays"
	// ReasonNoAccount means that there is no account that has not expired.
	ReasonNoAccount Reason = "no_account"
	// ReasonInvalid means that the cost is negative, infinite or not a number.
	ReasonInvalid Reason = "invalid_cost"
	// ReasonBalance means that the cost exceeds the balance accrued so far.
	ReasonBalance Reason = "balance"
	// ReasonUnmeasured means that the demand of ranks of greater worth has not been measured for long enough.
	ReasonUnmeasured Reason = "learning"
	// ReasonProjection means that ranks of greater worth are projected to use what the account has left.
	ReasonProjection Reason = "projection"
	// ReasonReserve means that the balance is reserved for the next requests of ranks of greater worth.
	ReasonReserve Reason = "reserve"
)

// candidate is an account that is considered for a request.
type candidate struct {
	Account string
	// Balance is the amount that may be spent now, and Surplus the amount that ranks of greater worth are projected to
	// leave unused, in tokens.
	Balance, Surplus float64
	// reserve is the part of the balance kept for ranks of greater worth, and covered the part of their projected
	// demand that the account can meet, in tokens.
	reserve, covered float64
	Reason           Reason
}

// decide sets the reason why the account pays for a request of the given cost, or does not.
func (c *candidate) decide(cost float64, demandMeasured bool) {
	switch {
	case c.Balance < cost:
		c.Reason = ReasonBalance
	case !demandMeasured:
		c.Reason = ReasonUnmeasured
	case c.Surplus < cost:
		c.Reason = ReasonProjection
	case c.Balance-cost < c.reserve:
		c.Reason = ReasonReserve
	default:
		c.Reason = ReasonPays
	}
}

// Decision is the result of a call of Spend, with the values that led to it.
type Decision struct {
	Rank string
	// Cost is the work of the request, in tokens.
	Cost float64
	// ReservedRate is the measured demand of ranks of greater worth, in tokens per second.
	ReservedRate float64
	// Account is the name of the account that pays; empty if none does.
	Account string
	// Reason is why the account pays or, if none does, why the last account considered does not.
	Reason Reason
	// Balance and Surplus are those of the last account considered before the request is paid, in tokens.
	Balance, Surplus float64
}

func (d *Decision) setCandidate(c candidate) {
	d.Reason, d.Balance, d.Surplus = c.Reason, c.Balance, c.Surplus
}

// LastDecision returns the decision of the latest call of Spend; it is the zero value before the first call.
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
