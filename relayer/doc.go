// Package relayer exchanges state between gateways over net/rpc.
//
// A gateway exchanges with one peer at a time and receives what is newer than its own state. A gateway that cannot reach
// the store thus still receives the store's changes, and reports of requests that crash upstreams reach all gateways.
package relayer
