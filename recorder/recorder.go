package recorder

import (
	"container/list"
	"errors"
	"sync"
	"time"

	"clementineramp/encoder"
	"clementineramp/judge"
)

const (
	// defaultMaxBytes holds defaultKeep of answers at 1,700 events of 350 bytes per second (36 MB) with a reserve.
	defaultMaxBytes = 64 << 20
	// defaultRetention covers a caller that reconnects after a network change.
	defaultRetention = time.Minute
	// eventOverhead is the size of an Event, doubled because a growing slice has up to twice the capacity it needs.
	eventOverhead = 2 * 56
	// streamOverhead makes the byte bound also bound the number of empty streams.
	streamOverhead = 512
)

var (
	// ErrFull is the cause when running streams alone reach the byte bound.
	ErrFull = errors.New("answer buffers are full with running streams")
	// ErrClosed is returned when an event is appended after the end of a stream.
	ErrClosed = errors.New("stream has ended")
	// ErrInUse is the cause when a stream is opened under the identity of another one.
	ErrInUse = errors.New("stream identity is in use")
)

// EvictionCause says which bound removed a stream.
type EvictionCause string

// The causes of an eviction.
const (
	// EvictedByAge is the cause when the keep time after the end of the stream is over.
	EvictedByAge EvictionCause = "age"
	// EvictedByBytes is the cause when a running stream needs the room.
	EvictedByBytes EvictionCause = "bytes"
)

// Eviction describes a stream that was removed.
type Eviction struct {
	Stream encoder.StreamID
	Cause  EvictionCause
	// Bytes is the room that the stream took, with overhead.
	Bytes int
	// Readers is the number of readers that lose the stream.
	Readers int
	// Age is the time since the end of the stream.
	Age time.Duration
}

// Pairs returns the fields of the eviction as alternating keys and values for a structured logger.
func (e Eviction) Pairs() []any {
	return []any{
		"stream", e.Stream.String(), "cause", string(e.Cause),
		"bytes", e.Bytes, "readers", e.Readers, "age", e.Age,
	}
}

// Config holds the parameters of a Recorder.
type Config struct {
	// MaxBytes bounds the recorded events of all streams with their overhead; zero means 64 MB.
	// Running streams without room for an event may exceed it by 512 bytes each.
	MaxBytes int
	// Retention is the time for which a stream is kept after its end; zero means 1 min.
	Retention time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// OnEvict is called for each eviction, without a lock held; nil means that nobody is told.
	OnEvict func(Eviction)
}

// Usage is the room that the streams of a Recorder take.
type Usage struct {
	Streams, Running int
	// Bytes counts all streams and RunningBytes the running ones, with overhead.
	Bytes, RunningBytes int
	MaxBytes            int
}

// Recorder keeps the events of streams; it is safe for concurrent use.
type Recorder struct {
	cfg Config

	mu      sync.Mutex
	streams map[encoder.StreamID]*Stream
	// ended holds the ended streams, the oldest end first.
	ended        list.List
	bytes        int
	runningBytes int
	// evictions wait to be reported after the lock is released.
	evictions []Eviction
}

// New returns an empty Recorder.
func New(cfg Config) *Recorder {
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	if cfg.Retention <= 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Recorder{cfg: cfg, streams: map[encoder.StreamID]*Stream{}}
}

// unlock releases the lock and then reports the evictions made under it.
func (r *Recorder) unlock() {
	evictions := r.evictions
	r.evictions = nil
	r.mu.Unlock()
	if r.cfg.OnEvict == nil {
		return
	}
	for _, e := range evictions {
		r.cfg.OnEvict(e)
	}
}

// Open starts a stream for an organisation; baseOffset is the number of events that the caller has from an earlier agent.
// If the identity is in use, the stream that is returned has ended with ErrInUse.
func (r *Recorder) Open(id encoder.StreamID, owner string, baseOffset int) *Stream {
	s := &Stream{r: r, id: id, idText: id.String(), owner: owner, baseOffset: baseOffset}
	r.mu.Lock()
	defer r.unlock()
	r.evictExpired(r.cfg.Now())
	if r.streams[id] != nil {
		s.state = unavailable
		s.err = judge.Refuse(judge.ReasonInternal, "stream %s: %w", s.idText, ErrInUse)
		return s
	}
	r.streams[id] = s
	// If running streams alone reach the bound, the overhead exceeds it, and the first Append fails.
	r.makeRoom(streamOverhead)
	s.addBytes(streamOverhead)
	s.unreadSince = r.cfg.Now()
	return s
}

// Find returns a stream that is running or whose keep time is not over.
func (r *Recorder) Find(id encoder.StreamID) (*Stream, error) {
	r.mu.Lock()
	defer r.unlock()
	r.evictExpired(r.cfg.Now())
	if s := r.streams[id]; s != nil {
		return s, nil
	}
	return nil, judge.Doubt(judge.ReasonStreamLost,
		"stream %s is not recorded here: it was evicted or is of another incarnation", id)
}

// Expire evicts the streams whose keep time is over and that nobody reads, and returns their number.
// Open and Find do the same, so that the call matters only to an idle agent.
func (r *Recorder) Expire() int {
	r.mu.Lock()
	defer r.unlock()
	return r.evictExpired(r.cfg.Now())
}

// Usage returns the room that the streams take at present.
func (r *Recorder) Usage() Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Usage{
		Streams: len(r.streams), Running: len(r.streams) - r.ended.Len(),
		Bytes: r.bytes, RunningBytes: r.runningBytes, MaxBytes: r.cfg.MaxBytes,
	}
}

func (r *Recorder) evictExpired(now time.Time) int {
	n := 0
	var next *list.Element
	for el := r.ended.Front(); el != nil; el = next {
		next = el.Next()
		s := streamOf(el)
		if now.Sub(s.endedAt) < r.cfg.Retention {
			break
		}
		// A caller that still reads would lose the rest of a whole answer.
		if s.readers == 0 {
			r.evict(el, EvictedByAge, now)
			n++
		}
	}
	return n
}

// makeRoom evicts ended streams until more bytes fit; streams without a reader go first.
func (r *Recorder) makeRoom(more int) {
	if r.bytes+more <= r.cfg.MaxBytes {
		return
	}
	now := r.cfg.Now()
	for _, withReaders := range []bool{false, true} {
		var next *list.Element
		for el := r.ended.Front(); el != nil && r.bytes+more > r.cfg.MaxBytes; el = next {
			next = el.Next()
			if withReaders || streamOf(el).readers == 0 {
				r.evict(el, EvictedByBytes, now)
			}
		}
	}
}

func (r *Recorder) evict(el *list.Element, cause EvictionCause, now time.Time) {
	s := streamOf(el)
	r.ended.Remove(el)
	delete(r.streams, s.id)
	r.bytes -= s.bytes
	r.evictions = append(r.evictions, Eviction{
		Stream: s.id, Cause: cause, Bytes: s.bytes, Readers: s.readers, Age: now.Sub(s.endedAt),
	})
	s.state = unavailable
	s.events = nil
	s.err = judge.Doubt(judge.ReasonStreamLost, "stream %s was evicted: bound of %s", s.idText, cause)
}

func streamOf(el *list.Element) *Stream {
	s, _ := el.Value.(*Stream)
	return s
}
