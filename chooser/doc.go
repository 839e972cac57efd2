// Package chooser orders the candidate upstreams of a chat by weighted rendezvous hashing with a load bound.
//
// The order depends only on the chat's key and on the names and uptimes of the upstreams, so every router computes
// the same one. Load decides which candidates are skipped and which of two takes the last attempt. Failure domains
// only break ties of load in the last attempt.
package chooser
