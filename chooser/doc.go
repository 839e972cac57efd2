// Package chooser orders the candidate upstreams of a chat by weighted rendezvous hashing with a load bound.
//
// The preference order of a chat depends only on its key and on the names and uptimes of the upstreams, so every
// router computes the same order. Load determines which candidates are skipped and which of two gets the last attempt.
// Failure domains only break ties in load for the last attempt.
package chooser
