// Package loader reads the settings of a daemon from a JSON file with comments.
//
// The struct tags of Settings hold each field's default, range and allowed
// values, and both the decoder and its error messages are driven by them. All
// faults of a file are reported together, except that a syntax error ends the
// reading of the file.
package loader
