// Package agent is the agent role: it admits work to its upstream, records answers and runs orders at most once.
package agent
