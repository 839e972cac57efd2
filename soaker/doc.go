// Package soaker runs gateways as separate processes on loopback, injects random faults from outside them, and checks
// what callers and upstreams receive. The seed of a run determines its faults and requests, but not their exact times.
package soaker
