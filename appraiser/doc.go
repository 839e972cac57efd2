// Package appraiser judges the health of upstreams from the outcomes of requests, without probes of its own.
package appraiser
