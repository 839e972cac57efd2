package connector_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/connector"
)

// Guards against an exchange that takes a malformed head for a response, whichever head of the exchange it is.
func TestMalformedHeads(t *testing.T) {
	for name, head := range map[string]string{
		"status 000": "HTTP/1.1 000 OK\r\nId: {id}\r\nContent-Length: 0\r\n\r\n",
		"status 099": "HTTP/1.1 099 OK\r\nId: {id}\r\nContent-Length: 0\r\n\r\n",
		"status -00": "HTTP/1.1 -00 OK\r\nId: {id}\r\nContent-Length: 0\r\n\r\n",
		"status 101": "HTTP/1.1 101 Switching Protocols\r\nId: {id}\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"status +99": "HTTP/1.1 +99 OK\r\nId: {id}\r\nContent-Length: 0\r\n\r\n",

		"blank in an interim one":     "HTTP/1.1 103 Early Hints\r\nX Fill: 1\r\n\r\n",
		"blank before an interim one": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n X: 1\r\n\r\n",
		"blank in a name":             "HTTP/1.1 200 OK\r\nId: {id}\r\nX Fill: 1\r\nContent-Length: 0\r\n\r\n",
		"blank after a name":          "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length : 0\r\n\r\n",
		"blank before a name":         "HTTP/1.1 200 OK\r\nId: {id}\r\n Content-Length: 0\r\n\r\n",
		"tab before a name":           "HTTP/1.1 200 OK\nId: {id}\n\tX-Fill: 1\nContent-Length: 0\n\n",
		"blank before any value":      "HTTP/1.1 200 OK\r\nId: {id}\r\nX-Fill:\r\n Content-Length: 0\r\n\r\n",
		"line of blanks":              "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 0\r\n \t\r\n\r\n",
		"encoding in HTTP/1.0":        "HTTP/1.0 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"other encoding in HTTP/1.0":  "HTTP/1.0 200 OK\nId: {id}\ntransfer-ENCODING:identity\n\n",
		"encoding, length, HTTP/1.0":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nId: {id}\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"encoding far in an 1.0 head": "HTTP/1.0 200 OK\r\nId: {id}\r\nX-Fill: " + strings.Repeat("x", 10_000) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"blank far from its line":     "HTTP/1.1 200 OK\r\nId: {id}\r\nX-Fill: " + strings.Repeat("x", 10_000) + "\r\n X-Fill: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for place, before := range map[string]string{
			"only": "", "after an interim one": "HTTP/1.1 103 Early Hints\r\n\r\n",
			"after a stale one": "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold",
		} {
			for _, id := range []string{"{id}", "old"} {
				t.Run(name+" "+place+" "+id, func(t *testing.T) {
					u := serve(t, respondEach(before+strings.ReplaceAll(head, "{id}", id)+okResponse))
					p := connector.New(connector.Config{})
					_, err := p.Do(t.Context(), u.target(), request("1"), matchID("1"))
					require.ErrorIs(t, err, connector.ErrMalformedHead)
					var failure *connector.Error
					require.ErrorAs(t, err, &failure)
					require.Equal(t, connector.MayHaveBeenSent, failure.SendStatus)
					require.Zero(t, p.OpenConnections())
				})
			}
		}
	}
}

// Guards against a cut head being taken for a malformed one, which a crash of the upstream is not.
func TestCutHeadIsNotMalformed(t *testing.T) {
	const head = "HTTP/1.1 000 OK\r\nId: 1\r\nX Fill: 1\r\n\r\n"
	for n := range head {
		u := serve(t, func(_ int, c net.Conn) {
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = io.WriteString(c, head[:n])
		})
		_, err := exchange(t, connector.New(connector.Config{}), u.target(), "1")
		require.Error(t, err)
		require.NotErrorIs(t, err, connector.ErrMalformedHead, "%q", head[:n])
	}
}

// Guards against a sound response being refused for what follows or precedes its head.
func TestSoundHeads(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for name, response := range map[string]string{
		"interim response in HTTP/1.0": "HTTP/1.0 103 Early Hints\r\n\r\n" + chunked,
		"stale response in HTTP/1.0":   "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nId: old\r\nContent-Length: 2\r\n\r\n b" + chunked,
		"fields in the body":           "HTTP/1.0 200 OK\r\nId: {id}\r\nContent-Length: 35\r\n\r\nX: 1\n y\nTransfer-Encoding: a\n\n z\nok",
		"blanks in the body":           "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 6\r\n\r\n a\n\tok",
	} {
		t.Run(name, func(t *testing.T) {
			u := serve(t, respondEach(response))
			body, err := exchange(t, connector.New(connector.Config{}), u.target(), "1")
			require.NoError(t, err)
			require.True(t, strings.HasSuffix(body, "ok"), "%q", body)
		})
	}
}
