// Package blocker detects requests that crash the upstreams that run them, and blocks them.
//
// A request that is running at an upstream when its connection breaks is suspected of the crash. The routers exchange
// crash reports, and all of them block a request for a limited time once it is suspected of three crashes.
package blocker
