// Package timekeeper provides timers that tell the silence of a peer from a pause of this process.
package timekeeper
