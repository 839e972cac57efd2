// Package appraiser tracks the health of upstreams from the outcomes of requests. It sends no probes; a suspended
// upstream receives single requests as trials until it has recovered.
package appraiser
