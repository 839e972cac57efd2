// Package throttler bounds the requests that all gateways together send to an upstream that is cold, without any message
// for a request.
//
// Of all gateways that a gateway knows, a few own a cold upstream, chosen by rendezvous hashing. Only owners send to it,
// each at most its fixed share in a sliding window. See docs/design/cold-upstreams.md.
package throttler
