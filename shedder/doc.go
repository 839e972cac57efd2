// Package shedder decides which requests are refused while the upstreams of a service have more work than places.
package shedder
