// Package encoder defines the types that routers and agents exchange over HTTP
// with each other, with callers and with engines, and checks them when it decodes
// them.
package encoder
