// Package convictor finds requests that crash the upstreams that run them.
//
// Each request that was running when its connection broke is charged with the crash. The routers exchange their
// charges, and a request that is charged with three crashes is refused by all of them for a time.
package convictor
