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
	// defaultMaxBytes holds the events of defaultRetention at a rate of 1,700 events of 350 bytes per second, which is
	// 36 MB, with some headroom.
	defaultMaxBytes = 64 << 20
	// defaultRetention is long enough for a caller to reconnect after a change of network.
	defaultRetention = time.Minute
	// eventOverhead is the size of an Event in bytes, doubled because a growing slice has up to twice the capacity it
	// needs.
	eventOverhead = 2 * 56
	// streamOverhead is the number of bytes counted for each stream, so that the byte limit also limits the number of
	// streams without events.
	streamOverhead = 512
)

var (
	// ErrFull is wrapped by the error of Append when the running streams, which cannot be evicted, fill the byte limit.
	ErrFull = errors.New("answer buffers are full with running streams")
	// ErrClosed is wrapped by the error of Append after the Done event of a stream.
	ErrClosed = errors.New("stream has ended")
	// ErrInUse is wrapped by the error of a stream that was opened with the ID of a recorded stream.
	ErrInUse = errors.New("stream identity is in use")
)

// EvictionCause is the limit that caused the eviction of a stream.
type EvictionCause string

// Values of EvictionCause.
const (
	// EvictedByAge means that the retention time after the end of the stream is over.
	EvictedByAge EvictionCause = "age"
	// EvictedByBytes means that the stream was removed to stay within the byte limit.
	EvictedByBytes EvictionCause = "bytes"
)

// Eviction describes a stream that was evicted.
type Eviction struct {
	Stream encoder.StreamID
	Cause  EvictionCause
	// Bytes is the size of the stream, including overhead.
	Bytes int
	// Readers is the number of readers that were still reading the stream and get an error.
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

// Config holds the settings of a Recorder.
type Config struct {
	// MaxBytes limits the size of all streams together, including overhead; zero means 64 MiB. Streams that are opened
	// when no space is left exceed the limit by 512 bytes each.
	MaxBytes int
	// Retention is the time for which a stream is kept after its end; zero means 1 min.
	Retention time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// OnEvict is called for each eviction, without a lock held; it may be nil.
	OnEvict func(Eviction)
}

// Usage describes the number and size of the streams of a Recorder.
type Usage struct {
	Streams, Running int
	// Bytes is the size of all streams and RunningBytes that of the running ones, including overhead.
	Bytes, RunningBytes int
	// MaxBytes is the limit on Bytes.
	MaxBytes int
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
	// evictions are reported once the lock is released.
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

// unlock releases the lock and then reports the evictions made while it was held.
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

// Open starts a stream for an organisation. baseOffset is the number of events that the caller has already received from
// earlier agents. If the ID is in use, the returned stream has ended with ErrInUse.
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
	// If running streams reach the byte limit by themselves, the overhead exceeds it, and the first Append fails.
	r.makeRoom(streamOverhead)
	s.addBytes(streamOverhead)
	s.unreadSince = r.cfg.Now()
	return s
}

// Find returns the stream of an ID until it is evicted. The error for an evicted or unknown stream has the reason
// ReasonStreamLost.
func (r *Recorder) Find(id encoder.StreamID) (*Stream, error) {
	r.mu.Lock()
	defer r.unlock()
	r.evictExpired(r.cfg.Now())
	if s := r.streams[id]; s != nil {
		return s, nil
	}
	return nil, judge.Uncertain(judge.ReasonStreamLost,
		"stream %s is not recorded here: it was evicted or is of another incarnation", id)
}

// Expire evicts the streams whose retention time is over and that have no reader, and returns their number. Open and Find
// do the same, so that only an idle agent needs to call it.
func (r *Recorder) Expire() int {
	r.mu.Lock()
	defer r.unlock()
	return r.evictExpired(r.cfg.Now())
}

// Usage returns the current number and size of the streams.
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
		// The answer is recorded completely, and a caller that is still reading would lose the rest of it.
		if s.readers == 0 {
			r.evict(el, EvictedByAge, now)
			n++
		}
	}
	return n
}

// makeRoom evicts ended streams, those without a reader first, until more bytes fit. It does not evict running streams,
// so that the bytes may still not fit when it returns.
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
	s.err = judge.Uncertain(judge.ReasonStreamLost, "stream %s was evicted: bound of %s", s.idText, cause)
}

func streamOf(el *list.Element) *Stream {
	s, _ := el.Value.(*Stream)
	return s
}
