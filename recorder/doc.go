// Package recorder keeps the events of streamed answers, so that a caller whose
// connection broke can resume the answer after the last event it received.
//
// A Recorder limits the bytes of all streams together and the time for which a
// stream is kept after its end. It evicts only streams that have ended, those
// without a reader first, and reports each eviction. A reader of an evicted
// stream gets an error; it never gets an answer with a gap.
package recorder
