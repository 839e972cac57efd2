// Package arbiter admits the requests of all gateways to a plain service at one gateway, the owner of the service.
//
// A plain service has few slots and reports no load, and each of many gateways has less than one request in progress there.
// Shares of the slots leave some idle while requests wait elsewhere, and reports of latencies are too old to keep a queue short.
// The owner counts exactly. It grants places; the gateways send their requests themselves, so that an owner that fails costs no
// request. A gateway that does not reach the owner at once falls back to its own share.
package arbiter
