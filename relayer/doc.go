// Package relayer exchanges what gateways know with each other, by net/rpc.
//
// A gateway asks one peer at a time for what is newer than its own knowledge. So a gateway that the store does not
// serve follows the others, and all learn of requests that crash upstreams.
package relayer
