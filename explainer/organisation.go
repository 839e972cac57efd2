package explainer

import (
	"cmp"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"clementineramp/compiler"
	"clementineramp/configurer"
	"clementineramp/subscriber"
)

// Rank describes a rank from the point of view of one organisation.
type Rank struct {
	Name string `json:"name"`
	// Position is the position in the order of urgency, from 1 (the most urgent) to Of.
	Position int     `json:"position"`
	Of       int     `json:"of"`
	TargetMS int64   `json:"target_ms"`
	Worth    float64 `json:"worth"`
	// GuaranteedShare is the fraction of capacity that the rank keeps under any overload.
	GuaranteedShare float64 `json:"share"`
	// Default reports whether requests of the organisation that name no rank get this one.
	Default bool `json:"default"`
	// Organisations is the number of organisations that may use the rank. FairShare is the fraction of the rank's
	// capacity that this organisation gets while the demand of each of them exceeds its share.
	Organisations int     `json:"organisations"`
	FairShare     float64 `json:"part"`
}

// Caller is the organisation that sends a request, with the rank of the request.
type Caller struct {
	Organisation string  `json:"organisation"`
	Weight       float64 `json:"weight"`
	Rank         Rank    `json:"rank"`
}

// Destination is a pool or service; Agents and Leaving count its agents in the host list.
type Destination struct {
	Name    string `json:"name"`
	Agents  int    `json:"agents"`
	Leaving int    `json:"leaving"`
	// Model, Version and Account describe a pool; they are empty for a service.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	// Account is the credit account that is charged first for the pool.
	Account string `json:"account,omitempty"`
	// HorizonMS is the time within which callers may retry an order, in milliseconds; it is zero for a pool.
	HorizonMS int64 `json:"horizon_ms,omitempty"`
}

// Organisation explains where the requests of an organisation are routed, and which ranks and shares they get there.
type Organisation struct {
	Configuration configurer.ID `json:"configuration"`
	Name          string        `json:"name"`
	Weight        float64       `json:"weight"`
	// Part is the part of the configuration that contains the organisation.
	Part     configurer.PartRef `json:"part"`
	Ranks    []Rank             `json:"ranks"`
	Pools    []Destination      `json:"pools"`
	Services []Destination      `json:"services"`
	Notes    []string           `json:"notes"`
}

// Organisation explains an organisation. It returns an error if the configuration does not contain it.
func (e *Explainer) Organisation(name string) (*Organisation, error) {
	o, err := e.organisation(name)
	if err != nil {
		return nil, err
	}
	out := &Organisation{
		Configuration: e.snapshot.ID(), Name: o.Name, Weight: weightOf(o),
		Part: e.partOf(o.Name), Notes: e.notes(),
	}
	for _, r := range e.snapshot.Ranks {
		if o.Allows(r.Name) {
			out.Ranks = append(out.Ranks, e.rank(o, r.Name))
		}
	}
	for _, p := range e.snapshot.Pools {
		d := e.destination(p.Name)
		d.Model, d.Version, d.Account = p.Model, p.Version, p.Account
		out.Pools = append(out.Pools, d)
	}
	for _, s := range e.snapshot.Services {
		d := e.destination(s.Name)
		d.HorizonMS = s.HorizonMS
		out.Services = append(out.Services, d)
	}
	return out, nil
}

func (e *Explainer) organisation(name string) (configurer.Organisation, error) {
	o, ok := e.snapshot.Organisation(name)
	if ok {
		return o, nil
	}
	var names []string
	for _, o := range e.cfg.Sheet.Rows.Organisations {
		names = append(names, o.Name)
	}
	return o, unknownName("organisation", name, names)
}

// caller returns an organisation and the rank that its request gets; an empty rank means the organisation's default.
func (e *Explainer) caller(organisation, rank string) (Caller, error) {
	o, err := e.organisation(organisation)
	if err != nil {
		return Caller{}, err
	}
	rank = cmp.Or(rank, o.Rank)
	if _, _, ok := e.snapshot.Rank(rank); !ok {
		var names []string
		for _, r := range e.snapshot.Ranks {
			names = append(names, r.Name)
		}
		return Caller{}, unknownName("rank", rank, names)
	}
	if !o.Allows(rank) {
		return Caller{}, trace.AccessDenied("organisation %q may not use rank %q (allowed: %s)",
			o.Name, rank, strings.Join(append([]string{o.Rank}, o.Ranks...), ", "))
	}
	return Caller{Organisation: o.Name, Weight: weightOf(o), Rank: e.rank(o, rank)}, nil
}

func weightOf(o configurer.Organisation) float64 {
	return cmp.Or(o.Weight, 1)
}

func (e *Explainer) rank(o configurer.Organisation, name string) Rank {
	r, position, _ := e.snapshot.Rank(name)
	out := Rank{
		Name: r.Name, Position: position + 1, Of: len(e.snapshot.Ranks),
		TargetMS: r.TargetMS, Worth: r.Worth, GuaranteedShare: r.Share, Default: o.Rank == name,
	}
	sum := 0.0
	for _, other := range e.cfg.Sheet.Rows.Organisations {
		if other.Allows(name) {
			out.Organisations++
			sum += weightOf(other)
		}
	}
	out.FairShare = weightOf(o) / sum
	return out
}

// partOf returns the part that contains an organisation.
func (e *Explainer) partOf(organisation string) configurer.PartRef {
	for _, p := range e.cfg.Sheet.Parts {
		if partContains(p, organisation) {
			return configurer.PartRef{Name: p.Name, Digest: p.Digest}
		}
	}
	return configurer.PartRef{}
}

func partContains(p compiler.Part, organisation string) bool {
	// The error can be ignored, because New has loaded the snapshot from the same parts.
	part, _ := configurer.DecodePart(p.Name, p.Data)
	return slices.ContainsFunc(part.Organisations, func(o configurer.Organisation) bool { return o.Name == organisation })
}

func (e *Explainer) destination(name string) Destination {
	d := Destination{Name: name}
	for _, h := range e.cfg.Hosts {
		if h.Role != subscriber.RoleAgent || h.Upstream != name {
			continue
		}
		d.Agents++
		if h.State == subscriber.StateLeaving {
			d.Leaving++
		}
	}
	return d
}

// notes returns the inconsistencies of the inputs that make the explanation less reliable.
func (e *Explainer) notes() []string {
	return append([]string{}, Mismatches(e.snapshot, e.cfg.Hosts)...)
}
