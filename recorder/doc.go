// Package recorder keeps the events of streamed answers, so that a caller whose
// connection broke can resume the answer after the last event it has.
//
// A Recorder is bounded by bytes over all streams and by time after the end of
// a stream. It evicts ended streams only, those without a reader first, and
// reports each eviction. A reader of an evicted stream gets an error; it never
// gets an answer with a gap.
package recorder
