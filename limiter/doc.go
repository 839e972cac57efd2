// Package limiter holds the budgets of a process: retries beside first attempts, and control bytes.
package limiter
