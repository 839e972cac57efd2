// Package connector keeps HTTP/1.1 connections to upstreams and carries out one exchange at a time on each.
//
// Unlike http.Transport it never repeats a request, it says whether any byte of a request was sent, and it tells
// late answers to earlier requests from the answer to this one.
package connector
