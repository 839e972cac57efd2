// Command standin2 holds the stand-ins of the second review and the cases that use them.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"
)

// caseRun is one run of a case.
type caseRun struct {
	program string
	// trouble is unset if the disruption is left out.
	trouble bool
	out     *os.File
}

// record writes a line to the record of the run.
func (c *caseRun) record(format string, args ...any) {
	fmt.Fprintf(c.out, format+"\n", args...)
}

var cases = map[string]func(*caseRun) (bool, error){
	"6":  caseEvacuate,
	"7":  caseRecover,
	"8":  caseStale,
	"9":  caseDrain,
	"10": caseDeadlyPart,
}

func main() {
	os.Exit(run())
}

// run returns 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE GATEWAY RECORD")
		return 2
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer out.Close()
	c := &caseRun{program: os.Args[2], trouble: os.Getenv("TROUBLE") != "0", out: out}
	c.record("case %s, trouble %v, %s", os.Args[1], c.trouble, time.Now().UTC().Format(time.DateTime))
	broken, err := cases[os.Args[1]](c)
	switch {
	case err != nil:
		c.record("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		c.record("result: the rule was broken")
		return 1
	}
	c.record("result: the rule held")
	return 0
}

// summarise records the answers by their kinds, and those that are no whole success.
func (c *callers) summarise(r *caseRun, began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int)
	for _, a := range c.answers {
		kind := fmt.Sprintf("status %d", a.status)
		if !a.whole {
			kind += " not whole"
		}
		counts[kind]++
		if a.status != 200 || !a.whole {
			r.record("request %s sent at %v to %s: status %d, whole %v, %s after %v", a.id, a.sent.Sub(began), a.gateway, a.status, a.whole, a.err, a.took)
		}
	}
	kinds := make([]string, 0, len(counts))
	for kind := range counts {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	for _, kind := range kinds {
		r.record("%d answers: %s", counts[kind], kind)
	}
}
