// Package planner decides which placement order an agent gives its own engine.
//
// Each agent plans for its own engine only. Agents agree on the order of a
// rolling change without talking to each other: the workers of a pool are sorted
// by the rendezvous rank of the new version and dealt to lanes, and a worker
// changes when all workers before it in its lane have the new version or are
// down. The number of lanes is at most what the floor of ready capacity leaves,
// so that the floor holds even while the agents' knowledge of each other lags.
//
// Engines may ignore fencing numbers. The agent therefore reads back what the
// engine has, and orders again when it differs from what was placed.
package planner
