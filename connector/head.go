package connector

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that the whole head of a response was received and is not valid HTTP.
var ErrMalformedHead = errors.New("the head of the response is malformed")

// CheckHead returns an ErrMalformedHead if net/http has accepted a response whose status or field names are not valid. Nothing in
// such a response can be relied on, not even its end: a length or an encoding whose name is malformed is not applied.
func CheckHead(resp *http.Response) error {
	// 101 is valid only as the response to a request for another protocol, and there are none.
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
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

// encodingField is how a line with the encoding of the body begins, in lower case.
const encodingField = "transfer-encoding:"

// HeadScanner examines the bytes of a response, from its first one on, for malformed lines that do not show in what net/http
// returns. It goes on after interim responses and stops at the body. The zero value is ready for use, by one goroutine at a time.
type HeadScanner struct {
	// folded is set by a line that begins with a blank. net/http appends it to the value of the line before (RFC 9112, section
	// 5.2, lets a gateway refuse it instead), although it may be a field whose name begins with a blank.
	folded bool
	// encoded is set by a field with the encoding of the body, which net/http ignores in HTTP/1.0.
	encoded bool
	// ended is set by the empty line that ends the head.
	ended bool
	// class is the first digit of the status, which follows the blank that sets spaced.
	class  byte
	spaced bool
	// lines is the number of complete lines, and length that of bytes in the current one, line ends not counted. matched is
	// the number of these bytes that agree with encodingField from the start of the line on.
	lines, length, matched int
}

// Write continues with the next bytes of the connection; it does not fail.
func (s *HeadScanner) Write(b []byte) (int, error) {
	for _, c := range b {
		switch {
		case s.ended:
			return len(b), nil
		case c == '\n':
			s.endLine()
		case c != '\r':
			s.add(c)
		}
	}
	return len(b), nil
}

// endLine continues with the end of a line.
func (s *HeadScanner) endLine() {
	switch {
	case s.length > 0 || s.lines == 0:
		s.lines, s.length, s.matched = s.lines+1, 0, 0
	case s.class == '1':
		*s = HeadScanner{folded: s.folded}
	default:
		s.ended = true
	}
}

// add continues with a byte that is no line end.
func (s *HeadScanner) add(c byte) {
	if s.lines == 0 && s.class == 0 {
		switch {
		case c == ' ':
			s.spaced = true
		case s.spaced:
			s.class = c
		}
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

// Check returns an ErrMalformedHead if resp, whose head has been written, has a malformed one; it includes CheckHead.
func (s *HeadScanner) Check(resp *http.Response) error {
	switch {
	case s.folded:
		return fmt.Errorf("%w: a line begins with a blank", ErrMalformedHead)
	case s.encoded && !resp.ProtoAtLeast(1, 1) && resp.StatusCode >= http.StatusOK: // An interim response has no body.
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
