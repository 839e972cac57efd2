package caller

import (
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"clementineramp/encoder"
	"clementineramp/ticketer"
)

func (e *Edge) serveTicket(c echo.Context) error {
	id, err := e.authenticate(c.Request())
	if err != nil {
		return err
	}
	t, err := e.cfg.Ticket(c.Request().Context(), id.organisation, c.Param("service"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, t)
}

// serveOrder serves a call to a plain service. Only the agent that owns a key keeps a record of whether an earlier
// attempt with it ran, so every refusal of a keyed call that does not come from this agent gets the verdict "may have run".
func (e *Edge) serveOrder(c echo.Context) error {
	resp, err := e.order(c)
	if err != nil && c.Request().Header.Get(KeyHeader) != "" {
		var ownerErr *OwnerError
		if !errors.As(err, &ownerErr) {
			return ticketer.WithoutHistory(err)
		}
	}
	if err != nil {
		return err
	}
	h := c.Response().Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	// The number of bytes read may differ from the length that the service announced.
	h.Del("Content-Length")
	c.Response().WriteHeader(resp.Status)
	_, _ = c.Response().Write(resp.Body)
	return nil
}

// OwnerError is the refusal of an order by the agent that owns its key. This agent keeps the history of the key, so its
// verdict is returned to the caller unchanged.
type OwnerError struct {
	Err error
}

// Error describes the refusal in one line.
func (e *OwnerError) Error() string { return e.Err.Error() }

// Unwrap returns the agent's refusal.
func (e *OwnerError) Unwrap() error { return e.Err }

// order authenticates a call, reads its body and forwards it.
func (e *Edge) order(c echo.Context) (Response, error) {
	started := time.Now()
	r := c.Request()
	id, err := e.authenticate(r)
	if err != nil {
		return Response{}, err
	}
	key, err := nameHeader(r, KeyHeader)
	if err != nil {
		return Response{}, err
	}
	body, err := e.readBody(c)
	if err != nil {
		return Response{}, err
	}
	return e.cfg.Order(r.Context(), Order{
		Organisation: id.organisation, Rank: id.rank, Service: c.Param("service"),
		Method: r.Method, Path: servicePath(r.URL), Header: forwardedHeader(r.Header), Key: key, Body: body,
		Deadline: id.deadline, Started: started,
	})
}

// callSegments is the number of path segments before the path at the service: "", v1, services, name and call.
const callSegments = 5

// servicePath returns the path at the service with its query, with the caller's percent-encoding.
func servicePath(u *url.URL) string {
	path := "/"
	if parts := strings.SplitN(u.EscapedPath(), "/", callSegments+1); len(parts) > callSegments {
		path += parts[callSegments]
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

// forwardedHeader returns the header that is sent to a plain service; it does not contain the organisation's key.
func forwardedHeader(h http.Header) http.Header {
	out := encoder.EndToEnd(h)
	for _, name := range []string{"Authorization", "Content-Length", "Cookie"} {
		out.Del(name)
	}
	return out
}
