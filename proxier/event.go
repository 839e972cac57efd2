package proxier

import (
	"bytes"
	"errors"
	"strconv"
)

// maxStrayBytes bounds the bytes of a stream since the last complete event with an ID. Typical events have a few hundred
// bytes.
const maxStrayBytes = 64 << 10

var (
	errStrayBytes = errors.New("the stream carries bytes that are no events")
	errEndedEarly = errors.New("stream ended early")
	errNotField   = errors.New("the stream contains a line that is no field of an event")
	errEventOrder = errors.New("the IDs of the events do not increase")
)

// eventBuffer splits the bytes of a stream from one upstream into events.
type eventBuffer struct {
	// isField reports whether a field name is allowed in addition to those of all server-sent events; it may be nil.
	isField func(name string) bool
	pending []byte
	// taken is the number of bytes at the start of pending that the last call of add returned.
	taken int
	// stray counts the bytes since the last complete event with an ID; comments and blank lines may come without end.
	stray int
	// progress is set once an event with an ID was complete.
	progress bool
}

// add appends bytes and returns the events that they complete, which are valid until the next call, and the last event ID
// up to their end; last is the ID before them. An error means that the stream is broken after these events.
func (s *eventBuffer) add(b []byte, last string) (events []byte, id string, err error) {
	left := copy(s.pending, s.pending[s.taken:])
	s.pending = append(s.pending[:left], b...)
	s.taken, id, err = scanEvents(s.pending, last, s.isField)
	s.stray += len(b)
	if id != last {
		s.stray, s.progress = len(s.pending)-s.taken, true
	}
	if err == nil && s.stray > maxStrayBytes {
		err = errStrayBytes
	}
	return s.pending[:s.taken], id, err
}

// size returns the number of bytes that the buffer takes while it waits for the rest of an event.
func (s *eventBuffer) size() int {
	if s.taken == len(s.pending) {
		return 0
	}
	return cap(s.pending)
}

// complete reports whether the stream is complete when its connection was closed by the upstream. An upstream that has
// crashed closes its connection too, so that the end of a stream without length counts only after an event.
func (s *eventBuffer) complete(framed bool) bool {
	return (framed || s.progress) && len(bytes.TrimSpace(s.pending[s.taken:])) == 0
}

// scanEvents returns the length of the complete events at the start of b and the last event ID up to their end; last is
// the ID before them. It fails at an event that does not belong to the stream: its ID does not follow, or one of its lines
// is no field, such as those of another response that was written into the stream.
func scanEvents(b []byte, last string, isField func(name string) bool) (end int, id string, err error) {
	id = last
	for next, at := last, 0; ; {
		n := bytes.IndexAny(b[at:], "\r\n")
		if n < 0 {
			return end, id, nil
		}
		line := b[at : at+n]
		at += n + 1
		if b[at-1] == '\r' {
			switch {
			case at < len(b) && b[at] == '\n':
				at++
			case at == len(b) && n > 0:
				return end, id, nil // The line feed of this line may follow.
			}
		}
		if n == 0 {
			end, id = at, next
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !isFieldName(string(name)) && (isField == nil || !isField(string(name))) {
			return end, id, errNotField
		}
		if string(name) == "id" {
			v := string(bytes.TrimSpace(value))
			if !follows(v, next) {
				return end, id, errEventOrder
			}
			next = v
		}
	}
}

// isFieldName reports whether a name is that of a field of all server-sent events; it is empty for comments.
func isFieldName(name string) bool {
	switch name {
	case "", "data", "event", "id", "retry":
		return true
	}
	return false
}

// follows reports whether an event ID may come after the ID last. IDs increase if they are numbers; others are not checked.
func follows(id, last string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	n, err := strconv.ParseUint(id, 10, 64)
	return err == nil && n > before
}
