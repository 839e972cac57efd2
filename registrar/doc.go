// Package registrar maintains the list of upstreams, merged record by record from the store and from peers.
//
// Records carry the store's revision, which makes merging commutative: the newest record of an upstream wins,
// whatever its source and the order of arrival. A removal is a record too.
package registrar
