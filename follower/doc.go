// Package follower keeps a process's view of the platform: the configuration in force and the upstreams.
//
// It follows the store by a watch, reads everything again after a gap, and takes what peers know in the meantime.
// A configuration never goes back to an older version.
package follower
