package gatekeeper_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/mapper"
	"clementineramp/platform"
	"clementineramp/platform/imitator"
)

// Guards against a gateway that hangs for good when it learns of an evacuation while it chooses upstreams for requests with a
// chat: the log line of the evacuation asked the placer under the lock of the registry, and the placer asked the registry under
// its own.
func TestEvacuationsBesideChats(t *testing.T) {
	const upstreams, clients, evacuations = 12, 24, 12
	f := newFleet(t)
	f.store.Configure(&mapper.Table{
		Version: 1, Services: map[string]mapper.Service{"s": f.service}, Organisations: map[string]*mapper.Organisation{"key": {Name: "o"}},
		Routes: []mapper.Route{{
			Name: "a", Host: "h", Prefix: "/a/", Kind: mapper.Idempotent, Timeout: 20 * time.Second, Attempts: 1, Chat: true,
			Shares: []mapper.Share{{Service: "s"}},
		}},
	})
	for i := range upstreams {
		f.upstreamIn(fmt.Sprintf("domain-%d", i%3), fmt.Sprintf("u%02d", i), nil)
	}
	f.eventually("requests are not served", func() bool { return f.status("/a/") == 200 })

	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				req, err := http.NewRequest(http.MethodGet, "http://"+f.settings.Listen.String()+"/a/", nil)
				if err != nil {
					panic(err)
				}
				req.Host = "h"
				req.Header.Set(imitator.HeaderKey, "key")
				req.Header.Set(imitator.HeaderAttempt, fmt.Sprintf("attempt-%d-%d", i, n))
				req.Header.Set(imitator.HeaderPrompt, fmt.Sprintf("%08x:800,%08x:20", i, n))
				resp, err := client.Do(req)
				if err != nil {
					t.Errorf("a request has no answer: %v", err)
					return
				}
				_ = resp.Body.Close()
			}
		})
	}
	defer running.Wait()
	defer close(stop)
	for i := range evacuations {
		domain := fmt.Sprintf("domain-%d", i%3)
		began := func() bool {
			return strings.Count(f.log.String(), "event=evacuation_began failure_domain="+domain) == 1+i/3
		}
		ended := func() bool {
			return strings.Count(f.log.String(), "event=evacuation_ended failure_domain="+domain) == 1+i/3
		}
		f.store.Evacuate(domain)
		f.eventually("the evacuation does not begin", began)
		f.store.Withdraw(domain)
		f.eventually("the evacuation does not end", ended)
	}
	status, _, err := f.get(&http.Client{Timeout: waitTimeout}, f.settings.ReadyListen, platform.ReadyPath)
	require.NoError(t, err)
	require.Equal(t, 200, status)
}
