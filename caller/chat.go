package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"clementineramp/encoder"
	"clementineramp/judge"
)

func (e *Edge) readBody(c echo.Context) ([]byte, error) {
	// A caller that sends its body slowly must not occupy a connection for long. The error is ignored because it only means
	// that the connection does not support deadlines, as in tests.
	control := http.NewResponseController(c.Response())
	_ = control.SetReadDeadline(time.Now().Add(e.cfg.Limits.BodyTime))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	b, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, e.cfg.Limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, judge.Refuse(judge.ReasonInvalid, "body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, judge.Refuse(judge.ReasonInvalid, "read body: %w", err)
	}
	return b, nil
}

func (e *Edge) serveChat(c echo.Context) error {
	started := time.Now()
	id, err := e.authenticate(c.Request())
	if err != nil {
		return err
	}
	body, err := e.readBody(c)
	if err != nil {
		return err
	}
	chat := Chat{Organisation: id.organisation, Rank: id.rank, Deadline: id.deadline, Started: started}
	if err := json.Unmarshal(body, &chat.Body); err != nil {
		return judge.Refuse(judge.ReasonInvalid, "%w", err)
	}
	if chat.Chat, err = nameHeader(c.Request(), ChatHeader); err != nil {
		return err
	}
	// Only processes of the fleet may set these fields.
	chat.Body.Prefix, chat.Body.RequestID, chat.Body.Version, chat.Body.Priority = "", "", "", 0
	if !chat.Body.Stream {
		return e.collect(c, chat)
	}
	ctx, cancel := e.streamContext(c)
	defer cancel()
	s := &sseWriter{w: c.Response(), remaining: e.cfg.Limits.StreamBytes}
	return s.finish(e.cfg.Chat(ctx, chat, s.emit))
}

// errStreamTime is the cancellation cause of a request that exceeds Limits.StreamTime.
var errStreamTime = errors.New("the answer took longer than the limit on streams")

func (e *Edge) streamContext(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(c.Request().Context(), e.cfg.Limits.StreamTime, errStreamTime)
}

func (e *Edge) serveResume(c echo.Context) error {
	id, err := e.authenticate(c.Request())
	if err != nil {
		return err
	}
	stream, err := encoder.ParseStreamID(c.Param("id"))
	if err != nil {
		return judge.Refuse(judge.ReasonInvalid, "%w", err)
	}
	r := Resume{Organisation: id.organisation, Stream: stream}
	if last := c.Request().Header.Get("Last-Event-ID"); last != "" {
		lastStream, offset, err := encoder.ParseEventID(last)
		if err != nil || lastStream != stream {
			return judge.Refuse(judge.ReasonInvalid, "header Last-Event-ID %q is not of stream %s", last, stream)
		}
		r.Offset = offset
	}
	ctx, cancel := e.streamContext(c)
	defer cancel()
	s := &sseWriter{w: c.Response(), remaining: e.cfg.Limits.StreamBytes}
	return s.finish(e.cfg.Resume(ctx, r, s.emit))
}

// sseWriter writes an answer as server-sent events and decides how a failure is reported to the caller.
type sseWriter struct {
	w       *echo.Response
	started bool
	// remaining is the number of bytes by which the answer may still grow.
	remaining int64
}

func (s *sseWriter) emit(ev encoder.Event) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	if s.remaining -= int64(len(ev.Data)); s.remaining < 0 {
		return judge.Uncertain(judge.ReasonInternal, "the answer is larger than the limit on streams")
	}
	if err := encoder.WriteEvent(s.w, ev); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

// finish returns an error that occurred before the first event, so that it becomes a refusal, and writes a later one as an
// error event.
func (s *sseWriter) finish(err error) error {
	if err == nil || !s.started {
		return err
	}
	if writeErr := encoder.WriteErrorEvent(s.w, encoder.NewRefusal(err)); writeErr != nil {
		return nil
	}
	_ = http.NewResponseController(s.w).Flush()
	return nil
}

// collect serves a request that does not ask for a stream: it gathers the events of the answer into one response.
func (e *Edge) collect(c echo.Context, chat Chat) error {
	var text strings.Builder
	var last encoder.Chunk
	finish := "stop"
	emit := func(ev encoder.Event) error {
		if ev.Done {
			return nil
		}
		text.WriteString(ev.Text)
		if err := json.Unmarshal([]byte(ev.Data), &last); err != nil {
			return judge.Uncertain(judge.ReasonInternal, "chunk: %w", err)
		}
		if len(last.Choices) > 0 && last.Choices[0].FinishReason != nil {
			finish = *last.Choices[0].FinishReason
		}
		return c.Request().Context().Err()
	}
	ctx, cancel := e.streamContext(c)
	defer cancel()
	if err := e.cfg.Chat(ctx, chat, emit); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, encoder.Chunk{
		ID: last.ID, Object: "chat.completion", Model: chat.Body.Model, Usage: last.Usage,
		Choices: []encoder.Choice{{
			Message:      &encoder.Message{Role: "assistant", Content: text.String()},
			FinishReason: &finish,
		}},
	})
}
