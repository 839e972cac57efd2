// Package forwarder implements the HTTP client with which a router sends requests to agents.
package forwarder
