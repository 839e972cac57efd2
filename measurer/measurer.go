package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// Measurement is one measurement of the fleet.
type Measurement struct {
	Name string
	// Summary says in one line what is measured.
	Summary string
	// Run measures once with a seed and takes less than 30 s.
	Run func(ctx context.Context, seed uint64) (Result, error)
}

// Measurements lists all measurements.
func Measurements() []Measurement {
	return []Measurement{
		{"reuse", "cache reuse of returning chats through churn, against complete knowledge", measureReuse},
		{"skew", "load of the engines against the bound through churn", measureSkew},
		{"overhead", "latency and processor time that router and agent add to a call of the engine", measureOverhead},
		{Name: "ranks", Summary: "guaranteed shares while the urgent rank floods, and use of idle capacity", Run: measureRanks},
		{Name: "flood", Summary: "urgent first token while the least urgent work floods, recovery, and retries in an outage", Run: measureFlood},
		{Name: "fairness", Summary: "small organisations beside one that asks for 50 times its share", Run: measureFairness},
		configMeasurement(),
		controlMeasurement(),
		slopesMeasurement(),
	}
}

// Find returns the measure with a name.
func Find(name string) (Measurement, bool) {
	for _, m := range Measurements() {
		if m.Name == name {
			return m, true
		}
	}
	return Measurement{}, false
}

// Result holds the figures of one run side by side with those of its baselines.
type Result struct {
	Name    string   `json:"name"`
	Seed    uint64   `json:"seed"`
	Figures []Figure `json:"figures"`
	// Notes say what the run leaves out.
	Notes []string `json:"notes,omitempty"`
}

// Figure is one measured number.
type Figure struct {
	Name string `json:"name"`
	// Subject is what was measured: clementineramp, or the name of a baseline.
	Subject string  `json:"subject"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit,omitempty"`
	// Goal is nil for a baseline and for a figure without a goal.
	Goal *Goal `json:"goal,omitempty"`
}

// Goal bounds a figure from the stated target.
type Goal struct {
	AtLeast *float64 `json:"at_least,omitempty"`
	AtMost  *float64 `json:"at_most,omitempty"`
}

// AtLeast returns a goal with a lower bound.
func AtLeast(v float64) *Goal { return &Goal{AtLeast: &v} }

// AtMost returns a goal with an upper bound.
func AtMost(v float64) *Goal { return &Goal{AtMost: &v} }

// Met reports whether a figure meets its goal; one without a goal does.
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

// Met reports whether all figures meet their goals.
func (r Result) Met() bool {
	for _, f := range r.Figures {
		if !f.Met() {
			return false
		}
	}
	return true
}

// Print writes the result as a table, or as JSON.
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
