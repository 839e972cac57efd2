package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// caseReset sends requests with long bodies to workers that begin their answers early, without length or chunks, and kills
// workers in the middle of such answers. No client may get a part of an answer as a complete success.
func caseReset(f *fleet, rec *record, trouble bool) (bool, error) {
	const (
		service     = "storefront"
		workers     = 5
		slots       = 6
		concurrency = 15
		pieces      = 20
		pause       = 50 * time.Millisecond
		bodyBytes   = 4_000_000
		duration    = 26 * time.Second
		firstKill   = 6 * time.Second
		killEvery   = 6 * time.Second
		kills       = 3
	)
	f.store.put("op/config", configuration(
		[]any{
			route("r-1", "/plain/", "non_idempotent", 5000, 1000, service, nil),
			route("r-2", "/stream/", "streaming", 5000, 1000, service, nil),
		},
		[]any{map[string]any{"Name": service, "HealthCheckPath": "/health", "ConnectionLimit": 100, "Protocol": "h1", "TlsEnabled": false}},
	))
	var mu sync.Mutex
	ended := make(map[string]bool)
	var list []*worker
	for i := range workers {
		w := &worker{
			service: service, slots: slots, index: i, downtime: 3 * time.Second,
			args: []string{"-unframed", "-pieces", "20", "-pause", pause.String(), "-think", "20ms"},
			onLine: func(id, line string) {
				rec.log("worker %s: %s", id, line)
				var request string
				if nextWord(line, "end", &request) {
					mu.Lock()
					ended[request] = true
					mu.Unlock()
				}
			},
		}
		if err := f.startWorker(w); err != nil {
			return false, err
		}
		list = append(list, w)
	}
	if err := f.start(4); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	body := bytes.Repeat([]byte("0123456789abcdef"), bodyBytes/16)
	c := newClient()
	var wg sync.WaitGroup
	total, served, failed, wrong := 0, 0, 0, 0
	end := time.Now().Add(duration)
	for n := range concurrency {
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 70 * time.Millisecond)
			for i := n; time.Now().Before(end); i++ {
				stream := i%2 == 1
				r := request{id: newID(), path: "/plain/2f", body: body, deadline: 5 * time.Second}
				if stream {
					r.path = "/stream/2f"
				}
				g := f.gateways[i%len(f.gateways)]
				rec.log("client sends %s to %s: POST %s, %d bytes", r.id, g.name, r.path, len(body))
				a := c.send(g, r)
				whole := string(a.body) == wholeBody(r.id, pieces, stream)
				time.Sleep(20*time.Millisecond + rand.N(200*time.Millisecond)) // The worker's line about the end may be on its way.
				mu.Lock()
				total++
				isWrong := a.status == 200 && a.complete && !whole
				switch {
				case isWrong:
					wrong++
				case a.status == 200 && a.complete:
					served++
				default:
					failed++
				}
				workerEnded := ended[r.id]
				mu.Unlock()
				rec.log("client has for %s: status %d, signed %v, complete %v, %d bytes, whole %v, error %v; worker ended %v",
					r.id, a.status, a.signed, a.complete, len(a.body), whole, a.err, workerEnded)
				if isWrong {
					rec.say("MIXED: %s got status 200, signed %v, as a complete answer of %d bytes; the whole one has %d, and its worker ended it: %v",
						r.id, a.signed, len(a.body), len(wholeBody(r.id, pieces, stream)), workerEnded)
				}
			}
		})
	}
	if trouble {
		time.Sleep(firstKill)
		for i := range kills {
			w := list[i%len(list)]
			control := readEnd(w.address, bodyBytes)
			time.Sleep(300 * time.Millisecond)
			rec.say("SIGKILL to worker %s", w.kill())
			rec.say("a connection to it of the case's own, whose client has sent a part of its body and only reads, ended with: %v", <-control)
			time.Sleep(killEvery)
		}
	}
	wg.Wait()
	rec.say("%d requests: %d whole successes, %d successes with a part of the answer, %d others", total, served, wrong, failed)
	if served == 0 {
		return false, errNothingServed
	}
	return wrong > 0, nil
}

// readEnd sends the head of a request and a part of its body straight to a worker, reads the answer, and returns the error
// with which the connection ends.
func readEnd(address string, bodyBytes int) <-chan error {
	end := make(chan error, 1)
	go func() {
		c, err := net.Dial("tcp", address)
		if err != nil {
			end <- err
			return
		}
		defer c.Close()
		if _, err := fmt.Fprintf(c, "POST /plain/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
			clientHost, newID(), bodyBytes, strings.Repeat("0", 32<<10)); err != nil {
			end <- err
			return
		}
		_, err = io.Copy(io.Discard, c)
		if err == nil {
			err = io.EOF
		}
		end <- err
	}()
	return end
}
