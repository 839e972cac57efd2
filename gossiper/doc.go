// Package gossiper is the control exchange between the system's own processes,
// and the distribution of the configuration that is built on it.
//
// A Gossiper serves and calls the methods Gossip.Exchange, Gossip.Manifest and
// Gossip.Part of net/rpc over TCP. Both sides of a connection prove that they
// hold the shared key before the first call. Messages are CBOR maps in frames of
// bounded length; unknown fields are ignored, and an absent field has its zero
// value. An exchange carries the state at the moment of sending; nothing is
// queued for a peer that cannot be reached.
//
// A Distributor brings each published configuration into force at its process:
// by a watch if the process is one of the watchers of its failure domain, else
// by gossip, and by a slow read of the platform as a fallback.
package gossiper
