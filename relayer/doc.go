// Package relayer exchanges state between gateways over net/rpc.
//
// A gateway asks one peer at a time for whatever is newer than its own state. So a gateway that cannot reach the store
// still receives its changes from peers, and all gateways learn of requests that crash upstreams.
package relayer
