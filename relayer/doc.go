// Package relayer exchanges state between gateways over net/rpc.
//
// Two gateways of each failure domain are hubs, which collect the loads of their domain and exchange them with the other
// hubs. All gateways exchange the rest of the state with peers of any kind. In an exchange, a gateway receives what is
// newer than its own state. A gateway that cannot reach the store thus still receives the store's changes, and reports of
// requests that crash upstreams reach all gateways.
package relayer
