// Package configurer validates published configurations and selects the current one.
//
// A configuration consists of a manifest and the parts that it lists by digest. A
// Holder accepts manifests and parts in any order, from any source, and repeatedly.
// It adopts the configuration with the highest (version, digest) whose parts are all
// present and valid, by replacing the snapshot atomically, and never reverts to a
// lower one.
//
// A part is JSON with one row per line, so that errors can name the line.
package configurer
