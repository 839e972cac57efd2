package proxier

import (
	"bytes"
	"context"
	"errors"
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
	// maxHeldAnswer is the size up to which a plain answer is read whole before the caller gets any of it.
	maxHeldAnswer = 256 << 10
	// maxEventBytes bounds an event; callers' events have a few hundred bytes.
	maxEventBytes = 1 << 20
	// relayBuffer holds some events.
	relayBuffer = 8 << 10
)

// keptAnswer is a complete answer of an upstream.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
	// ran is false for answers that say that the request has not run.
	ran bool
}

// relay is the state of a stream that the caller gets.
type relay struct {
	started bool
	// lastEvent is the last event that the caller got, or that it had when it resumed.
	lastEvent string
	events    int
}

// relay passes an answer on, or judges it.
func (j *job) relay(ctx context.Context, u registrar.Upstream, e *connector.Exchange, watch *silence) (verdict, *keptAnswer, error) {
	now := time.Now()
	reply := j.p.cfg.Codec.DecodeReply(e.StatusCode, e.Header)
	if reply.HasLoad {
		j.p.cfg.Placer.RecordLoad(u.ID, placer.Load(reply.Load), now)
	}
	e.SetIdleTimeout(reply.IdleTimeout)
	switch {
	case reply.NotRun:
		return j.turnedAway(u, e, reply)
	case !reply.Signed && reply.RequestID == "":
		// Upstreams repeat the id of the request; another server may have the address by now.
		j.runs++
		j.broke(u, now)
		return inDoubt, nil, errors.New("the answer does not say that it belongs to the request")
	case e.StatusCode < http.StatusMultipleChoices && !reply.Signed:
		j.runs++
		j.broke(u, now)
		return inDoubt, nil, errors.New("the answer has no signature")
	case e.StatusCode == http.StatusOK && isEventStream(e.Header) && j.route.Kind == mapper.Stream:
		j.runs++
		return j.relayStream(ctx, u, e, watch)
	}
	j.runs++
	watch.stop()
	return j.relayWhole(ctx, u, e)
}

func (j *job) turnedAway(u registrar.Upstream, e *connector.Exchange, reply Reply) (verdict, *keptAnswer, error) {
	// The body is read only so that the connection can be used again.
	if _, err := io.Copy(io.Discard, io.LimitReader(e, maxHeldAnswer)); err != nil {
		j.p.meters.upstreamBroken.Inc(1)
	}
	// A full upstream is no sick one.
	idle := !reply.HasLoad || reply.Load.Running < reply.Load.Slots
	if reply.Stranger || idle && j.choice.Load < float64(max(u.Slots, 1)) {
		j.p.cfg.Health.Record(u.ID, appraiser.Shed, time.Now())
	}
	return turnedAway, nil, errors.New("the upstream turned the request away with status " + strconv.Itoa(e.StatusCode))
}

// relayWhole reads a plain answer before the caller gets any of it, so that a broken one can be replaced.
func (j *job) relayWhole(ctx context.Context, u registrar.Upstream, e *connector.Exchange) (verdict, *keptAnswer, error) {
	body, err := io.ReadAll(io.LimitReader(e, maxHeldAnswer))
	now := time.Now()
	if err == nil && len(body) == maxHeldAnswer {
		return j.relayLong(u, e, body)
	}
	if err != nil {
		if ctx.Err() == nil {
			j.broke(u, now)
		}
		return inDoubt, nil, err
	}
	kept := &keptAnswer{status: e.StatusCode, header: EndToEnd(e.Header), body: body, ran: true}
	if e.StatusCode >= http.StatusInternalServerError {
		j.p.cfg.Health.Record(u.ID, appraiser.Failed, now)
		return failed, kept, errors.New("the upstream failed with status " + strconv.Itoa(e.StatusCode))
	}
	j.p.cfg.Health.Record(u.ID, appraiser.Served, now)
	j.deliver(kept)
	return done, nil, nil
}

// relayLong passes on a plain answer that is too long to be held.
func (j *job) relayLong(u registrar.Upstream, e *connector.Exchange, head []byte) (verdict, *keptAnswer, error) {
	j.writeHeader(e.StatusCode, EndToEnd(e.Header), e.ContentLength)
	_, err := j.w.Write(head)
	if err == nil {
		_, err = io.Copy(j.w, e)
	}
	if err != nil {
		j.breakOff(judge.ReasonBroken, "a long answer broke off: "+err.Error())
	}
	j.p.cfg.Health.Record(u.ID, appraiser.Served, time.Now())
	j.ended(e.StatusCode, "", "")
	return done, nil, nil
}

// deliver gives the caller a complete answer of an upstream.
func (j *job) deliver(k *keptAnswer) {
	if promisesNotRun(k.status) && k.ran && !j.idempotent() {
		// The status would promise that the request has not run.
		j.refuse(refusal(http.StatusBadGateway, judge.ReasonBroken, "the upstream failed; the request may have run"))
		return
	}
	j.writeHeader(k.status, k.header, int64(len(k.body)))
	if _, err := j.w.Write(k.body); err != nil {
		j.ended(k.status, judge.ReasonBroken, "the caller left")
		return
	}
	j.ended(k.status, "", "")
}

func (j *job) idempotent() bool {
	return j.route.Kind == mapper.Idempotent
}

// writeHeader sends the head of an upstream's answer; a negative length means chunks.
func (j *job) writeHeader(status int, header http.Header, length int64) {
	h := j.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	j.firstEvent = time.Since(j.started)
	j.w.WriteHeader(status)
}

func isEventStream(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// relayStream passes complete events on as they arrive.
func (j *job) relayStream(ctx context.Context, u registrar.Upstream, e *connector.Exchange, watch *silence) (verdict, *keptAnswer, error) {
	if !j.stream.started && j.stream.lastEvent == "" {
		j.stream.lastEvent = j.LastEvent
	}
	var pending []byte
	chunk := make([]byte, relayBuffer)
	for {
		n, err := e.Read(chunk)
		if n > 0 {
			pending = append(pending, chunk[:n]...)
			watch.seen()
			if end := endOfEvents(pending); end > 0 {
				if !j.passEvents(e, pending[:end]) {
					return inDoubt, nil, errors.New("the caller left")
				}
				pending = append(pending[:0], pending[end:]...)
			}
			if len(pending) > maxEventBytes {
				err = errors.New("an event is too long")
			}
		}
		if err == nil {
			continue
		}
		return j.streamEnded(ctx, u, e, pending, err)
	}
}

// streamEnded judges the end of a stream.
func (j *job) streamEnded(ctx context.Context, u registrar.Upstream, e *connector.Exchange, pending []byte, err error) (verdict, *keptAnswer, error) {
	now := time.Now()
	complete := errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0
	switch {
	case complete && (j.stream.started || e.Framed()):
		if !j.stream.started {
			j.startStream(e)
		}
		j.p.cfg.Health.Record(u.ID, appraiser.Served, now)
		j.ended(e.StatusCode, "", "")
		return done, nil, nil
	case errors.Is(context.Cause(ctx), errSilent):
		j.p.cfg.Health.Record(u.ID, appraiser.Silent, now)
		return inDoubt, nil, errSilent
	case j.ctx.Err() != nil:
		return inDoubt, nil, j.ctx.Err()
	}
	j.broke(u, now)
	if complete || errors.Is(err, io.EOF) {
		err = errors.New("the stream ended early")
	}
	return inDoubt, nil, err
}

func (j *job) startStream(e *connector.Exchange) {
	j.stream.started = true
	j.writeHeader(e.StatusCode, EndToEnd(e.Header), -1)
}

// passEvents gives the caller complete events.
func (j *job) passEvents(e *connector.Exchange, events []byte) bool {
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

// breakOff ends an answer that has begun so that it does not look complete.
func (j *job) breakOff(reason judge.Reason, text string) {
	if j.r.Context().Err() != nil {
		reason, text = judge.ReasonBroken, "the caller left"
	} else if j.ctx.Err() != nil {
		reason, text = judge.ReasonTimeout, "the answer did not end in time"
	}
	j.ended(0, reason, text)
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

// lastID returns the last event id among complete events.
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
