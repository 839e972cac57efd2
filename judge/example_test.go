package judge_test

import (
	"errors"
	"fmt"

	"clementineramp/judge"
)

func ExampleVerdictOf() {
	full := judge.Refuse(judge.ReasonQueueFull, "no room for %d tokens", 512)
	fmt.Println(judge.VerdictOf(fmt.Errorf("route: %w", full)))
	fmt.Println(judge.VerdictOf(errors.New("connection reset")))
	// Output:
	// not_run
	// may_have_run
}
