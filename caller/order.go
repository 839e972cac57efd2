package caller

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"clementineramp/encoder"
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

func (e *Edge) serveOrder(c echo.Context) error {
	started := time.Now()
	r := c.Request()
	id, err := e.authenticate(r)
	if err != nil {
		return err
	}
	key, err := nameHeader(r, KeyHeader)
	if err != nil {
		return err
	}
	body, err := e.readBody(c)
	if err != nil {
		return err
	}
	path := "/" + c.Param("*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	answer, err := e.cfg.Order(r.Context(), Order{
		Organisation: id.organisation, Rank: id.rank, Service: c.Param("service"),
		Method: r.Method, Path: path, Header: passedHeader(r.Header), Key: key, Body: body,
		Deadline: id.deadline, Started: started,
	})
	if err != nil {
		return err
	}
	h := c.Response().Header()
	for name, values := range answer.Header {
		h[name] = values
	}
	// The body may have been read in another length than the service announced.
	h.Del("Content-Length")
	c.Response().WriteHeader(answer.Status)
	_, _ = c.Response().Write(answer.Body)
	return nil
}

// passedHeader returns the header that a plain service may see: the organisation's key is not part of it.
func passedHeader(h http.Header) http.Header {
	out := encoder.EndToEnd(h)
	for _, name := range []string{"Authorization", "Content-Length", "Cookie"} {
		out.Del(name)
	}
	return out
}
