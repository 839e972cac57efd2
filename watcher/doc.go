// Package watcher keeps a process's view of the fleet: configuration, hosts and load.
package watcher
