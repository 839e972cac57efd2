// Package follower keeps the configuration and the list of upstreams of a process in step with the platform's store.
//
// It watches the store, does a full read after a gap in the history, and accepts newer state from peers in between.
// A configuration is never replaced by an older version.
package follower
