// Package configurer decides which published configuration is in force.
//
// A configuration is a manifest and the parts that it lists by digest. A Holder
// takes manifests and parts in any order, from any source, any number of times.
// It adopts the greatest (version, digest) whose parts are all present and valid,
// by swapping one snapshot, and never goes back to a smaller one.
//
// A part is JSON with one row per line, so that an error can name the line.
package configurer
