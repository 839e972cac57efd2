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

// encodingField is the start of a line with the encoding of the body, in lower case.
const encodingField = "transfer-encoding:"

// headScanner examines the bytes of a head for what net/http leaves out of the response that it returns.
type headScanner struct {
	// folded is set by a line that begins with a blank. net/http appends it to the value of the line before (RFC 9112, section
	// 5.2, lets a gateway refuse it instead), although it may be a field whose name begins with a blank.
	folded bool
	// encoded is set by a field with the encoding of the body, which net/http ignores in HTTP/1.0.
	encoded bool
	// ended is set by the empty line that ends the head.
	ended bool
	// lines is the number of complete lines, and length that of bytes in the current one, line ends not counted. matched is
	// the length of its beginning that is also the beginning of encodingField.
	lines, length, matched int
}

// write continues with the next bytes of the connection.
func (s *headScanner) write(b []byte) {
	for _, c := range b {
		if s.ended {
			return
		}
		switch c {
		case '\n':
			s.ended = s.length == 0 && s.lines > 0
			s.lines, s.length, s.matched = s.lines+1, 0, 0
			continue
		case '\r':
			continue
		}
		if s.length == 0 && s.lines > 0 && (c == ' ' || c == '\t') {
			s.folded = true
		}
		if s.matched == s.length && s.matched < len(encodingField) && lower(c) == encodingField[s.matched] {
			s.matched++
			s.encoded = s.encoded || s.matched == len(encodingField)
		}
		s.length++
	}
}

// check returns an ErrMalformedHead if the head of resp, which has been written, is malformed.
func (s *headScanner) check(resp *http.Response) error {
	switch {
	case s.folded:
		return fmt.Errorf("%w: a line begins with a blank", ErrMalformedHead)
	case s.encoded && !resp.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: %s has no transfer encoding", ErrMalformedHead, resp.Proto)
	}
	return CheckHead(resp)
}

// lower returns the lower-case form of a letter.
func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	return c
}
