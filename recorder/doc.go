// Package recorder keeps the events of running and recently ended answers, so
// that a reader can follow or resume an answer at an exact offset.
//
// A reader never delays the writer. Events beyond the bounds are dropped, and
// a reader that needs a dropped event gets the reason stream_lost, so a part
// of an answer never looks like a whole one.
package recorder
