// Package loader reads the settings of a daemon from a JSON file with comments.
//
// The struct tags of Settings and Gateway hold each field's default, range and
// allowed values; the decoder and its error messages are derived from them. All
// problems of a file are reported together, except that decoding stops at a
// syntax error.
package loader
