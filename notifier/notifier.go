package notifier

import "sync"

// Notifier holds the callbacks that are due once the lock of its owner is released. Its zero value is ready to use, and the lock
// guards it.
type Notifier struct {
	due []func()
	// running is set while a goroutine runs callbacks.
	running bool
}

// Add adds a callback. The caller holds the lock.
func (n *Notifier) Add(call func()) {
	n.due = append(n.due, call)
}

// Unlock releases the lock and runs the callbacks in the order in which they were added. They may call the owner of the lock.
// While another goroutine runs callbacks, Unlock leaves its own to that one.
func (n *Notifier) Unlock(mu *sync.Mutex) {
	defer mu.Unlock()
	if n.running {
		return
	}
	n.running = true
	defer func() { n.running = false }()
	for len(n.due) > 0 {
		calls := n.due
		n.due = nil
		callUnlocked(mu, calls)
	}
}

// callUnlocked releases the lock while the callbacks run, and takes it again even if one panics.
func callUnlocked(mu *sync.Mutex, calls []func()) {
	mu.Unlock()
	defer mu.Lock()
	for _, call := range calls {
		call()
	}
}
