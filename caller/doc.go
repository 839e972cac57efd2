// Package caller serves the HTTP interface of a router to callers: it authenticates requests, enforces limits on them and
// writes the responses.
package caller
