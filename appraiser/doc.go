// Package appraiser tracks the health of upstreams from the outcomes of requests. A suspect
// upstream receives single requests as trials until it has recovered; an unreachable one receives none until a probe has
// opened a connection to it.
package appraiser
