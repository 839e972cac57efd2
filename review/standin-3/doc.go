// Command standin-3 runs the scripts of the third review: it starts gateways as separate processes on loopback, in front of
// stand-ins of the platform's store, of workers and of clients, and judges what these have seen.
package main
