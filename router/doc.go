// Package router implements the router role: it chooses an agent for each request and forwards the response to the caller.
package router
