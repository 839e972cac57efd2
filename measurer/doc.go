// Package measurer drives routers and agents on loopback before stand-in engines and measures what the fleet promises.
package measurer
