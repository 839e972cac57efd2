// Package operator implements the HTTP endpoints for operators and a client for them.
//
// GET /status, /metrics, /healthz, /debug/pprof/ and /debug/vars need no
// authentication: whoever can connect to the operators' address may use them.
// POST /drain needs a token that is derived from the shared key.
package operator
