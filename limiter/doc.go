// Package limiter holds the budgets of a process: retries in proportion to first attempts, and bytes of control traffic.
package limiter
