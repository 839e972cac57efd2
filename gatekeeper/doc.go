// Package gatekeeper runs a gateway process: it starts the gateway from its settings, reloads them and shuts it down
// gracefully.
package gatekeeper
