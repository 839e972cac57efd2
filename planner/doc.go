// Package planner decides which model version an agent orders its engine to load.
//
// Each agent plans for its own engine only. Agents agree on the sequence of a
// rolling change without communicating: the workers of a pool are sorted by the
// rendezvous hash of the new version and the worker's name, and assigned to lanes
// in turn. A worker changes when all workers before it in its lane have the new
// version or are down. The number of lanes is at most the number of workers that
// the floor, the minimum of ready workers, allows to be unready. The floor
// therefore holds even while the agents' information about each other is stale.
//
// Engines may ignore fencing numbers. The agent therefore reads back what the
// engine has loaded, and sends another order if it differs from what was placed.
package planner
