// Package engine is the client that an agent uses to talk to its model engine.
package engine
