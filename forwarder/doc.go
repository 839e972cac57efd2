// Package forwarder is the HTTP client that a router uses to talk to agents.
package forwarder
