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

// asJudgeError returns the error of package judge in the chain of err; ok is false if there is none.
func asJudgeError(err error) (*judge.Error, bool) {
	var e *judge.Error
	ok := errors.As(err, &e)
	return e, ok
}

// doneData is the data of the closing event, which ends a complete answer.
const doneData = "[DONE]"

// errorEventType is the type of the event that ends an answer that could not be completed.
const errorEventType = "error"

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// StreamID identifies the stream of an answer and the agent that holds it.
type StreamID struct {
	Agent       string
	Incarnation uint64
	Serial      uint64
}

// String returns the ID in the form agent.incarnation.serial, with both numbers in hexadecimal.
func (id StreamID) String() string {
	return fmt.Sprintf("%s.%x.%x", id.Agent, id.Incarnation, id.Serial)
}

// ParseStreamID decodes the form that String returns. The name of the agent may contain dots.
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
	// ID is the stream ID and the offset in the form stream:offset; it is empty on events from an engine.
	ID string
	// Data is the chunk as the engine sent it.
	Data string
	// Text is the text that the chunk adds to the answer.
	Text string
	// Done marks the closing event of a complete answer.
	Done bool
}

// EventID returns the ID of the event at an offset of a stream; offsets count from 1.
func EventID(stream string, offset int) string {
	return stream + ":" + strconv.Itoa(offset)
}

// ParseEventID decodes an event ID into the stream ID and the offset.
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

// ErrTruncated is returned by ReadEvents if a stream ends without a closing event or error event.
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
		// Newlines around a chunk have no meaning in JSON, and a trailing one would be lost when the event is written
		// again.
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

// decodeErrorEvent returns the refusal in an error event as an *EventError, or an error of package judge if the event is
// not JSON.
func decodeErrorEvent(data string) error {
	var r Refusal
	if err := json.Unmarshal([]byte(data), &r); err != nil {
		return judge.Uncertain(judge.ReasonBroken, "unreadable error event: %v", err)
	}
	return &EventError{Refusal: r}
}

// EventError is the error that ReadEvents returns for an error event; it holds the refusal in the event.
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

// WriteEvent writes the ID and data of an event to a stream; an empty ID is left out, and one with a line break is
// an error.
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

// DoneEvent returns the closing event of a complete answer.
func DoneEvent(id string) Event {
	return Event{ID: id, Data: doneData, Done: true}
}

// WriteErrorEvent writes the error event that ends an answer that could not be completed.
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
