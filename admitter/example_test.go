package admitter_test

import (
	"fmt"
	"time"

	"clementineramp/admitter"
	"clementineramp/configurer"
)

func Example() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	a := admitter.New(admitter.Config{
		Slots:  1,
		Ranks:  []configurer.Rank{{Name: "urgent", Share: 0.5}, {Name: "batch", Share: 0.1}},
		Jitter: func() float64 { return 0 },
	})
	_ = a.Offer(now, admitter.Request{ID: 1, Rank: "batch", Organisation: "acme", Cost: 400})
	r, _ := a.Next(now)
	fmt.Println("runs", r.ID)

	_ = a.Offer(now, admitter.Request{ID: 2, Rank: "urgent", Organisation: "birch", Cost: 50})
	r, _ = a.Preempt(now)
	fmt.Println("pause", r.ID)
	a.Paused(now.Add(10*time.Millisecond), 1, 390)
	r, _ = a.Next(now.Add(10 * time.Millisecond))
	fmt.Println("runs", r.ID)
	fmt.Println(a.LastDecision())
	// Output:
	// runs 1
	// pause 1
	// runs 2
	// action="start" id=2 rank="urgent" organisation="birch" cost=50 cause="below_share" deficit=505 engine_work=50 limit=+Inf running=1 slots=1 waiting=1
}
