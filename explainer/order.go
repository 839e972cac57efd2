package explainer

import (
	"fmt"

	"clementineramp/configurer"
	"clementineramp/subscriber"
)

// OrderQuery describes an order to a plain service.
type OrderQuery struct {
	Organisation string
	// Rank is the rank that the request asks for; empty means the organisation's default rank.
	Rank    string
	Service string
	// Key is the caller's own idempotency key or a ticket; empty means none.
	Key string
}

// KeyKind is the kind of key that identifies an order.
type KeyKind string

// The kinds of key: no key, the caller's own idempotency key, and a ticket issued by an agent.
const (
	KeyNone   KeyKind = "none"
	KeyCaller KeyKind = "caller"
	KeyTicket KeyKind = "ticket"
)

// Worker is a worker that the configuration lists for a service.
type Worker struct {
	Name string `json:"name"`
	// State is the state in the host list (live or leaving), or StateUnlisted.
	State   string `json:"state"`
	Address string `json:"address,omitempty"`
	Domain  string `json:"domain,omitempty"`
	Owner   bool   `json:"owner"`
}

// StateUnlisted is the state of a worker that is missing from the host list.
const StateUnlisted = "unlisted"

// Order explains how an order is routed.
type Order struct {
	Configuration configurer.ID `json:"configuration"`
	Caller        Caller        `json:"caller"`
	Service       Destination   `json:"service"`
	Key           string        `json:"key,omitempty"`
	KeyKind       KeyKind       `json:"key_kind"`
	// Owner is the only agent that may run the order; it is empty if the order has no key.
	Owner string `json:"owner"`
	// RoutedTo names the agent that receives the order. It is empty if no agent is usable or the owner is missing from
	// the host list.
	RoutedTo string   `json:"lands"`
	Why      string   `json:"why"`
	Workers  []Worker `json:"workers"`
	Notes    []string `json:"notes"`
}

// Order explains an order. It returns an error if the query names an unknown organisation, rank or service, or a rank
// that the organisation may not use.
func (e *Explainer) Order(q OrderQuery) (*Order, error) {
	caller, err := e.caller(q.Organisation, q.Rank)
	if err != nil {
		return nil, err
	}
	service, ok := e.snapshot.Service(q.Service)
	if !ok {
		var names []string
		for _, s := range e.snapshot.Services {
			names = append(names, s.Name)
		}
		return nil, unknownName("service", q.Service, names)
	}
	out := &Order{
		Configuration: e.snapshot.ID(), Caller: caller, Service: e.destination(service.Name),
		Key: q.Key, Notes: e.notes(),
	}
	out.Service.HorizonMS = service.HorizonMS
	e.assign(out, service)
	for _, name := range service.Workers {
		out.Workers = append(out.Workers, e.worker(name, name == out.Owner))
	}
	out.Notes = append(out.Notes, e.ownerNotes(out.Owner)...)
	return out, nil
}

func (e *Explainer) worker(name string, owner bool) Worker {
	w := Worker{Name: name, State: StateUnlisted, Owner: owner}
	if h, ok := e.hosts[name]; ok {
		w.State, w.Address, w.Domain = h.State, h.Address, h.Domain
	}
	return w
}

// ownerNotes describes the response that the caller gets while the owner cannot accept the order.
func (e *Explainer) ownerNotes(owner string) []string {
	h, ok := e.hosts[owner]
	switch {
	case owner == "" || ok && h.State == subscriber.StateLive:
		return nil
	case !ok:
		return []string{fmt.Sprintf("%s is not in the host list; the response is \"may have run\", because no other agent knows the history of the key", owner)}
	default:
		return []string{fmt.Sprintf("%s is leaving and accepts no new orders after its grace period", owner)}
	}
}
