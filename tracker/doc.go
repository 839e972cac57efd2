// Package tracker keeps what one process knows of the upstreams: membership, state and load.
//
// It joins the platform's host list, the process's own observations and the reports of peers. All knowledge ages by
// elapsed time and expires, also while the process is paused.
package tracker
