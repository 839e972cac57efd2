// Package prover runs the fault matrix: every fault at every step of a request, a configuration change, a placement
// order and a planned stop.
package prover
