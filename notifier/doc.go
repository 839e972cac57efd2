// Package notifier runs the callbacks of types with a lock after the lock is released.
//
// A callback that runs under the lock of its caller takes further locks in an order that the caller does not know. If
// another goroutine takes them in the opposite order, both wait for each other for good.
package notifier
