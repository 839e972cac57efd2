// Package registrar maintains the list of upstreams, merged record by record from the store and from peers.
//
// Records carry the store's revision, which makes merging commutative: the newest record of an upstream wins,
// whatever its source and the order of arrival. A removal is a record too. Not all removals have a record: a list names no
// upstream that is gone, and old removals are deleted. So what a list lacks is gone up to its position, and only a later record
// brings it back.
package registrar
