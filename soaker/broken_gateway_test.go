package soaker_test

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"clementineramp/platform/imitator"
)

// brokenAttempts is the maximum number of times that the broken gateway sends a request to an upstream.
const brokenAttempts = 3

// brokenGateway is a gateway that breaks guarantees: it forwards keys, sends some orders twice, responds to others that
// they have not run although they have, and exits at once on SIGTERM.
type brokenGateway struct {
	store  string
	client *http.Client
	orders atomic.Int64
}

func runBrokenGateway() int {
	data, err := os.ReadFile(os.Args[2])
	if err != nil {
		return 1
	}
	var settings struct {
		Listen string `json:"listen"`
		Ready  string `json:"ready_listen"`
		Store  string `json:"store"`
	}
	if err := json.Unmarshal(data, &settings); err != nil {
		return 1
	}
	g := &brokenGateway{store: settings.Store, client: &http.Client{Timeout: time.Second}}
	go func() { _ = http.ListenAndServe(settings.Listen, g) }()
	go func() {
		_ = http.ListenAndServe(settings.Ready, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	}()
	_, _ = os.Stdout.WriteString("event=started\n")
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM)
	signal.Ignore(syscall.SIGHUP)
	<-end
	return 0
}

// upstreams returns the addresses of a service's upstreams, or nil if the store cannot be read.
func (g *brokenGateway) upstreams(service string) []string {
	resp, err := g.client.Get("http://" + g.store + imitator.ListTarget)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var page struct {
		Entries []struct{ Value []byte }
	}
	if json.NewDecoder(resp.Body).Decode(&page) != nil {
		return nil
	}
	var all []string
	for _, e := range page.Entries {
		var entry struct{ Service, Address string }
		if json.Unmarshal(e.Value, &entry) == nil && entry.Service == service {
			all = append(all, entry.Address)
		}
	}
	return all
}

func (g *brokenGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service := "engines"
	if strings.HasPrefix(r.URL.Path, "/order/") || strings.HasPrefix(r.URL.Path, "/read/") {
		service = "orders"
	}
	body, _ := io.ReadAll(r.Body)
	order := int64(0)
	if strings.HasPrefix(r.URL.Path, "/order/") {
		order = g.orders.Add(1)
	}
	for n := range brokenAttempts {
		all := g.upstreams(service)
		if len(all) == 0 {
			continue
		}
		req, _ := http.NewRequest(r.Method, "http://"+all[rand.IntN(len(all))]+r.RequestURI, bytes.NewReader(body))
		req.Header = r.Header.Clone()
		resp, err := g.client.Do(req)
		if err != nil {
			continue
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode >= 500 || n == 0 && order%5 == 1 {
			continue
		}
		if order%5 == 2 {
			break
		}
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(answer)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
