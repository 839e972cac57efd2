package quarantiner_test

import (
	"fmt"

	"clementineramp/quarantiner"
)

func ExampleQuarantine() {
	const crashing, harmless = 0xbad, 0x900d
	first := quarantiner.New(quarantiner.Config{})
	second := quarantiner.New(quarantiner.Config{})

	// The engine of the first agent crashes while both requests run.
	_, _ = first.Begin(at(0), crashing, false)
	_, _ = first.Begin(at(0), harmless, false)
	first.Crash(at(1))
	fmt.Println(first.LastDecision())

	// The first agent refuses the retry, and the router sends the mark along to the second agent.
	_, err := first.Admit(at(2), crashing, 0)
	fmt.Println(err)
	suspect, _ := second.Admit(at(2), crashing, first.Mark(at(2), crashing))
	_, _ = second.Begin(at(2), crashing, suspect)
	fmt.Println(second.Crash(at(3)))
	fmt.Println(second.LastDecision())
	_, err = second.Admit(at(4), crashing, 1)
	fmt.Println(err)
	// Output:
	// action=crash marked_running=0 marks_given=2 spared=0 running=0 known=2 dropped=0
	// crash_suspect (not_run): request 0000000000000bad was running when the engine of this agent crashed
	// [{0000000000000bad 2 true}]
	// action=crash marked_running=1 marks_given=0 spared=0 convicted=0000000000000bad mark=2 running=0 known=1 dropped=0
	// crashes_upstream (not_run): request 0000000000000bad crashed its engines and is not run again
}
