// Package subscriber is the client of the configuration service and of the host list.
//
// The platform can be read and watched only; nothing in the system writes to it.
// A watch is a long poll: it is answered when the revision has passed the one
// that the caller holds, or with the unchanged value when the platform's own
// time limit ends.
package subscriber
