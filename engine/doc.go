// Package engine is the HTTP client of an agent for its model engine.
package engine
