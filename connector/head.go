package connector

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformedHead means that the head of a response was received to its end and is no HTTP.
var ErrMalformedHead = errors.New("the head of the response is malformed")

// CheckHead returns an ErrMalformedHead if a response that net/http has parsed is no HTTP response. Nothing in such a response can
// be relied on.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: status %d", ErrMalformedHead, resp.StatusCode)
	}
	return nil
}
