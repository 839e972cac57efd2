// Package encoder holds the wire types that the system's own processes and its
// edges exchange over HTTP, and checks them when they are decoded.
package encoder
