package explainer

import (
	"fmt"

	"clementineramp/configurer"
	"clementineramp/subscriber"
)

// OrderQuery describes an order to a plain service.
type OrderQuery struct {
	Organisation string
	// Rank is the rank that the request asks for; empty means that of the organisation.
	Rank    string
	Service string
	// Key is the caller's own idempotency key or a ticket; empty means none.
	Key string
}

// KeyKind says what an order is identified by.
type KeyKind string

// The kinds of key of an order.
const (
	KeyNone   KeyKind = "none"
	KeyCaller KeyKind = "caller"
	KeyTicket KeyKind = "ticket"
)

// Worker is a worker that the configuration lists for a service.
type Worker struct {
	Name string `json:"name"`
	// State is live or leaving as in the host list, or unlisted.
	State   string `json:"state"`
	Address string `json:"address,omitempty"`
	Domain  string `json:"domain,omitempty"`
	Owner   bool   `json:"owner"`
}

// StateUnlisted is the state of a worker that the host list lacks.
const StateUnlisted = "unlisted"

// Order explains where an order goes.
type Order struct {
	Configuration configurer.ID `json:"configuration"`
	Caller        Caller        `json:"caller"`
	Service       Destination   `json:"service"`
	Key           string        `json:"key,omitempty"`
	KeyKind       KeyKind       `json:"key_kind"`
	// Owner is the only agent that may run the order; it is empty if the order has no key.
	Owner string `json:"owner"`
	// Lands names the agent that gets the order; it is empty if there is none, or if the host list lacks the owner.
	Lands   string   `json:"lands"`
	Why     string   `json:"why"`
	Workers []Worker `json:"workers"`
	Notes   []string `json:"notes"`
}

// Order explains an order.
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
		return nil, unknown("service", q.Service, names)
	}
	out := &Order{
		Configuration: e.snapshot.ID(), Caller: caller, Service: e.destination(service.Name),
		Key: q.Key, Notes: e.notes(),
	}
	out.Service.HorizonMS = service.HorizonMS
	e.decide(out, service)
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

// ownerNotes says what the caller meets while the owner cannot take the order.
func (e *Explainer) ownerNotes(owner string) []string {
	h, ok := e.hosts[owner]
	switch {
	case owner == "" || ok && h.State == subscriber.StateLive:
		return nil
	case !ok:
		return []string{fmt.Sprintf("%s is not in the host list; the answer is \"may have run\", because no other agent knows the history of the key", owner)}
	default:
		return []string{fmt.Sprintf("%s is leaving and takes no new orders after its grace time", owner)}
	}
}
