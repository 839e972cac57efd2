// Package launcher runs one daemon, a router or an agent: it starts the daemon from its settings and shuts it down
// gracefully.
package launcher
