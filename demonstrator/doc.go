// Package demonstrator runs a small fleet with stand-ins in one process, sends requests to it and checks the results.
package demonstrator
