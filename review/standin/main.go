// Command standin plays the cases of the review: it starts gateways of the project and stand-ins of workers as processes,
// serves the platform's store, sends requests as clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, rec *record, trouble bool) (broken bool, err error){
	"reset":  caseReset,
	"tie":    caseTie,
	"middle": caseMiddle,
	"same":   caseSame,
	"begun":  caseBegun,
}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "worker:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(runCase())
}

// runCase plays the case of the first argument; the second is the root of the repository, and the third the record.
func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	f, err := newFleet(os.Args[2], rec)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return exitFailed
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() {
		broken, err := cases[os.Args[1]](f, rec, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			rec.say("the case could not run: %v", err)
			result <- exitFailed
		case broken:
			rec.say("BROKEN")
			result <- exitBroken
		default:
			rec.say("held")
			result <- exitHeld
		}
	}()
	select {
	case code := <-result:
		return code
	case <-interrupted:
		rec.say("interrupted")
		return exitFailed
	}
}
