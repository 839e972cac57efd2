package shedder_test

import (
	"fmt"
	"time"

	"clementineramp/shedder"
)

func Example() {
	s := shedder.Shedder{Random: func() float64 { return 0.5 }}
	now := time.Now()
	for range 9 {
		s.Decide(shedder.Request{Service: "pool", Urgency: 0, Remaining: 12 * time.Second}, 0.5, now)
	}
	const highLoad = 0.95
	urgent := s.Decide(shedder.Request{Service: "pool", Urgency: 0, Remaining: 12 * time.Second}, highLoad, now)
	draft := s.Decide(shedder.Request{Service: "pool", Urgency: 2, Remaining: 12 * time.Second}, highLoad, now)
	fmt.Println(urgent.Refused, draft.Refused, draft.RetryAfter)
	// Output: false true 500ms
}
