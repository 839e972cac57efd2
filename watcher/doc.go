// Package watcher keeps a process's view of the fleet: the configuration, the hosts and their load.
package watcher
