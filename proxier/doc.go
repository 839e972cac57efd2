// Package proxier forwards requests of callers to upstreams and relays the responses.
//
// It decides about retries, resumes interrupted streams at another upstream, and keeps the guarantee behind the status
// codes that callers rely on: 408, 421, 429 and 503 are sent only for requests that have not run and never will.
package proxier
