package planner_test

import (
	"fmt"
	"time"

	"clementineramp/planner"
)

func ExamplePlan() {
	desired := planner.Desired{Placement: planner.Placement{Model: "clementine-8b", Version: "2"}, Floor: 0.5}
	engine := planner.Observed{
		Name: "vavrad-1", Read: true, ReadAt: time.Minute, Fence: 7,
		Loaded: planner.Placement{Model: "clementine-8b", Version: "1"},
	}
	peers := []planner.Peer{{Name: "vavrad-2", Version: "2"}, {Name: "vavrad-3", Version: "2"}}
	orders, reason := planner.Plan(time.Minute, desired, engine, peers)
	fmt.Println(reason)
	fmt.Println(orders[0].Placement, "fence", orders[0].Fence)
	fmt.Println("may be sent after a pause of 5 s:", orders[0].Valid(time.Minute+5*time.Second))
	// Output:
	// lane 1 of 1: may change, 2 of 3 workers stay ready
	// clementine-8b@2 fence 8
	// may be sent after a pause of 5 s: false
}
