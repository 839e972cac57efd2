package proxier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"clementineramp/appraiser"
	"clementineramp/blocker"
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
	// lastWrite is the time of the last write.
	lastWrite time.Time
}

// relay forwards the response to the caller, or classifies it if the request may be retried.
func (j *job) relay(
	ctx context.Context, u registrar.Upstream, e *connector.Exchange, timer *responseTimer,
) (verdict, *bufferedResponse, error) {
	now := time.Now()
	reply := j.p.cfg.Codec.DecodeReply(e.StatusCode, e.Header)
	if reply.RequestID != j.ID || reply.RequestID == "" && !reply.Signed {
		// Upstreams repeat the request ID. A response without it may be an earlier one that is sent once more, or another
		// server may have the address by now: even a refusal or a load then says nothing about this request or upstream.
		j.runs++
		j.p.cfg.Health.Record(u.ID, appraiser.Broken, now) // No connection broke, so that it is no crash.
		return mayHaveRun, nil, errors.New("upstream response does not name the request")
	}
	if reply.HasLoad {
		j.p.cfg.Placer.RecordLoad(u.ID, placer.Load(reply.Load), j.p.cfg.Arrived(now))
	}
	e.SetIdleTimeout(reply.IdleTimeout)
	if reply.Leaving && j.isReplyOf(e.StatusCode, reply) {
		j.markLeaving(u, e.StatusCode)
	}
	switch {
	case reply.NotRun:
		return j.handleTurnedAway(u, e, reply)
	case e.StatusCode < http.StatusMultipleChoices && !reply.Signed:
		j.runs++
		j.p.cfg.Health.Record(u.ID, appraiser.Broken, now) // No connection broke, so that it is no crash.
		return mayHaveRun, nil, errors.New("upstream response has no signature")
	case e.StatusCode == http.StatusOK && isEventStream(e.Header) && j.route.Kind == mapper.Stream && j.r.Method != http.MethodHead:
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

// handleTurnedAway classifies a response that states that the upstream has not run the request. The head states it, so the
// body need not be complete.
func (j *job) handleTurnedAway(u registrar.Upstream, e *connector.Exchange, reply Reply) (verdict, *bufferedResponse, error) {
	pauses := reply.Pause > 0 && j.isReplyOf(e.StatusCode, reply)
	if pauses {
		j.pause(u, reply)
	}
	// The body is read only so that the connection can be reused.
	if err := e.Drain(); err != nil {
		j.p.instruments.upstreamBroken.Inc(1)
	}
	if !reply.WrongUpstream && !reply.Leaving {
		j.record(u, rejected)
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
	held := holding{p: j.p}
	defer held.release()
	begun := time.Now()
	body, err := held.read(e, maxBufferedResponse)
	now := time.Now()
	if errors.Is(err, errHeldMemory) || err == nil && len(body) == maxBufferedResponse {
		if e.StatusCode >= http.StatusInternalServerError || j.isFalsePromise(e.StatusCode) {
			// A failure that may be retried is kept for the caller, which this one is too long for.
			j.p.cfg.Health.Record(u.ID, appraiser.Failed, now)
			return failed, nil, errors.New("upstream failed with a long response of status " + strconv.Itoa(e.StatusCode))
		}
		held.release() // The rest passes through, and a slow caller may take long for it.
		return j.relayUnbuffered(u, e, body)
	}
	if err == nil && len(body) == 0 && !e.Framed() && e.StatusCode < http.StatusMultipleChoices && j.r.Method != http.MethodHead {
		// An upstream that crashes after the head closes its connection too; an empty body usually has a length of zero.
		err = errNoBody
	}
	if err != nil {
		if ctx.Err() == nil {
			if len(body) == 0 {
				j.recordBroken(u, now, err, j.parts...)
			} else {
				j.recordBrokenAnswer(u, begun, now, err)
			}
		}
		return mayHaveRun, nil, err
	}
	j.recordServed()
	buffered := &bufferedResponse{status: e.StatusCode, header: EndToEnd(e.Header), body: body, ran: true}
	if e.StatusCode >= http.StatusInternalServerError {
		j.record(u, unsuccessful)
		j.p.cfg.Health.Record(u.ID, appraiser.Failed, now)
		return failed, buffered, errors.New("upstream failed with status " + strconv.Itoa(e.StatusCode))
	}
	j.p.cfg.Health.Record(u.ID, appraiser.Served, now)
	if e.StatusCode < http.StatusMultipleChoices {
		j.record(u, responded)
		j.recordBegin()
		j.p.cfg.Crashes.RecordOutlived(j.parts, begun, now)
	}
	j.writeBuffered(buffered)
	return done, nil, nil
}

// relayUnbuffered forwards a response that is too long to be buffered.
func (j *job) relayUnbuffered(u registrar.Upstream, e *connector.Exchange, head []byte) (verdict, *bufferedResponse, error) {
	if !j.beginResponse() {
		return mayHaveRun, nil, errStopping
	}
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
	j.recordServed()
	j.recordOutcome(e.StatusCode, "", "")
	return done, nil, nil
}

var (
	errResponseTooLong = errors.New("the response has no declared length and does not end")
	errNoBody          = errors.New("the response has neither a length nor a body")
)

// copyRest forwards the rest of a body, up to maxUnsizedResponse if its length is not declared.
func (j *job) copyRest(e *connector.Exchange) error {
	// Hides ReadFrom of the writer, which takes 32 KB for each response.
	w := struct{ io.Writer }{j.w}
	buffer := make([]byte, relayBuffer)
	if e.ContentLength >= 0 {
		_, err := io.CopyBuffer(w, e, buffer)
		return err
	}
	n, err := io.CopyBuffer(w, io.LimitReader(e, maxUnsizedResponse), buffer)
	if err == nil && n == maxUnsizedResponse {
		return errResponseTooLong
	}
	return err
}

// writeBuffered sends the caller a complete response of an upstream.
func (j *job) writeBuffered(b *bufferedResponse) {
	if b.ran && j.isFalsePromise(b.status) {
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

// isFalsePromise reports whether the status would guarantee to the caller that a request has not run which may have run.
func (j *job) isFalsePromise(status int) bool {
	return impliesNotRun(status) && j.route.Kind != mapper.Idempotent
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
	if j.route.Repeatable() && !j.stream.started && j.stream.lastEvent == "" {
		j.stream.lastEvent = j.LastEvent
	}
	e.Ending = timer.stop // The response is whole unless the connection turns out to have been reset.
	held := holding{p: j.p}
	defer held.release()
	events := eventBuffer{isField: j.p.cfg.Codec.IsEventField}
	chunk := make([]byte, relayBuffer)
	for {
		n, err := e.Read(chunk)
		if n > 0 {
			whole, id, invalid := events.add(chunk[:n], j.stream.lastEvent)
			progress := id != j.stream.lastEvent
			if progress {
				timer.reset()
				j.recordProgress()
			}
			if len(whole) > 0 {
				timer.suspend()
				written := j.forwardEvents(e, whole, id)
				timer.resume(progress)
				if !written {
					return mayHaveRun, nil, errors.New("caller disconnected")
				}
			}
			if invalid != nil {
				err = invalid
			} else if err == nil && !held.resize(events.size()) {
				err = errHeldMemory
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !events.complete(e.Framed()) {
			err = errEndedEarly
		}
		return j.handleStreamEnd(ctx, u, e, err)
	}
}

// handleStreamEnd classifies the end of a stream; err is io.EOF if the stream is complete.
func (j *job) handleStreamEnd(
	ctx context.Context, u registrar.Upstream, e *connector.Exchange, err error,
) (verdict, *bufferedResponse, error) {
	now := time.Now()
	switch {
	case errors.Is(err, io.EOF):
		if !j.stream.started && !j.startStream(e) {
			return mayHaveRun, nil, errStopping
		}
		j.p.cfg.Health.Record(u.ID, appraiser.Served, now)
		j.recordServed()
		j.recordOutlived(now)
		j.recordOutcome(e.StatusCode, "", "")
		return done, nil, nil
	case errors.Is(context.Cause(ctx), errUnresponsive):
		return mayHaveRun, nil, errUnresponsive
	case j.ctx.Err() != nil:
		return mayHaveRun, nil, j.ctx.Err()
	}
	switch {
	case errors.Is(err, errHeldMemory): // Nothing crashed, and the upstream may be sound.
	case errors.Is(err, errStrayBytes):
		j.recordBroken(u, now, err)
	case !j.begunAt.IsZero():
		if now.Sub(j.begunAt) <= blocker.AnswerStart && !hostLost(err) {
			// An upstream that crashes on a part may have written an event before.
			j.p.cfg.Crashes.RetractBegin(j.parts, j.begunAt, now)
			j.recordBroken(u, now, err, j.parts...)
		} else {
			j.recordBrokenAnswer(u, j.begunAt, now, err)
		}
	default:
		// Bytes of an incomplete first event don't clear the parts: the crash may cut it off.
		j.recordBroken(u, now, err, j.parts...)
	}
	return mayHaveRun, nil, err
}

// startStream sends the header of a stream. It returns false if a shutdown has ended the request.
func (j *job) startStream(e *connector.Exchange) bool {
	if !j.beginResponse() {
		return false
	}
	j.stream.started = true
	j.writeHeader(e.StatusCode, EndToEnd(e.Header), -1)
	return true
}

// forwardEvents sends complete events, of which lastID is the last ID, to the caller. It returns false if the caller cannot
// be reached, or if a shutdown has ended the request before its first event.
func (j *job) forwardEvents(e *connector.Exchange, events []byte, lastID string) bool {
	if !j.stream.started && !j.startStream(e) {
		return false
	}
	j.stream.lastEvent = lastID
	j.stream.events++
	j.stream.lastWrite = time.Now()
	if _, err := j.w.Write(events); err != nil {
		return false
	}
	return http.NewResponseController(j.w).Flush() == nil
}

// abort closes the connection of a response that has begun, so that the caller does not take it as complete. It panics
// with http.ErrAbortHandler.
func (j *job) abort(reason judge.Reason, text string) {
	switch {
	case j.p.requests.Err() != nil:
		reason, text = judge.ReasonLeaving, "the response was not complete at the end of the shutdown"
	case j.abandoned || j.r.Context().Err() != nil:
		reason, text = judge.ReasonBroken, "caller disconnected"
	case j.ctx.Err() != nil:
		reason, text = judge.ReasonTimeout, "response not complete in time"
	}
	j.recordOutcome(0, reason, text)
	panic(http.ErrAbortHandler)
}
