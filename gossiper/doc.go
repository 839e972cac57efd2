// Package gossiper exchanges control state between the processes of a fleet
// and distributes the configuration over these exchanges.
//
// A Gossiper serves and calls the methods Gossip.Exchange, Gossip.Manifest,
// Gossip.Part and Gossip.Hosts of net/rpc over TCP. Both sides of a connection
// prove that they hold the shared key before the first call. Messages are CBOR
// maps in frames of limited length; unknown fields are ignored, and an absent
// field has its zero value. An exchange carries the state at the time of
// sending; nothing is queued for an unreachable peer.
//
// A Distributor makes each published configuration the current one of its
// process. It receives a new configuration from a watch on the platform if the
// process is one of the watchers of its failure domain, otherwise from gossip,
// and from infrequent reads of the platform as a fallback.
package gossiper
