package explainer

import (
	"time"

	"github.com/gravitational/trace"

	"clementineramp/configurer"
)

// decide finds the agent that may run the order.
func (o *Order) decide(q OrderQuery, service configurer.Service) error {
	horizon := time.Duration(service.HorizonMS) * time.Millisecond
	if q.Key == "" {
		o.KeyKind = KeyNone
		o.Why = "the order has no key, so it is sent to one agent once, and a repeat is a second order"
		return nil
	}
	// The owner must come from the code of the agents, package ticketer, which is not part of this tree yet.
	return trace.NotImplemented("the owner of a key of service %q (horizon %v) cannot be computed by this version", service.Name, horizon)
}
