package prover_test

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// gcPercent trades memory for time: at the default of 100, the many short-lived fleets of the matrix spend a quarter
	// of their time in garbage collection.
	gcPercent = 800
	// stallTime is the real time without the end of a cell after which the tests are ended. A cell takes about a second
	// of processor time; only one whose virtual time stands still takes this long.
	stallTime = 10 * time.Minute
	// stacksBytes bounds the stacks that are read of a stalled run.
	stacksBytes = 64 << 20
)

// ended counts the cells that have ended.
var ended atomic.Int64

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	go watchForStall()
	os.Exit(m.Run())
}

// watchForStall ends the tests with the stacks of the goroutines that hold up the virtual time of a cell: those in a
// bubble that wait for something that synctest does not count, such as a mutex. The time limit of go test would print
// the stacks of all goroutines, of which CI keeps the last ones only.
func watchForStall() {
	last := int64(-1)
	for n := ended.Load(); n != last; n = ended.Load() {
		last = n
		time.Sleep(stallTime)
	}
	buf := make([]byte, stacksBytes)
	stacks := strings.Split(string(buf[:runtime.Stack(buf, true)]), "\n\n")
	fmt.Fprintf(os.Stderr, "no cell has ended for %v; goroutines that hold up the virtual time:\n", stallTime)
	for _, s := range stacks {
		if head, _, _ := strings.Cut(s, "\n"); strings.Contains(head, "synctest bubble") && !strings.Contains(head, "(durable)") {
			fmt.Fprintf(os.Stderr, "%s\n\n", s)
		}
	}
	os.Exit(2)
}
