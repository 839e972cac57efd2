// Package registrar keeps the list of upstreams, merged record by record from the store and from peers.
//
// Records carry the store's revision, so that merging is commutative: the newest record of an upstream wins
// whatever its source and order. A removal is a record too.
package registrar
