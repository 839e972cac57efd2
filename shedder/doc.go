// Package shedder decides which requests are refused while the upstreams of a service are short of free slots.
package shedder
