// Package service is the HTTP client of an agent for its plain service. It sends a call at most once unless the call is
// idempotent.
package service
