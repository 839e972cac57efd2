// Package proxier carries requests of callers to upstreams and the answers back.
//
// It decides about second tries, resumes streams at another upstream, and gives a refusal, a failure or a broken
// connection exactly the meaning that callers rely on: 408, 421, 429 and 503 are sent only for requests that have
// not run and never will.
package proxier
