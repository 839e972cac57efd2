// Package tracker keeps the membership, state and load of the upstreams as known to one process.
//
// It combines the platform's host list, the outcomes of the process's own attempts and the load reports of peers. All
// this information ages by elapsed time and expires, also while the process is paused.
package tracker
