package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswer is the time that the store takes for an answer, as on the sheet of the deployment.
const storeAnswer = 4 * time.Millisecond

// item is an item of the store or a change of one.
type item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	LeaseID  uint64 `json:"LeaseId"`
	Deleted  bool   `json:",omitempty"`
}

// store is the platform's store: range and watch calls only.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	// watchers holds the times of the last watch calls by the IP addresses of the callers.
	watchers map[string]time.Time
}

func newStore() *store {
	s := &store{items: make(map[string]item), changed: make(chan struct{}), revision: 100, watchers: make(map[string]time.Time)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

// change applies a change and returns the time of its acknowledgement.
func (s *store) change(it item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	it.Created = it.Revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Deleted {
		it = item{Key: it.Key, Revision: it.Revision, Deleted: true}
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) put(key string, v any) time.Time {
	data, err := json.Marshal(v)
	if err != nil {
		fail("store: %v", err)
	}
	return s.change(item{Key: key, Value: data})
}

func (s *store) remove(key string) time.Time { return s.change(item{Key: key, Deleted: true}) }

// awaitQuiet waits until the last watch call began 0.4 s ago, but for no longer than 10 s.
func (s *store) awaitQuiet() {
	for range 2000 {
		s.mu.Lock()
		var last time.Time
		for _, at := range s.watchers {
			if at.After(last) {
				last = at
			}
		}
		s.mu.Unlock()
		if since := time.Since(last); since >= 400*time.Millisecond && since < 450*time.Millisecond {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// readers returns the IP addresses from which the store was watched in the last two seconds.
func (s *store) readers() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ips := make(map[string]bool)
	for ip, at := range s.watchers {
		if time.Since(at) < 2*time.Second {
			ips[ip] = true
		}
	}
	return ips
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-range":
		s.list(w, q.Get("PathPrefix"), q.Get("After"))
	case "/api/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	keys = keys[:min(len(keys), 500)]
	entries := make([]item, 0, len(keys))
	for _, k := range keys {
		entries = append(entries, s.items[k])
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, map[string]any{"Entries": entries, "HasMore": more, "At": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	if ip, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		s.mu.Lock()
		s.watchers[ip] = time.Now()
		s.mu.Unlock()
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("PathPrefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	time.Sleep(storeAnswer)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
