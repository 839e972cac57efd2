package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var began = time.Now()

// record is the file that tells what was sent, answered and run.
var record struct {
	mu sync.Mutex
	f  *os.File
}

// note writes a line with the time since the start to the record.
func note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.f, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes the result to the record and to standard output.
func verdict(sent, served int, format string, args ...any) {
	text := fmt.Sprintf("%d requests sent to gateways in touch, %d of them answered whole; ", sent, served) + fmt.Sprintf(format, args...)
	note("%s", text)
	fmt.Println(text)
}

// cleanup ends all processes that the script started.
var cleanup = func() {}

// fail ends a script that cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "could not run: "+format+"\n", args...)
	cleanup()
	os.Exit(notRun)
}

func main() {
	name := flag.String("case", "", "case to run")
	program := flag.String("gateway", "", "program of the gateways")
	file := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	f, err := os.Create(*file)
	if err != nil {
		fail("%v", err)
	}
	record.f = f
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fail("%v", err)
	}
	run, ok := cases[*name]
	if !ok {
		fail("unknown case %q", *name)
	}
	code := run(config{program: *program, dir: dir, trouble: *trouble})
	cleanup()
	_ = f.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	os.Exit(code)
}

// config is what a case gets.
type config struct {
	program, dir string
	trouble      bool
}

var cases = map[string]func(config) int{
	"departed": departed,
	"cutoff":   cutoff,
}
