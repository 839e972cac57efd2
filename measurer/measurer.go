package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// Measurement is one kind of measurement of a fleet, which `clementinectl measure` runs by its name.
type Measurement struct {
	Name string
	// Summary describes in one line what is measured.
	Summary string
	// Run measures once, on fleets that it starts itself, and takes less than 30 s. The seed determines the workload.
	Run func(ctx context.Context, seed uint64) (Result, error)
}

// Measurements returns all measurements in the order of the command's help.
func Measurements() []Measurement {
	return []Measurement{
		{"reuse", "cache reuse of continued chats under churn, compared with a router that sees all caches and loads", measureReuse},
		{"skew", "load of the engines compared with the load limit under churn", measureSkew},
		{"overhead", "latency and processor time that router and agent add to a direct call to the engine", measureOverhead},
		{Name: "ranks", Summary: "guaranteed shares of the ranks under a flood of urgent requests, and use of idle capacity", Run: measureRanks},
		{Name: "flood", Summary: "time to first token of urgent requests under a flood of the least urgent ones, recovery, and retries in an outage", Run: measureFlood},
		{Name: "fairness", Summary: "latency of small organisations while another one asks for 50 times its share", Run: measureFairness},
		configMeasurement(),
		controlMeasurement(),
		slopesMeasurement(),
	}
}

// Find returns the measurement with the given name, and false if there is none.
func Find(name string) (Measurement, bool) {
	for _, m := range Measurements() {
		if m.Name == name {
			return m, true
		}
	}
	return Measurement{}, false
}

// Result holds the figures of one run of a measurement, together with those of its baselines.
type Result struct {
	Name    string   `json:"name"`
	Seed    uint64   `json:"seed"`
	Figures []Figure `json:"figures"`
	// Notes explain how the figures were measured and what they leave out.
	Notes []string `json:"notes,omitempty"`
}

// Figure is one measured value.
type Figure struct {
	Name string `json:"name"`
	// Subject is the measured system: clementineramp, or the name of a baseline.
	Subject string  `json:"subject"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit,omitempty"`
	// Goal is nil for a baseline and for a figure without a goal.
	Goal *Goal `json:"goal,omitempty"`
}

// Goal is the stated target of a figure, a lower or an upper bound; the other bound is nil.
type Goal struct {
	AtLeast *float64 `json:"at_least,omitempty"`
	AtMost  *float64 `json:"at_most,omitempty"`
}

// AtLeast returns a goal that a figure meets at v or above.
func AtLeast(v float64) *Goal { return &Goal{AtLeast: &v} }

// AtMost returns a goal that a figure meets at v or below.
func AtMost(v float64) *Goal { return &Goal{AtMost: &v} }

// Met reports whether the figure meets its goal. A figure without a goal does; NaN meets no goal.
func (f Figure) Met() bool {
	switch {
	case f.Goal == nil:
		return true
	case f.Goal.AtLeast != nil && !(f.Value >= *f.Goal.AtLeast):
		return false
	case f.Goal.AtMost != nil && !(f.Value <= *f.Goal.AtMost):
		return false
	}
	return true
}

// Met reports whether all figures meet their goals, as Figure.Met does for one.
func (r Result) Met() bool {
	for _, f := range r.Figures {
		if !f.Met() {
			return false
		}
	}
	return true
}

// Print writes the result as a table, or as one line of JSON. JSON cannot hold a NaN or infinite value, so such a
// figure is an error there.
func (r Result) Print(w io.Writer, asJSON bool) error {
	if asJSON {
		return trace.Wrap(json.NewEncoder(w).Encode(r))
	}
	fmt.Fprintf(w, "%s (seed %d)\n", r.Name, r.Seed)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	for _, f := range r.Figures {
		fmt.Fprintf(t, "  %s\t%s\t%.4g %s\t%s\n", f.Name, f.Subject, f.Value, f.Unit, f.verdict())
	}
	if err := t.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(w, "  note: %s\n", n)
	}
	return nil
}

func (f Figure) verdict() string {
	if f.Goal == nil {
		return ""
	}
	goal := ""
	if f.Goal.AtLeast != nil {
		goal = fmt.Sprintf("goal at least %.4g", *f.Goal.AtLeast)
	} else if f.Goal.AtMost != nil {
		goal = fmt.Sprintf("goal at most %.4g", *f.Goal.AtMost)
	}
	if f.Met() {
		return goal + ", met"
	}
	return goal + ", MISSED"
}
