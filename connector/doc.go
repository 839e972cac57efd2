// Package connector pools HTTP/1.1 connections to upstreams and performs one exchange at a time on each.
//
// Unlike http.Transport it never repeats a request, it reports whether any byte of a request was sent, and it
// distinguishes late responses to earlier requests from the response to the current one.
package connector
