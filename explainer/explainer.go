package explainer

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"github.com/gravitational/trace"

	"clementineramp/chooser"
	"clementineramp/compiler"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/subscriber"
	"clementineramp/tracker"
)

// routerSkipFactor equals the skip factor that package launcher sets for routers. It is so high that a router skips no
// agent because of load, since the agent has its exact load and can refuse a request.
const routerSkipFactor = 1e6

// Config holds the inputs of an Explainer, which are the state of a router.
type Config struct {
	Sheet *compiler.Sheet
	Hosts []subscriber.Host
	// Load holds load entries in the form that processes exchange; it may be empty.
	Load []encoder.LoadEntry
	// Observations holds outcomes of earlier attempts by the router; it may be empty.
	Observations []tracker.Observation
	// Routing configures the choice; a zero field takes the default of a router. Agents use the same Bound.
	Routing chooser.Config
}

// Explainer explains routing decisions. It is immutable after New.
type Explainer struct {
	cfg      Config
	snapshot *configurer.Snapshot
	tracker  *tracker.Tracker
	// chooser orders the candidates as a router does; agentChooser as an agent does when it refuses a chat and redirects
	// it to another upstream.
	chooser      *chooser.Chooser
	agentChooser *chooser.Chooser
	bound        float64
	// now is a fixed time used for all tracker calls, so that an explanation does not depend on the clock.
	now   time.Time
	hosts map[string]subscriber.Host
	// reported is the set of hosts that have a load entry.
	reported map[string]bool
}

// New returns an Explainer, or an error if the sheet or the routing configuration is invalid, or if a load entry or
// an observation is invalid or names an unknown host.
func New(cfg Config) (*Explainer, error) {
	snapshot, err := configurer.Load(cfg.Sheet.Manifest, cfg.Sheet.Part)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	cfg.Routing.SkipFactor = cmp.Or(cfg.Routing.SkipFactor, routerSkipFactor)
	c, err := chooser.New(cfg.Routing)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	bound := cmp.Or(cfg.Routing.Bound, chooser.DefaultBound)
	agentChooser, err := chooser.New(chooser.Config{Bound: bound})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	e := &Explainer{
		cfg: cfg, snapshot: snapshot, chooser: c, agentChooser: agentChooser, bound: bound,
		tracker: tracker.New(tracker.Config{LoadTTL: cfg.Routing.LoadTTL}),
		now:     time.Unix(0, 0).UTC(),
		hosts:   map[string]subscriber.Host{}, reported: map[string]bool{},
	}
	e.addHosts()
	if err := e.addLoad(); err != nil {
		return nil, err
	}
	for _, o := range cfg.Observations {
		if _, ok := e.hosts[o.Upstream]; !ok {
			return nil, unknownName("observation: host", o.Upstream, e.agentNames())
		}
		e.tracker.Observe(o, e.now)
	}
	return e, nil
}

func (e *Explainer) addHosts() {
	var list []tracker.Host
	for _, h := range e.cfg.Hosts {
		if h.Role != subscriber.RoleAgent {
			continue
		}
		e.hosts[h.Name] = h
		list = append(list, tracker.Host{
			Name: h.Name, Address: h.Address, Pool: h.Upstream, Domain: h.Domain, Leaving: h.State == subscriber.StateLeaving,
		})
	}
	e.tracker.UpdateHosts(list, e.now)
}

func (e *Explainer) addLoad() error {
	for _, entry := range e.cfg.Load {
		if _, ok := e.hosts[entry.Upstream]; !ok {
			return unknownName("load entry: host", entry.Upstream, e.agentNames())
		}
		if entry.Work < 0 || entry.Queued < 0 || entry.AgeMS < 0 || entry.UptimeMS < 0 {
			return trace.BadParameter("load entry of %q: w, b, a and t must be 0 or more", entry.Upstream)
		}
		e.reported[entry.Upstream] = true
	}
	e.tracker.Merge(e.cfg.Load, e.now)
	return nil
}

func (e *Explainer) agentNames() []string {
	var names []string
	for _, h := range e.cfg.Hosts {
		if h.Role == subscriber.RoleAgent {
			names = append(names, h.Name)
		}
	}
	return names
}

// Mismatches describes each inconsistency between a configuration and a host list in one sentence. It returns nil if
// there is none.
func Mismatches(snapshot *configurer.Snapshot, hosts []subscriber.Host) []string {
	var out []string
	count := map[string]int{}
	serves := map[string]string{}
	for _, h := range hosts {
		if h.Role != subscriber.RoleAgent {
			continue
		}
		count[h.Upstream]++
		serves[h.Name] = h.Upstream
		_, isPool := snapshot.Pool(h.Upstream)
		service, isService := snapshot.Service(h.Upstream)
		switch {
		case !isPool && !isService:
			out = append(out, fmt.Sprintf("host %s serves %q, which is neither a pool nor a service of the sheet", h.Name, h.Upstream))
		case isService && !slices.Contains(service.Workers, h.Name):
			out = append(out, fmt.Sprintf("host %s serves %q, but the sheet does not list it as a worker", h.Name, h.Upstream))
		}
	}
	for _, p := range snapshot.Pools {
		if count[p.Name] == 0 {
			out = append(out, fmt.Sprintf("pool %q has no host", p.Name))
		}
	}
	for _, s := range snapshot.Services {
		for _, w := range s.Workers {
			if serves[w] != s.Name {
				out = append(out, fmt.Sprintf("worker %s of service %q is not a host that serves it", w, s.Name))
			}
		}
	}
	return out
}

const (
	// maxListed is the maximum number of known names in an error message.
	maxListed = 12
	// maxSuggestDistance is the maximum edit distance of a suggested name; a higher limit suggests unrelated names.
	maxSuggestDistance = 2
)

// unknownName returns a not-found error that lists the known names and suggests the most similar one.
func unknownName(what, name string, known []string) error {
	text := fmt.Sprintf("%s %q is unknown", what, name)
	best, bestDistance := "", maxSuggestDistance+1
	for _, k := range known {
		if d := levenshtein.ComputeDistance(strings.ToLower(name), strings.ToLower(k)); d < bestDistance && d < len(k) {
			best, bestDistance = k, d
		}
	}
	if best != "" {
		text += fmt.Sprintf("; did you mean %q?", best)
	}
	switch {
	case len(known) == 0:
		text += " (none are known)"
	case len(known) > maxListed:
		text += fmt.Sprintf(" (known: %s and %d more)", strings.Join(known[:maxListed], ", "), len(known)-maxListed)
	default:
		text += fmt.Sprintf(" (known: %s)", strings.Join(known, ", "))
	}
	return trace.NotFound("%s", text)
}
