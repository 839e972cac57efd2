// Package spawner runs the programs of a fleet as separate processes and sends them signals by process ID.
package spawner
