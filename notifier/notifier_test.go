package notifier_test

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/notifier"
)

// Guards against callbacks that run in another order than that of the changes that they report.
func TestOrder(t *testing.T) {
	var mu sync.Mutex
	var n notifier.Notifier
	var calls []int
	add := func(i int) { n.Add(func() { calls = append(calls, i) }) }
	mu.Lock()
	add(1)
	n.Add(func() {
		mu.Lock() // The lock is free, and this goroutine runs callbacks already.
		add(3)
		n.Unlock(&mu)
		calls = append(calls, 2)
	})
	n.Unlock(&mu)
	require.Equal(t, []int{1, 2, 3}, calls)
	mu.Lock()
	n.Unlock(&mu)
	require.Len(t, calls, 3)
}

// Guards against callbacks that are lost, or run twice, when several goroutines change the owner.
func TestConcurrentOwners(t *testing.T) {
	const goroutines, changes = 8, 500
	var mu sync.Mutex
	var n notifier.Notifier
	var all sync.WaitGroup
	serial := 0
	var calls []int
	for range goroutines {
		all.Go(func() {
			for range changes {
				mu.Lock()
				i := serial
				serial++
				n.Add(func() { calls = append(calls, i) })
				n.Unlock(&mu)
			}
		})
	}
	all.Wait()
	require.Len(t, calls, goroutines*changes)
	for i, call := range calls {
		require.Equal(t, i, call)
	}
}

// Guards against a notifier that runs no further callbacks after one has panicked, which net/http recovers from.
func TestPanic(t *testing.T) {
	var mu sync.Mutex
	var n notifier.Notifier
	mu.Lock()
	n.Add(func() { panic("callback") })
	require.PanicsWithValue(t, "callback", func() { n.Unlock(&mu) })
	mu.Lock()
	called := false
	n.Add(func() { called = true })
	n.Unlock(&mu)
	require.True(t, called)
}
