package recorder

import (
	"context"
	"errors"
	"sync"
	"time"

	"clementineramp/encoder"
	"clementineramp/judge"
)

// Defaults of Config.
const (
	DefaultMaxBytes       = 64 << 20
	DefaultMaxStreamBytes = 8 << 20
	DefaultLinger         = 2 * time.Minute
)

const (
	// eventBytes is the estimated memory of an event besides its text.
	eventBytes = 64
	// streamBytes is the estimated memory of a stream besides its events.
	streamBytes = 512
	// maxBatch bounds the events that a reader copies at once.
	maxBatch = 64
)

// ErrClosed is returned by Append after the end of the stream.
var ErrClosed = errors.New("append to a stream that has ended")

// Config configures a Recorder; zero values stand for the defaults.
type Config struct {
	// MaxBytes bounds all streams together.
	MaxBytes int
	// MaxStreamBytes bounds one stream; the oldest events beyond it are dropped.
	MaxStreamBytes int
	// Linger is the time for which an ended stream is kept.
	Linger time.Duration
}

// Recorder holds the answer buffers of an agent; it is safe for concurrent use.
type Recorder struct {
	cfg Config

	mu      sync.Mutex
	streams map[encoder.StreamID]*Stream
	// ended holds the ended streams in the order of their end.
	ended []*Stream
	bytes int
}

// New returns an empty recorder.
func New(cfg Config) *Recorder {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = DefaultMaxBytes
	}
	if cfg.MaxStreamBytes == 0 {
		cfg.MaxStreamBytes = DefaultMaxStreamBytes
	}
	if cfg.Linger == 0 {
		cfg.Linger = DefaultLinger
	}
	return &Recorder{cfg: cfg, streams: make(map[encoder.StreamID]*Stream)}
}

// Open starts a stream whose first event has the offset base+1; an older stream of the same identity is evicted.
func (r *Recorder) Open(id encoder.StreamID, base int) *Stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.streams[id]; old != nil {
		r.evict(old)
	}
	s := &Stream{recorder: r, id: id, name: id.String(), dropped: base, next: base + 1, bytes: streamBytes}
	r.streams[id] = s
	r.bytes += s.bytes
	r.enforce()
	return s
}

// Find returns the stream of an identity, or the reason stream_lost.
func (r *Recorder) Find(id encoder.StreamID) (*Stream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.streams[id]; s != nil {
		return s, nil
	}
	return nil, lost(id.String())
}

// Expire evicts the streams that ended long enough ago; the time of an end counts from the first call after it.
func (r *Recorder) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := 0; i < len(r.ended); {
		s := r.ended[i]
		if s.expires.IsZero() {
			s.expires = now.Add(r.cfg.Linger)
		}
		if now.Before(s.expires) {
			i++
			continue
		}
		// Removes the stream from ended, so that the next one moves to i.
		r.evict(s)
	}
}

// Bytes returns the estimated memory of all streams in bytes.
func (r *Recorder) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Len returns the number of streams.
func (r *Recorder) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.streams)
}

// evict forgets a stream; its readers get the reason stream_lost.
func (r *Recorder) evict(s *Stream) {
	if s.evicted {
		return
	}
	s.evicted = true
	s.events = nil
	s.dropped = s.next - 1
	r.bytes -= s.bytes
	s.bytes = 0
	if r.streams[s.id] == s {
		delete(r.streams, s.id)
	}
	for i, e := range r.ended {
		if e == s {
			r.ended = append(r.ended[:i], r.ended[i+1:]...)
			break
		}
	}
	s.wake()
}

// enforce keeps the bound on all streams: ended streams go first, then the older half of the largest running one.
func (r *Recorder) enforce() {
	for r.bytes > r.cfg.MaxBytes && len(r.ended) > 0 {
		r.evict(r.ended[0])
	}
	for r.bytes > r.cfg.MaxBytes {
		var largest *Stream
		for _, s := range r.streams {
			if len(s.events) > 0 && (largest == nil || s.bytes > largest.bytes) {
				largest = s
			}
		}
		if largest == nil {
			return
		}
		largest.trim(largest.bytes / 2)
	}
}

// Stream is the buffer of one answer.
type Stream struct {
	recorder *Recorder
	id       encoder.StreamID
	name     string

	// The fields below are guarded by the recorder's mutex.
	events []encoder.Event
	// dropped is the offset of the last event that is not held any more.
	dropped int
	next    int
	bytes   int
	// changed is closed at the next change; it is nil while no reader waits.
	changed chan struct{}
	done    bool
	closed  bool
	evicted bool
	err     error
	expires time.Time
}

// ID returns the identity of the stream.
func (s *Stream) ID() encoder.StreamID {
	return s.id
}

// Append records the next event and sets its identifier; it never waits for readers.
func (s *Stream) Append(ev encoder.Event) error {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	if s.closed || s.done {
		return ErrClosed
	}
	ev.ID = encoder.EventID(s.name, s.next)
	s.next++
	s.done = ev.Done
	if s.evicted {
		s.dropped = s.next - 1
		return nil
	}
	s.events = append(s.events, ev)
	s.grow(size(ev))
	if s.bytes > s.recorder.cfg.MaxStreamBytes {
		// Dropping a quarter at a time keeps the cost per event constant.
		s.trim(s.recorder.cfg.MaxStreamBytes * 3 / 4)
	}
	s.recorder.enforce()
	s.wake()
	return nil
}

// Close ends the stream; a nil error without a closing event counts as a truncated answer.
func (s *Stream) Close(err error) {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.err = err
	if err == nil && !s.done {
		s.err = encoder.ErrTruncated
	}
	if !s.evicted {
		s.recorder.ended = append(s.recorder.ended, s)
	}
	s.wake()
}

// Offset returns the offset of the latest event.
func (s *Stream) Offset() int {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	return s.next - 1
}

// ReadFrom calls f for each event after an offset, follows a running stream, and returns nil only after the closing event.
// It returns the error of Close, of f or of ctx, or the reason stream_lost when an event that it needs was dropped.
func (s *Stream) ReadFrom(ctx context.Context, offset int, f func(encoder.Event) error) error {
	if last := s.Offset(); offset > last {
		return judge.Doubt(judge.ReasonInvalid, "stream %s has %d events, and offset %d is after them", s.name, last, offset)
	}
	buf := make([]encoder.Event, 0, maxBatch)
	for {
		batch, changed, err := s.after(offset, buf)
		if err != nil {
			return err
		}
		for _, ev := range batch {
			if err := ctx.Err(); err != nil {
				return err
			}
			if err := f(ev); err != nil {
				return err
			}
		}
		offset += len(batch)
		switch {
		case len(batch) > 0:
		case changed == nil:
			return nil
		default:
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// after copies the events after an offset to buf.
// Without such events it returns the channel of the next change, the error of the end, or neither after a whole answer.
func (s *Stream) after(offset int, buf []encoder.Event) (batch []encoder.Event, changed <-chan struct{}, err error) {
	s.recorder.mu.Lock()
	defer s.recorder.mu.Unlock()
	if s.evicted || offset < s.dropped {
		return nil, nil, lost(s.name)
	}
	events := s.events[offset-s.dropped:]
	if len(events) > 0 {
		return append(buf[:0], events[:min(len(events), maxBatch)]...), nil, nil
	}
	if s.closed {
		return nil, nil, s.err
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return nil, s.changed, nil
}

// trim drops the oldest events until the stream holds at most limit bytes.
func (s *Stream) trim(limit int) {
	n := 0
	freed := 0
	for n < len(s.events) && s.bytes-freed > limit {
		freed += size(s.events[n])
		n++
	}
	// A copy lets the memory of the dropped events go.
	s.events = append([]encoder.Event(nil), s.events[n:]...)
	s.dropped += n
	s.grow(-freed)
}

func (s *Stream) grow(n int) {
	s.bytes += n
	s.recorder.bytes += n
}

func (s *Stream) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

func size(ev encoder.Event) int {
	return eventBytes + len(ev.ID) + len(ev.Data) + len(ev.Text)
}

func lost(name string) error {
	return judge.Doubt(judge.ReasonStreamLost, "stream %s or the needed part of it is not held any more", name)
}
