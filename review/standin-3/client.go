package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// sent is an attempt of a client.
type sent struct {
	id      string
	gateway *gateway
	at      time.Time
	status  int
	whole   bool
	err     string
	took    time.Duration
	key     string
}

// clients send requests to the gateways that are ready.
type clients struct {
	gateways []*gateway
	keys     []string
	host     string

	mu   sync.Mutex
	sent map[string]*sent
}

// run sends streams to a gateway one after the other, on a kept connection, until ctx ends.
func (c *clients) run(ctx context.Context, g *gateway, pause time.Duration) {
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}}
	for ctx.Err() == nil {
		time.Sleep(pause/2 + rand.N(pause))
		if !g.inRotation() {
			continue
		}
		c.stream(hc, g, c.keys[rand.IntN(len(c.keys))])
	}
}

func (c *clients) stream(hc *http.Client, g *gateway, key string) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	chat := rand.IntN(240)
	body := bytes.Repeat([]byte("r"), 600)
	req, err := http.NewRequest(http.MethodPost, "http://"+g.listen+"/tags/a/x", bytes.NewReader(body))
	if err != nil {
		fail("%v", err)
	}
	req.Host = c.host
	for k, v := range map[string]string{
		"Attempt-Id": id, "Deadline-Remaining-Ms": "10000", "Key": key, "Model-Name": "m", "Token-Usage": "2401,24",
		"Prompt-Prefix-Hash": fmt.Sprintf("5c1e07a2:800,%08x:1241,%08x:360", 0x1000+chat, rand.Uint32()),
	} {
		req.Header.Set(k, v)
	}
	s := &sent{id: id, gateway: g, at: time.Now(), key: key}
	c.mu.Lock()
	c.sent[id] = s
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := hc.Do(req.WithContext(ctx))
	status, whole, text := 0, false, ""
	if err == nil {
		status = resp.StatusCode
		var data []byte
		data, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		whole = err == nil && bytes.Contains(data, []byte("10 of 10"))
	}
	if err != nil {
		text = err.Error()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.status, s.whole, s.err, s.took = status, whole, text, time.Since(s.at)
}

// served returns how many requests were sent to gateways in touch, and how many of these were answered whole.
func (c *clients) served() (calm, whole int) {
	for _, s := range c.sent {
		if !s.gateway.inTouch(s.at, s.at.Add(s.took)) {
			continue
		}
		calm++
		if s.whole {
			whole++
		}
	}
	return calm, whole
}
