package encoder

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHopHeaders lists the header fields that concern a single connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// fleetHeaderPrefix is the prefix of all header fields that are internal to the fleet or addressed to it.
const fleetHeaderPrefix = "Clementine-"

// EndToEnd returns a copy of a header without the hop-by-hop fields, including those that Connection names, and without
// the fields of the fleet.
func EndToEnd(h http.Header) http.Header {
	out := http.Header{}
	var named []string
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			named = append(named, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for name, values := range h {
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(named, name) || strings.HasPrefix(name, fleetHeaderPrefix) {
			continue
		}
		out[name] = slices.Clone(values)
	}
	return out
}

// NoRedirect is a CheckRedirect function with which an HTTP client returns a redirect instead of following it, since
// following it would send the request twice.
func NoRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
