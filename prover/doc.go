// Package prover runs the fault matrix: it injects every fault, alone or in a pair, at every step of a request, a
// configuration change, a placement and a graceful shutdown, and checks that the invariants of the fleet still hold.
package prover
