package recorder

import (
	"context"
	"time"

	"clementineramp/encoder"
	"clementineramp/judge"
)

// readBatch is the number of events that a reader copies at once. The copies do not count towards the byte limit.
const readBatch = 32

type state int

const (
	running state = iota
	// complete is the state after the Done event.
	complete
	// failed is the state after an end without the Done event.
	failed
	// unavailable is the state of a stream that was evicted, or not recorded because its ID was in use.
	unavailable
)

// Stream is the recorded answer to one request; it is safe for concurrent use.
type Stream struct {
	r          *Recorder
	id         encoder.StreamID
	idText     string
	owner      string
	baseOffset int

	// The fields below are guarded by the mutex of the recorder.
	state   state
	events  []encoder.Event
	bytes   int
	err     error
	endedAt time.Time
	readers int
	// unreadSince is the time at which the last reader stopped, or at which the stream was opened.
	unreadSince time.Time
	// wake is closed when the stream changes next; it is nil if no reader is waiting.
	wake chan struct{}
}

// Status describes the state of a stream at the time of the call.
type Status struct {
	// Offset is the offset of the last event, counted from 1; it includes the events of earlier agents.
	Offset int
	// Bytes is the size of the stream, including overhead.
	Bytes   int
	Running bool
	Readers int
	// UnreadFor is the time since the last reader stopped, or since Open; zero while there is a reader.
	UnreadFor time.Duration
}

// ID returns the ID under which Recorder.Find returns the stream.
func (s *Stream) ID() encoder.StreamID { return s.id }

// Owner returns the organisation that may read the stream.
func (s *Stream) Owner() string { return s.owner }

// Status returns the current state of the stream.
func (s *Stream) Status() Status {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	st := Status{Offset: s.lastOffset(), Bytes: s.bytes, Running: s.state == running, Readers: s.readers}
	if s.readers == 0 && !s.unreadSince.IsZero() {
		st.UnreadFor = s.r.cfg.Now().Sub(s.unreadSince)
	}
	return st
}

// Append records the next event and replaces its ID by one of this stream. The Done event ends the stream. If running
// streams reach the byte limit by themselves, the stream ends with ErrFull. After the end of the
// stream, Append fails with the error the stream ended with, or with ErrClosed if it ended with the Done event.
func (s *Stream) Append(ev encoder.Event) error {
	s.r.mu.Lock()
	defer s.r.unlock()
	if s.state != running {
		return s.appendError()
	}
	size := eventOverhead + len(ev.Data) + len(ev.Text)
	if s.r.runningBytes+size > s.r.cfg.MaxBytes {
		// A later event would leave a gap, so the stream ends here, and the router continues the answer elsewhere.
		err := &judge.Error{Verdict: judge.Ran, Reason: judge.ReasonInternal, Err: ErrFull}
		s.finish(failed, err)
		return err
	}
	s.r.makeRoom(size)
	ev.ID = ""
	s.events = append(s.events, ev)
	s.addBytes(size)
	if ev.Done {
		s.finish(complete, nil)
		return nil
	}
	s.wakeReaders()
	return nil
}

func (s *Stream) appendError() error {
	if s.state != complete && s.err != nil {
		return s.err
	}
	return judge.Uncertain(judge.ReasonInternal, "append to stream %s: %w", s.idText, ErrClosed)
}

// Close ends a stream without a Done event. Readers get err after the last event, or encoder.ErrTruncated if err is nil.
// Close has no effect on a stream that has ended.
func (s *Stream) Close(err error) {
	s.r.mu.Lock()
	defer s.r.unlock()
	if s.state != running {
		return
	}
	if err == nil {
		err = judge.Uncertain(judge.ReasonBroken, "stream %s: %w", s.idText, encoder.ErrTruncated)
	}
	s.finish(failed, err)
}

// ReadFrom calls f for each event after offset. It follows a running stream, and returns nil only after the Done event.
// It fails with the error the stream ended with, if the stream was evicted, if the stream does not hold the events after
// offset, with the cause of ctx, or with the error of f.
func (s *Stream) ReadFrom(ctx context.Context, offset int, f func(encoder.Event) error) error {
	if err := s.addReader(offset); err != nil {
		return err
	}
	defer s.removeReader()
	var batch [readBatch]encoder.Event
	next := offset - s.baseOffset
	for {
		n, wake, err := s.fetch(batch[:], next)
		if n == 0 && wake == nil {
			return err
		}
		if n == 0 {
			select {
			case <-wake:
			case <-ctx.Done():
			}
		}
		for _, ev := range batch[:n] {
			if ctx.Err() != nil {
				break
			}
			next++
			ev.ID = encoder.EventID(s.idText, s.baseOffset+next)
			if err := f(ev); err != nil {
				return err
			}
		}
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// fetch copies recorded events, starting at the index next, to batch and returns their number. If there are none, it
// returns a channel that is closed when the stream changes, or the result of a stream that has ended.
func (s *Stream) fetch(batch []encoder.Event, next int) (int, <-chan struct{}, error) {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	if s.state == unavailable {
		return 0, nil, s.err
	}
	if next < len(s.events) {
		return copy(batch, s.events[next:]), nil, nil
	}
	if s.state != running {
		return 0, nil, s.err
	}
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	return 0, s.wake, nil
}

func (s *Stream) addReader(offset int) error {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	switch {
	case s.state == unavailable:
		return s.err
	case offset < s.baseOffset:
		return judge.Uncertain(judge.ReasonStreamLost,
			"stream %s holds the events after offset %d, not those after %d", s.idText, s.baseOffset, offset)
	case offset > s.lastOffset():
		return judge.Uncertain(judge.ReasonInvalid,
			"offset %d is beyond the last event of stream %s at offset %d", offset, s.idText, s.lastOffset())
	}
	s.readers++
	return nil
}

func (s *Stream) removeReader() {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	s.readers--
	if s.readers == 0 {
		s.unreadSince = s.r.cfg.Now()
	}
}

// lastOffset returns the offset of the last event, or baseOffset if there is none.
func (s *Stream) lastOffset() int { return s.baseOffset + len(s.events) }

// addBytes adds to the size of a running stream.
func (s *Stream) addBytes(bytes int) {
	s.bytes += bytes
	s.r.bytes += bytes
	s.r.runningBytes += bytes
}

func (s *Stream) finish(st state, err error) {
	s.state = st
	s.err = err
	s.endedAt = s.r.cfg.Now()
	s.r.runningBytes -= s.bytes
	s.r.ended.PushBack(s)
	s.wakeReaders()
	// The overhead of running streams may exceed the byte limit. Now that this stream has ended, it can be evicted to
	// reduce the excess.
	s.r.makeRoom(0)
}

func (s *Stream) wakeReaders() {
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}
