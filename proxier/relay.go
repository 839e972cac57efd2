package proxier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementineramp/appraiser"
	"clementineramp/connector"
	"clementineramp/judge"
	"clementineramp/mapper"
	"clementineramp/placer"
	"clementineramp/registrar"
)

const (
	// maxBufferedResponse is the size up to which a response that is no stream is buffered before any of it is sent to
	// the caller.
	maxBufferedResponse = 64 << 10
	// maxStrayBytes bounds the bytes of a stream since the last complete event with an ID. Typical events have a few
	// hundred bytes.
	maxStrayBytes = 64 << 10
	// maxUnsizedResponse bounds a response that is no stream and whose length the upstream has not declared.
	maxUnsizedResponse = 4 << 20
	// relayBuffer is the size of the read buffer, which holds several events.
	relayBuffer = 8 << 10
)

// bufferedResponse is a complete response of an upstream.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// ran is false if the response states that the request has not run.
	ran bool
}

// streamState is the progress of the stream that is sent to the caller.
type streamState struct {
	started bool
	// lastEvent is the ID of the last event that the caller has: sent by this router, or received before it resumed the
	// stream.
	lastEvent string
	// events counts the writes to the caller, each of one or more complete events.
	events int
}

// relay forwards the response to the caller, or classifies it if the request may be retried.
func (j *job) relay(
	ctx context.Context, u registrar.Upstream, e *connector.Exchange, timer *responseTimer,
) (verdict, *bufferedResponse, error) {
	now := time.Now()
	reply := j.p.cfg.Codec.DecodeReply(e.StatusCode, e.Header)
	if reply.HasLoad {
		j.p.cfg.Placer.RecordLoad(u.ID, placer.Load(reply.Load), now)
	}
	e.SetIdleTimeout(reply.IdleTimeout)
	if reply.Leaving && j.isReplyOf(e.StatusCode, reply) {
		j.markLeaving(u, e.StatusCode)
	}
	switch {
	case reply.NotRun:
		return j.handleTurnedAway(u, e, reply)
	case !reply.Signed && reply.RequestID == "":
		// Responses of upstreams contain the request ID. Without it, another server may have the address by now.
		j.runs++
		j.recordBroken(u, now)
		return mayHaveRun, nil, errors.New("upstream response does not name the request")
	case e.StatusCode < http.StatusMultipleChoices && !reply.Signed:
		j.runs++
		j.recordBroken(u, now)
		return mayHaveRun, nil, errors.New("upstream response has no signature")
	case e.StatusCode == http.StatusOK && isEventStream(e.Header) && j.route.Kind == mapper.Stream:
		j.runs++
		return j.relayStream(ctx, u, e, timer)
	case j.stream.started:
		// Nothing but the rest of the stream may follow what the caller has already received.
		j.runs++
		if e.StatusCode >= http.StatusInternalServerError {
			j.p.cfg.Health.Record(u.ID, appraiser.Failed, now)
		}
		return mayHaveRun, nil, errors.New("upstream did not resume the stream, its status is " + strconv.Itoa(e.StatusCode))
	}
	j.runs++
	timer.stop()
	return j.relayBuffered(ctx, u, e)
}

// isReplyOf reports whether a response is certainly one of the upstream that the attempt names, to this request. A success
// must be signed for that; refusals are not.
func (j *job) isReplyOf(status int, reply Reply) bool {
	signed := reply.Signed || j.ID != "" && status >= http.StatusMultipleChoices
	return reply.RequestID == j.ID && signed && !reply.WrongUpstream
}

// markLeaving records that the upstream stated in a response with the given status that it is leaving.
func (j *job) markLeaving(u registrar.Upstream, status int) {
	if !j.p.cfg.MarkLeaving(u) {
		return
	}
	j.p.instruments.leavingMarks.Inc(1)
	j.p.cfg.Log.Info("upstream_marked_leaving", "upstream", u.ID, "service", u.Service, "address", u.Address, "born", u.Born,
		"source", "response", "request", j.ID, "status", status)
}

// pause records that the upstream wants no further requests for the time in its reply.
func (j *job) pause(u registrar.Upstream, reply Reply) {
	j.p.cfg.Placer.Pause(u, time.Now().Add(reply.Pause))
	j.p.instruments.pauses.Inc(1)
	j.p.cfg.Log.Info("upstream_paused", "upstream", u.ID, "service", u.Service, "address", u.Address, "born", u.Born,
		"source", "response", "request", j.ID, "pause_ms", reply.Pause.Milliseconds(), "load", j.choice.Load,
		"reported_running", reply.Load.Running, "reported_waiting", reply.Load.Waiting, "slots", u.Slots)
}

// handleTurnedAway classifies a response that states that the upstream has not run the request.
func (j *job) handleTurnedAway(u registrar.Upstream, e *connector.Exchange, reply Reply) (verdict, *bufferedResponse, error) {
	pauses := reply.Pause > 0 && j.isReplyOf(e.StatusCode, reply)
	if pauses {
		j.pause(u, reply)
	}
	// The body is read only so that the connection can be reused.
	if err := e.Drain(); err != nil {
		j.p.instruments.upstreamBroken.Inc(1)
	}
	refusal := errors.New("upstream refused to run the request with status " + strconv.Itoa(e.StatusCode))
	if pauses { // It has said when it takes requests again, so it is not unhealthy.
		return turnedAway, nil, fmt.Errorf("%w and wants no further ones for %v", refusal, reply.Pause)
	}
	// An upstream that refuses because its slots are in use is not unhealthy.
	hasFreeSlots := !reply.HasLoad || reply.Load.Running < reply.Load.Slots
	if reply.WrongUpstream || hasFreeSlots && j.choice.Load < float64(max(u.Slots, 1)) {
		j.p.cfg.Health.Record(u.ID, appraiser.Shed, time.Now())
	}
	return turnedAway, nil, refusal
}

// relayBuffered reads the whole response before any of it is sent to the caller, so that the request can be retried if
// the connection breaks.
func (j *job) relayBuffered(
	ctx context.Context, u registrar.Upstream, e *connector.Exchange,
) (verdict, *bufferedResponse, error) {
	body, err := io.ReadAll(io.LimitReader(e, maxBufferedResponse))
	now := time.Now()
	if err == nil && len(body) == maxBufferedResponse {
		return j.relayUnbuffered(u, e, body)
	}
	if err != nil {
		if ctx.Err() == nil {
			j.recordBroken(u, now)
		}
		return mayHaveRun, nil, err
	}
	buffered := &bufferedResponse{status: e.StatusCode, header: EndToEnd(e.Header), body: body, ran: true}
	if e.StatusCode >= http.StatusInternalServerError {
		j.p.cfg.Health.Record(u.ID, appraiser.Failed, now)
		return failed, buffered, errors.New("upstream failed with status " + strconv.Itoa(e.StatusCode))
	}
	j.p.cfg.Health.Record(u.ID, appraiser.Served, now)
	j.writeBuffered(buffered)
	return done, nil, nil
}

// relayUnbuffered forwards a response that is too long to be buffered.
func (j *job) relayUnbuffered(u registrar.Upstream, e *connector.Exchange, head []byte) (verdict, *bufferedResponse, error) {
	j.writeHeader(e.StatusCode, EndToEnd(e.Header), e.ContentLength)
	_, err := j.w.Write(head)
	if err == nil {
		err = j.copyRest(e)
	}
	if err != nil {
		if errors.Is(err, errResponseTooLong) {
			j.p.cfg.Health.Record(u.ID, appraiser.Broken, time.Now())
		}
		j.abort(judge.ReasonBroken, "response broke off after its first bytes were sent: "+err.Error())
	}
	j.p.cfg.Health.Record(u.ID, appraiser.Served, time.Now())
	j.recordOutcome(e.StatusCode, "", "")
	return done, nil, nil
}

var errResponseTooLong = errors.New("the response has no declared length and does not end")

// copyRest forwards the rest of a body, up to maxUnsizedResponse if its length is not declared.
func (j *job) copyRest(e *connector.Exchange) error {
	if e.ContentLength >= 0 {
		_, err := io.Copy(j.w, e)
		return err
	}
	n, err := io.Copy(j.w, io.LimitReader(e, maxUnsizedResponse))
	if err == nil && n == maxUnsizedResponse {
		return errResponseTooLong
	}
	return err
}

// writeBuffered sends the caller a complete response of an upstream.
func (j *job) writeBuffered(b *bufferedResponse) {
	if impliesNotRun(b.status) && b.ran && !j.idempotent() {
		// The status would guarantee that the request has not run, although it has.
		j.refuse(newRefusal(http.StatusBadGateway, judge.ReasonBroken, "the upstream failed; the request may have run"))
		return
	}
	j.writeHeader(b.status, b.header, int64(len(b.body)))
	if _, err := j.w.Write(b.body); err != nil {
		j.recordOutcome(b.status, judge.ReasonBroken, "caller disconnected")
		return
	}
	j.recordOutcome(b.status, "", "")
}

func (j *job) idempotent() bool {
	return j.route.Kind == mapper.Idempotent
}

// writeHeader sends the status and header of an upstream's response; a negative length means chunked encoding.
func (j *job) writeHeader(status int, header http.Header, length int64) {
	h := j.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.firstByte = time.Since(j.started)
	j.w.WriteHeader(status)
}

func isEventStream(h http.Header) bool {
	mediaType, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), "text/event-stream")
}

// relayStream forwards events as they arrive, each only when it is complete.
func (j *job) relayStream(
	ctx context.Context, u registrar.Upstream, e *connector.Exchange, timer *responseTimer,
) (verdict, *bufferedResponse, error) {
	if !j.stream.started && j.stream.lastEvent == "" {
		j.stream.lastEvent = j.LastEvent
	}
	var pending []byte
	stray := 0
	chunk := make([]byte, relayBuffer)
	for {
		n, err := e.Read(chunk)
		if n > 0 {
			pending = append(pending, chunk[:n]...)
			stray += n
			if end := endOfEvents(pending); end > 0 {
				if lastID(pending[:end]) != "" {
					// Only events with an ID are progress: comments and blank lines may come without end.
					stray = len(pending) - end
					timer.reset()
				}
				if !j.forwardEvents(e, pending[:end]) {
					return mayHaveRun, nil, errors.New("caller disconnected")
				}
				pending = append(pending[:0], pending[end:]...)
			}
			if stray > maxStrayBytes {
				err = errStrayBytes
			}
		}
		if err == nil {
			continue
		}
		return j.handleStreamEnd(ctx, u, e, pending, err)
	}
}

var errStrayBytes = errors.New("the stream carries bytes that are no events")

// handleStreamEnd classifies the end of a stream; err is the error of the last read and pending an incomplete event.
func (j *job) handleStreamEnd(
	ctx context.Context, u registrar.Upstream, e *connector.Exchange, pending []byte, err error,
) (verdict, *bufferedResponse, error) {
	now := time.Now()
	complete := errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0
	switch {
	case complete && (j.stream.started || e.Framed()):
		if !j.stream.started {
			j.startStream(e)
		}
		j.p.cfg.Health.Record(u.ID, appraiser.Served, now)
		j.recordOutcome(e.StatusCode, "", "")
		return done, nil, nil
	case errors.Is(context.Cause(ctx), errUnresponsive):
		j.p.cfg.Health.Record(u.ID, appraiser.Silent, now)
		return mayHaveRun, nil, errUnresponsive
	case j.ctx.Err() != nil:
		return mayHaveRun, nil, j.ctx.Err()
	}
	j.recordBroken(u, now)
	if complete || errors.Is(err, io.EOF) {
		err = errors.New("stream ended early")
	}
	return mayHaveRun, nil, err
}

func (j *job) startStream(e *connector.Exchange) {
	j.stream.started = true
	j.writeHeader(e.StatusCode, EndToEnd(e.Header), -1)
}

// forwardEvents sends complete events to the caller and returns false if the caller cannot be reached.
func (j *job) forwardEvents(e *connector.Exchange, events []byte) bool {
	if !j.stream.started {
		j.startStream(e)
	}
	if id := lastID(events); id != "" {
		j.stream.lastEvent = id
	}
	j.stream.events++
	if _, err := j.w.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(j.w).Flush() == nil
}

// abort closes the connection of a response that has begun, so that the caller does not take it as complete. It panics
// with http.ErrAbortHandler.
func (j *job) abort(reason judge.Reason, text string) {
	if j.r.Context().Err() != nil {
		reason, text = judge.ReasonBroken, "caller disconnected"
	} else if j.ctx.Err() != nil {
		reason, text = judge.ReasonTimeout, "response not complete in time"
	}
	j.recordOutcome(0, reason, text)
	panic(http.ErrAbortHandler)
}

// endOfEvents returns the length of the complete events at the start of b.
func endOfEvents(b []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\r\n\r\n", "\r\r"} {
		if i := bytes.LastIndex(b, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}
	return end
}

// lastID returns the last event ID among complete events, or "" if none has one.
func lastID(events []byte) string {
	i := bytes.LastIndex(events, []byte("\nid:"))
	switch {
	case i >= 0:
		events = events[i+len("\nid:"):]
	case bytes.HasPrefix(events, []byte("id:")):
		events = events[len("id:"):]
	default:
		return ""
	}
	if end := bytes.IndexAny(events, "\r\n"); end >= 0 {
		events = events[:end]
	}
	return string(bytes.TrimSpace(events))
}
