// Package service is the client that an agent uses to call its plain service.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"clementineramp/judge"
)

// Config says where a service is.
type Config struct {
	Address  string
	Dial     func(ctx context.Context, network, address string) (net.Conn, error)
	Timeout  time.Duration
	MaxBytes int64
}

// Answer is the answer of a service.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls one service.
type Client struct {
	cfg  Config
	http *http.Client
}

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: time.Second}).DialContext
	}
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{DialContext: cfg.Dial, DisableKeepAlives: true}}}
}

// Call sends one request.
func (c *Client) Call(ctx context.Context, method, path string, header http.Header, body []byte) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.cfg.Address+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return Answer{}, judge.Refuse(judge.ReasonInvalid, "%w", err)
	}
	req.ContentLength = int64(len(body))
	req.Header = header
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Answer{}, judge.Refuse(judge.ReasonUnreachable, "service: %w", err)
		}
		return Answer{}, judge.Doubt(judge.ReasonBroken, "service: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, judge.Doubt(judge.ReasonBroken, "service: %w", err)
	}
	return Answer{resp.StatusCode, resp.Header, b}, nil
}
