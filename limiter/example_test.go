package limiter_test

import (
	"fmt"
	"time"

	"clementineramp/limiter"
)

func ExampleRetryBudget() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	budget, err := limiter.NewRetryBudget(limiter.RetryConfig{Floor: 1})
	if err != nil {
		fmt.Println(err)
		return
	}
	for range 20 {
		budget.CountFirst(now)
	}
	fmt.Println(budget.AllowRetry(now), budget.AllowRetry(now), budget.AllowRetry(now))
	// Output: true true false
}

func ExampleControlBudget() {
	now := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	budget, err := limiter.NewControlBudget(limiter.ControlConfig{BytesPerSecond: 1000, Burst: time.Second})
	if err != nil {
		fmt.Println(err)
		return
	}
	budget.CountSent(900, now)
	fmt.Println(budget.Allow(300, now), budget.Allow(300, now.Add(time.Second)))
	fmt.Printf("%+v\n", budget.Totals())
	// Output:
	// false true
	// {Sent:900 Received:0 Skipped:1}
}
