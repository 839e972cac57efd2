// Package recorder keeps streamed answers with their identity and offsets.
package recorder

import (
	"context"
	"sync"

	"clementineramp/encoder"
	"clementineramp/judge"
)

// Recorder keeps the answers of one agent.
type Recorder struct {
	mu      sync.Mutex
	streams map[encoder.StreamID]*Stream
}

// New returns an empty recorder.
func New() *Recorder { return &Recorder{streams: map[encoder.StreamID]*Stream{}} }

// Stream is one recorded answer.
type Stream struct {
	owner  string
	mu     sync.Mutex
	events []encoder.Event
	base   int
	closed bool
	err    error
	grown  chan struct{}
}

// Open begins to record.
func (r *Recorder) Open(id encoder.StreamID, owner string, base int) *Stream {
	s := &Stream{owner: owner, base: base, grown: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[id] = s
	return s
}

// Find returns a stream.
func (r *Recorder) Find(id encoder.StreamID) (*Stream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.streams[id]; s != nil {
		return s, nil
	}
	return nil, judge.Doubt(judge.ReasonStreamLost, "no stream %s", id)
}

// Owner returns the organisation of the stream.
func (s *Stream) Owner() string { return s.owner }

// Append records an event.
func (s *Stream) Append(ev encoder.Event) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, ev)
	close(s.grown)
	s.grown = make(chan struct{})
	return nil
}

// Close ends the record.
func (s *Stream) Close(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed, s.err = true, err
	close(s.grown)
	s.grown = make(chan struct{})
}

// ReadFrom follows a stream.
func (s *Stream) ReadFrom(ctx context.Context, offset int, f func(encoder.Event) error) error {
	for i := offset - s.base; ; {
		s.mu.Lock()
		events, closed, err, grown := s.events, s.closed, s.err, s.grown
		s.mu.Unlock()
		for ; i < len(events); i++ {
			if err := f(events[i]); err != nil {
				return err
			}
		}
		if closed {
			return err
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
