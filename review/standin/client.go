package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	clientHost = "ficu95.example"
	clientKey  = "n2ctnfzs989anu6wsjnb"
)

// request is one attempt of a client.
type request struct {
	id       string
	path     string
	prompt   string
	body     []byte
	deadline time.Duration
}

// answer is what a client has received.
type answer struct {
	status int
	signed bool
	body   []byte
	// complete is set if the answer has ended as HTTP frames it.
	complete bool
	err      error
	first    time.Duration
	took     time.Duration
}

// client sends requests to gateways, each on a new connection, and never repeats one.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends a request and reads its answer to the end, or until the client's deadline.
func (c *client) send(g *gateway, r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.listen+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = clientHost
	req.GetBody = nil
	req.Header.Set("Attempt-Id", r.id)
	req.Header.Set("Key", clientKey)
	req.Header.Set("Deadline-Remaining-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.prompt != "" {
		req.Header.Set("Model-Name", "m")
		req.Header.Set("Token-Usage", "1460,80")
		req.Header.Set("Prompt-Prefix-Hash", r.prompt)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, signed: resp.Header.Get("Server-Signature") != ""}
	buf := make([]byte, 8<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && a.first == 0 {
			a.first = time.Since(started)
		}
		a.body = append(a.body, buf[:n]...)
		if err != nil {
			a.complete = errors.Is(err, io.EOF)
			if !a.complete {
				a.err = err
			}
			break
		}
	}
	a.took = time.Since(started)
	return a
}
