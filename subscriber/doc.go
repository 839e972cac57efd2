// Package subscriber is a client for the platform's configuration service and
// host list.
//
// It only reads and watches; nothing in the system writes to the platform. A
// watch is a long poll: the platform responds when the revision is higher than
// the caller's, or when its own time limit ends.
package subscriber
