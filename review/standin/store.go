package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or a change event of a watch.
type item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	LeaseId  uint64 //nolint:revive // the wire's spelling
	Deleted  bool   `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 400, items: make(map[string]item), changed: make(chan struct{})}
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.change(item{Key: key, Value: data})
}

func (s *store) remove(key string) {
	s.change(item{Key: key, Deleted: true})
}

func (s *store) change(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers the reading calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("Key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		respond(w, it)
	case "/api/kv-range":
		s.list(w, q.Get("PathPrefix"), q.Get("After"))
	case "/api/kv-watch":
		after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		s.watch(w, r, q.Get("PathPrefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	const page = 500
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > page
	entries := make([]item, 0, len(keys))
	for _, key := range keys[:min(len(keys), page)] {
		entries = append(entries, s.items[key])
	}
	at := s.revision
	s.mu.Unlock()
	respond(w, map[string]any{"Entries": entries, "HasMore": more, "At": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			respond(w, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // A caller that has left needs no response.
}
