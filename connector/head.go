package connector

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that the head of a response was received to its end and is no HTTP.
var ErrMalformedHead = errors.New("the head of the response is malformed")

// CheckHead returns an ErrMalformedHead if a response that net/http has parsed is no HTTP response. Nothing in such a response can
// be relied on, and neither can its end: a length or an encoding whose field has a malformed name is not applied.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: status %d", ErrMalformedHead, resp.StatusCode)
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field %q", ErrMalformedHead, name)
		}
	}
	return nil
}

// Framed reports whether a response has a content length or chunked encoding, rather than ending with its connection.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// foldFinder finds lines of a head that begin with a blank. net/http appends such a line to the value of the line before it
// (RFC 9112, section 5.2, lets a gateway refuse it instead), although it may be a field whose name begins with a blank.
type foldFinder struct {
	found bool
	// ended is set after the empty line that ends the head.
	ended bool
	// lines is the number of complete lines, and length that of bytes in the current one, line ends not counted.
	lines, length int
}

// write continues with the next bytes of the connection.
func (f *foldFinder) write(b []byte) {
	for _, c := range b {
		if f.ended {
			return
		}
		switch c {
		case '\n':
			f.ended = f.length == 0 && f.lines > 0
			f.lines, f.length = f.lines+1, 0
		case '\r':
		default:
			f.found = f.found || f.length == 0 && f.lines > 0 && (c == ' ' || c == '\t')
			f.length++
		}
	}
}
