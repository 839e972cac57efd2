package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a stored item, or its removal.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	LeaseID  uint64 `json:"LeaseId,omitempty"`
	Deleted  bool   `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision uint64
	items    map[string]item
	history  []item
	server   *http.Server
	address  string
}

func newStore() (*store, error) {
	s := &store{items: make(map[string]item), revision: 100}
	s.changed = sync.NewCond(&s.mu)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an item and returns the time of its acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
	s.changed.Broadcast()
	return time.Now()
}

// remove removes an item.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	s.changed.Broadcast()
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageSize, pageBytes = 500, 1 << 20
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	reply := struct {
		Entries []item
		HasMore bool
		At      uint64
	}{Entries: []item{}, At: s.revision}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			reply.Entries = append(reply.Entries, it)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(reply.Entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for i, it := range reply.Entries {
		if size += len(it.Value); i > 0 && (i == pageSize || size > pageBytes) {
			reply.Entries, reply.HasMore = reply.Entries[:i], true
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	reply := struct {
		Events []item `json:"events"`
		At     uint64
	}{Events: []item{}}
	s.mu.Lock()
	for {
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("PathPrefix")) {
				reply.Events = append(reply.Events, it)
			}
		}
		if len(reply.Events) > 0 || !time.Now().Before(end) {
			break
		}
		s.changed.Wait()
	}
	reply.At = s.revision
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
