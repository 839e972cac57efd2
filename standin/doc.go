// Package standin simulates the systems outside the fleet: the platform, model engines, plain services, callers and the
// network. Tests, the demonstration and measurements use it.
package standin
