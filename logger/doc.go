// Package logger writes one line of key=value fields for each event.
//
// Values may come from callers. The package ensures that such text cannot add
// fields or lines, that its length is bounded, and that no secret is written.
package logger
