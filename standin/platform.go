package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"clementineramp/subscriber"
)

// platformWatchTimeout is the default of Platform.WatchTimeout.
const platformWatchTimeout = 20 * time.Second

// Platform is a stand-in for the platform's configuration service and host list.
type Platform struct {
	// WatchTimeout is how long a watch waits for a change before the unchanged value is returned; set it before the
	// first request.
	WatchTimeout time.Duration

	mu       sync.Mutex
	revision uint64
	data     platformData
	// frozen is the copy of the data that a stale platform serves; nil when it is not stale.
	frozen *platformData
	down   bool
	// changed is closed and replaced at each change, which wakes the waiting watches.
	changed        chan struct{}
	reads          int
	waiting        int
	limiter        *rate.Limiter
	readsPerSecond float64
	windowStart    time.Time
	windowReads    int
	peakReads      int
}

type platformValue struct {
	revision uint64
	data     []byte
}

type platformData struct {
	values map[string]platformValue
	hosts  platformValue
}

func (d platformData) clone() *platformData {
	c := platformData{values: make(map[string]platformValue, len(d.values)), hosts: d.hosts}
	for k, v := range d.values {
		c.values[k] = v
	}
	return &c
}

// NewPlatform returns a platform without values and with an empty list of hosts.
func NewPlatform() *Platform {
	p := &Platform{
		WatchTimeout: platformWatchTimeout,
		data:         platformData{values: map[string]platformValue{}},
		changed:      make(chan struct{}),
	}
	p.SetHosts(nil)
	return p
}

// RaiseRevision makes the next change get a revision above the given one, so that a platform that restarts with newer
// content does not reuse revisions that its readers have already seen.
func (p *Platform) RaiseRevision(revision uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = max(p.revision, revision)
}

// SetValue publishes a copy of data as the key's value, under a new revision.
func (p *Platform) SetValue(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.data.values[key] = platformValue{revision: p.revision, data: append([]byte(nil), data...)}
	p.wakeWatches()
}

// SetHosts publishes a list of hosts under a new revision.
func (p *Platform) SetHosts(hosts []subscriber.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	if hosts == nil {
		hosts = []subscriber.Host{}
	}
	// Marshal cannot fail: a host has only string fields.
	data, _ := json.Marshal(subscriber.HostList{Revision: p.revision, Hosts: hosts})
	p.data.hosts = platformValue{revision: p.revision, data: data}
	p.wakeWatches()
}

// SetDown makes the platform respond to every request and every waiting watch with status 503.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeWatches()
}

// SetStale makes the platform serve a copy of its current data until SetStale(false) is called.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if stale {
		p.frozen = p.data.clone()
	}
	p.wakeWatches()
}

// SetReadRate makes the platform respond to reads above a rate with status 429; 0 means no limit.
// Each waiting watch lowers the allowed rate by one read per second.
func (p *Platform) SetReadRate(perSecond int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readsPerSecond = float64(perSecond)
	p.limiter = nil
	if perSecond > 0 {
		p.limiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
	}
}

// Reads returns the number of reads and watches received, including refused ones.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// PeakReads returns the peak of the reads received within one second plus the watches waiting at that time.
func (p *Platform) PeakReads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peakReads
}

// Waiting returns the number of watches that are currently waiting.
func (p *Platform) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", func(w http.ResponseWriter, r *http.Request) {
		key := r.PathValue("key")
		p.serve(w, r, func(d platformData) (platformValue, bool) {
			v, ok := d.values[key]
			return v, ok
		})
	})
	mux.HandleFunc("GET /v1/hosts", func(w http.ResponseWriter, r *http.Request) {
		p.serve(w, r, func(d platformData) (platformValue, bool) {
			return d.hosts, true
		})
	})
	return mux
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, find func(platformData) (platformValue, bool)) {
	if !p.admit() {
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return
	}
	var after uint64
	watch := r.URL.Query().Has("watch")
	if watch {
		n, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
		if err != nil {
			http.Error(w, "query watch is not a revision", http.StatusBadRequest)
			return
		}
		after = n
	}
	limit := time.NewTimer(p.WatchTimeout)
	defer limit.Stop()
	for {
		v, found, down, changed := p.lookUp(find)
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if !watch || found && v.revision > after {
			writeValue(w, v, found)
			return
		}
		if !p.waitForChange(r, changed, limit.C) {
			p.writeUnchanged(w, r, v, found)
			return
		}
	}
}

// writeUnchanged ends a watch without a change; the list of hosts is not sent again, because it is large.
func (p *Platform) writeUnchanged(w http.ResponseWriter, r *http.Request, v platformValue, found bool) {
	if found && r.URL.Path == "/v1/hosts" {
		w.Header().Set(subscriber.RevisionHeader, strconv.FormatUint(v.revision, 10))
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeValue(w, v, found)
}

func writeValue(w http.ResponseWriter, v platformValue, found bool) {
	if !found {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set(subscriber.RevisionHeader, strconv.FormatUint(v.revision, 10))
	_, _ = w.Write(v.data)
}

// admit counts a read and reports whether the read rate allows it.
func (p *Platform) admit() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.reads++
	if now.Sub(p.windowStart) >= time.Second {
		p.windowStart, p.windowReads = now, 0
	}
	p.windowReads++
	p.peakReads = max(p.peakReads, p.windowReads+p.waiting)
	if p.limiter == nil {
		return true
	}
	p.limiter.SetLimit(rate.Limit(max(0, p.readsPerSecond-float64(p.waiting))))
	return p.limiter.Allow()
}

func (p *Platform) lookUp(find func(platformData) (platformValue, bool)) (platformValue, bool, bool, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.data
	if p.frozen != nil {
		d = *p.frozen
	}
	v, found := find(d)
	return v, found, p.down, p.changed
}

// waitForChange returns false when the watch has timed out or its caller has disconnected.
func (p *Platform) waitForChange(r *http.Request, changed <-chan struct{}, limit <-chan time.Time) bool {
	p.addWaiting(1)
	defer p.addWaiting(-1)
	select {
	case <-changed:
		return true
	case <-limit:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (p *Platform) addWaiting(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += n
	p.peakReads = max(p.peakReads, p.windowReads+p.waiting)
}

// wakeWatches makes every waiting watch check for a change; the caller must hold the lock.
func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}
