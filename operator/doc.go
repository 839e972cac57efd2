// Package operator serves the endpoints for operators and holds their client.
//
// GET /status, /metrics, /healthz, /debug/pprof/ and /debug/vars are open to
// all who reach the operators' address. POST /drain needs a token that is
// derived from the shared key.
package operator
