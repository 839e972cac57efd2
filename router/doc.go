// Package router is the router role: it chooses an agent for each request and carries the answer back.
package router
