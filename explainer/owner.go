package explainer

import (
	"fmt"
	"time"

	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/ticketer"
)

// assign fills in the agent that may run the order.
func (e *Explainer) assign(out *Order, service configurer.Service) {
	if out.Key == "" {
		out.KeyKind = KeyNone
		out.RoutedTo = e.leastLoaded(service.Name)
		out.Why = "the order has no key, so it goes to the agent with the lowest known work, and a retry is a separate order"
		return
	}
	ticket, err := ticketer.ParseTicket(out.Key)
	if err == nil {
		out.KeyKind, out.Owner = KeyTicket, ticket.Agent
		out.Why = fmt.Sprintf("%s issued the ticket in its incarnation %x with serial %d, so no other agent and no other incarnation runs it",
			ticket.Agent, ticket.Incarnation, ticket.Serial)
		if ticket.Service != service.Name {
			out.Notes = append(out.Notes, fmt.Sprintf("the ticket was issued for service %q; the response is \"may have run\"", ticket.Service))
		}
	} else {
		out.KeyKind = KeyCaller
		out.Owner = ticketer.Owner(ticketer.Key{Organisation: out.Caller.Organisation, Text: out.Key}, service.Workers)
		out.Why = fmt.Sprintf("%s owns the key by rendezvous hashing over the %d workers that the sheet lists, whichever of them are live",
			out.Owner, len(service.Workers))
		out.Notes = append(out.Notes, fmt.Sprintf("%s runs an order with an unknown key only after it has owned the key for %v; before that the response is \"may have run\"",
			out.Owner, time.Duration(service.HorizonMS)*time.Millisecond))
		if ticketer.IsTicket(out.Key) {
			out.Notes = append(out.Notes, fmt.Sprintf("the key has the prefix of a ticket but is not a valid ticket, so the response is \"may have run\": %v", err))
		}
	}
	if _, ok := e.hosts[out.Owner]; ok {
		out.RoutedTo = out.Owner
	}
}

// leastLoaded returns the usable agent of a service with the lowest work, the first by name among equals; an agent with
// unknown load counts as one without work. It returns "" if no agent is usable.
func (e *Explainer) leastLoaded(service string) string {
	best := -1
	view := e.tracker.View(service, e.now)
	for i, u := range view {
		if u.State == chooser.Leaving || u.State == chooser.Down {
			continue
		}
		if best < 0 || u.Work < view[best].Work {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return view[best].Name
}
