// Package soaker runs gateways as separate processes on loopback, injects random faults from outside them, and checks
// what callers and upstreams see. A run is chosen by its seed; the times of its events are not exact.
package soaker
