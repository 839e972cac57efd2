package encoder

import (
	"net/http"
	"slices"
	"strings"
)

// hopHeaders are the header fields that concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownPrefix begins the names of the fleet's own header fields.
const ownPrefix = "Clementine-"

// EndToEnd returns a copy of a header without the fields that concern one connection and without the fleet's own.
func EndToEnd(h http.Header) http.Header {
	out := http.Header{}
	named := h.Values("Connection")
	for name, values := range h {
		if slices.Contains(hopHeaders, name) || slices.Contains(named, name) || strings.HasPrefix(name, ownPrefix) {
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
