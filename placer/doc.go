// Package placer chooses the upstream of a request.
//
// Requests of a chat go to the first upstream of the chat's rendezvous order whose load is within a bound of the
// mean, so that all routers send a chat to the same cache without talking to each other. Other requests go to the
// less loaded of the upstreams.
package placer
