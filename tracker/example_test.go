package tracker_test

import (
	"fmt"
	"time"

	"clementineramp/encoder"
	"clementineramp/tracker"
)

func ExampleTracker() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	tr := tracker.New(tracker.Config{})
	tr.UpdateHosts([]tracker.Host{
		{Name: "engine-a", Pool: "vavrad", Domain: "malaren"},
		{Name: "engine-b", Pool: "vavrad", Domain: "vanern"},
	}, now)
	tr.Merge([]encoder.LoadEntry{{Upstream: "engine-a", Sequence: 1, Work: 1200, AgeMS: 500, UptimeMS: 60000}}, now)
	tr.Observe(tracker.Observation{Upstream: "engine-b", Outcome: tracker.ConnectionRefused}, now)
	for _, u := range tr.View("vavrad", now.Add(time.Second)) {
		fmt.Println(u.Name, u.State, u.Known, u.Work, u.WorkAge)
	}
	// Output:
	// engine-a live true 1200 1.5s
	// engine-b down false 0 0s
}
