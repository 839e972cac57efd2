package encoder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"

	"clementineramp/judge"
)

func asJudgeError(err error) (*judge.Error, bool) {
	var e *judge.Error
	ok := errors.As(err, &e)
	return e, ok
}

// doneData is the data of the event that ends a whole answer.
const doneData = "[DONE]"

// errorEventType is the type of the event that ends an answer that could not be finished.
const errorEventType = "error"

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// StreamID names a stream of an answer and the agent that holds it.
type StreamID struct {
	Agent       string
	Incarnation uint64
	Serial      uint64
}

// String returns the identity in the form agent.incarnation.serial.
func (id StreamID) String() string {
	return fmt.Sprintf("%s.%x.%x", id.Agent, id.Incarnation, id.Serial)
}

// ParseStreamID decodes the identity of a stream.
func ParseStreamID(s string) (StreamID, error) {
	parts := strings.Split(s, ".")
	if len(parts) < 3 {
		return StreamID{}, fmt.Errorf("stream id %q: want agent.incarnation.serial", s)
	}
	n := len(parts)
	incarnation, err := strconv.ParseUint(parts[n-2], 16, 64)
	if err != nil {
		return StreamID{}, fmt.Errorf("stream id %q: incarnation is not hexadecimal", s)
	}
	serial, err := strconv.ParseUint(parts[n-1], 16, 64)
	if err != nil {
		return StreamID{}, fmt.Errorf("stream id %q: serial is not hexadecimal", s)
	}
	agent := strings.Join(parts[:n-2], ".")
	if agent == "" {
		return StreamID{}, fmt.Errorf("stream id %q: agent is missing", s)
	}
	return StreamID{Agent: agent, Incarnation: incarnation, Serial: serial}, nil
}

// Event is one event of a streamed answer.
type Event struct {
	// ID is the stream identity and offset in the form stream:offset; it is empty on events from an engine.
	ID string
	// Data is the chunk as the engine sent it.
	Data string
	// Text is the text that the chunk adds to the answer.
	Text string
	// Done marks the end of a whole answer.
	Done bool
}

// EventID returns the identifier of the event at an offset of a stream; offsets count from 1.
func EventID(stream string, offset int) string {
	return stream + ":" + strconv.Itoa(offset)
}

// ParseEventID decodes an event identifier into the stream's identity and the offset.
func ParseEventID(s string) (StreamID, int, error) {
	i := strings.LastIndexByte(s, ':')
	if i < 0 {
		return StreamID{}, 0, fmt.Errorf("event id %q: want stream:offset", s)
	}
	offset, err := strconv.Atoi(s[i+1:])
	if err != nil || offset < 0 {
		return StreamID{}, 0, fmt.Errorf("event id %q: offset is not a count", s)
	}
	id, err := ParseStreamID(s[:i])
	return id, offset, err
}

// ErrTruncated is returned when a stream ends without its closing event.
var ErrTruncated = errors.New("stream ended before its closing event")

// ReadEvents calls f for each event of a stream and returns nil only after the closing event.
// An error event is returned as an error of package judge; a stream that stops early returns ErrTruncated.
func ReadEvents(r io.Reader, f func(Event) error) error {
	for ev, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("read stream: %w", err)
		}
		if ev.Type == errorEventType {
			return decodeErrorEvent(ev.Data)
		}
		// Line ends around a chunk mean nothing in JSON, and the closing one would be lost when the event is written again.
		data := strings.Trim(ev.Data, "\n")
		if data == doneData {
			return f(Event{ID: ev.LastEventID, Data: doneData, Done: true})
		}
		var c Chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return fmt.Errorf("read stream: chunk is not JSON: %w", err)
		}
		if err := f(Event{ID: ev.LastEventID, Data: data, Text: c.Text()}); err != nil {
			return err
		}
	}
	return ErrTruncated
}

func decodeErrorEvent(data string) error {
	var r Refusal
	if err := json.Unmarshal([]byte(data), &r); err != nil {
		return judge.Doubt(judge.ReasonBroken, "unreadable error event: %v", err)
	}
	return &EventError{Refusal: r}
}

// EventError is the refusal in the error event of a stream.
type EventError struct {
	Refusal Refusal
}

// Error describes the refusal in one line.
func (e *EventError) Error() string {
	return e.Refusal.JudgeError().Error()
}

// Unwrap returns the refusal as an error of package judge.
func (e *EventError) Unwrap() error {
	return e.Refusal.JudgeError()
}

// WriteEvent writes one event of a stream.
func WriteEvent(w io.Writer, ev Event) error {
	m := sse.Message{}
	if ev.ID != "" {
		id, err := sse.NewID(ev.ID)
		if err != nil {
			return fmt.Errorf("write event: %w", err)
		}
		m.ID = id
	}
	m.AppendData(ev.Data)
	_, err := m.WriteTo(w)
	return err
}

// DoneEvent returns the event that closes a whole answer.
func DoneEvent(id string) Event {
	return Event{ID: id, Data: doneData, Done: true}
}

// WriteErrorEvent writes the event that ends an answer that could not be finished.
func WriteErrorEvent(w io.Writer, r Refusal) error {
	b, err := json.Marshal(r)
	if err != nil {
		return err
	}
	m := sse.Message{Type: sse.Type(errorEventType)}
	m.AppendData(string(b))
	_, err = m.WriteTo(w)
	return err
}
