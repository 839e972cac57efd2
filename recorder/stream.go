package recorder

import (
	"context"
	"time"

	"clementineramp/encoder"
	"clementineramp/judge"
)

// readBatch bounds the events that a reader holds outside the byte bound while its caller takes them.
const readBatch = 32

type state int

const (
	running state = iota
	// complete is the state after the closing event.
	complete
	// failed is the state after an end without the closing event.
	failed
	// unavailable is the state of a stream that the recorder does not hold.
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
	// unreadSince is when the last reader left.
	unreadSince time.Time
	// wake is closed at the next change; it is nil when no reader waits.
	wake chan struct{}
}

// Status describes a stream at one moment.
type Status struct {
	// Offset is the offset of the last event; it counts the events of earlier agents.
	Offset int
	// Bytes is the room that the stream takes, with overhead.
	Bytes   int
	Running bool
	Readers int
	// UnreadFor is the time since the last reader left, or since Open; it is zero while somebody reads.
	UnreadFor time.Duration
}

// ID returns the identity of the stream.
func (s *Stream) ID() encoder.StreamID { return s.id }

// Owner returns the organisation that may read the stream.
func (s *Stream) Owner() string { return s.owner }

// Status returns the present state of the stream.
func (s *Stream) Status() Status {
	s.r.mu.Lock()
	defer s.r.mu.Unlock()
	st := Status{Offset: s.lastOffset(), Bytes: s.bytes, Running: s.state == running, Readers: s.readers}
	if s.readers == 0 && !s.unreadSince.IsZero() {
		st.UnreadFor = s.r.cfg.Now().Sub(s.unreadSince)
	}
	return st
}

// Append records the next event; its identifier is replaced by that of this stream.
// The Done event ends the stream. When running streams alone reach the byte bound, the stream ends with ErrFull.
func (s *Stream) Append(ev encoder.Event) error {
	s.r.mu.Lock()
	defer s.r.unlock()
	if s.state != running {
		return s.appendError()
	}
	size := eventOverhead + len(ev.Data) + len(ev.Text)
	if s.r.runningBytes+size > s.r.cfg.MaxBytes {
		// A later event must not follow a gap, so the stream ends here and the router continues it elsewhere.
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
	return judge.Doubt(judge.ReasonInternal, "append to stream %s: %w", s.idText, ErrClosed)
}

// Close ends a stream that has no Done event; readers get err after the last event, or a truncation error if err is nil.
// It has no effect on a stream that has ended.
func (s *Stream) Close(err error) {
	s.r.mu.Lock()
	defer s.r.unlock()
	if s.state != running {
		return
	}
	if err == nil {
		err = judge.Doubt(judge.ReasonBroken, "stream %s: %w", s.idText, encoder.ErrTruncated)
	}
	s.finish(failed, err)
}

// ReadFrom calls f for each event after offset, follows a running stream, and returns nil only after the Done event.
// Other results are the error given to Close, a lost stream, an offset that is not recorded here, the cause of ctx, or what f returned.
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

// fetch copies recorded events; without one it returns a channel to wait on, or the result of a stream that has ended.
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
		return judge.Doubt(judge.ReasonStreamLost,
			"stream %s holds the events after offset %d, not those after %d", s.idText, s.baseOffset, offset)
	case offset > s.lastOffset():
		return judge.Doubt(judge.ReasonInvalid,
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

func (s *Stream) lastOffset() int { return s.baseOffset + len(s.events) }

// addBytes counts bytes of a running stream.
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
	// The overhead of running streams may exceed the bound; the excess goes as they end.
	s.r.makeRoom(0)
}

func (s *Stream) wakeReaders() {
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}
