package encoder

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
)

// hopByHopHeaders are the header fields that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// fleetHeaderPrefix begins the names of the fleet's own header fields.
const fleetHeaderPrefix = "Clementine-"

// EndToEnd returns a copy of a header without the fields that concern one connection and without the fleet's own.
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

// NoRedirect makes an HTTP client return a redirect instead of following it, since following one would send a request twice.
func NoRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
