// Package judge classifies failed requests by whether they may have run.
package judge
