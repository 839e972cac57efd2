package proxier

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"clementineramp/appraiser"
	"clementineramp/connector"
	"clementineramp/mapper"
	"clementineramp/placer"
	"clementineramp/registrar"
	"clementineramp/timekeeper"
)

// replacement is the upstream that a request is sent to next.
type replacement struct {
	choice placer.Choice
	// connection is an open connection to it, or nil.
	connection *connector.Reservation
	withdraw   func(placer.Choice)
}

// release gives up a replacement that is not used; r may be nil.
func (r *replacement) release() {
	if r != nil {
		r.connection.Release()
		r.withdraw(r.choice)
	}
}

// responseTimer bounds the silence of an upstream. When it expires, it looks for a replacement and ends the attempt only
// once there is one with an open connection and a retry is allowed. Until then the attempt goes on: the upstream may be
// sound, and its response is worth more than none.
type responseTimer struct {
	job *job
	ctx context.Context
	// timer is nil if the request may not be sent to another upstream.
	timer    *timekeeper.Timer
	gap      time.Duration
	upstream registrar.Upstream
	// placement selects the replacement.
	placement placer.Request
	cancel    context.CancelCauseFunc

	mu sync.Mutex
	// resetAt is the time of the last call of reset, and resets counts them, to notice data that arrives while a replacement
	// is looked for.
	resetAt time.Time
	resets  int
	// sent is set once the upstream may have read the request, and paid once a retry has been deducted.
	sent, paid bool
	// writing is set while data is written to the caller: a caller that reads slowly is no silence of the upstream.
	writing     bool
	searching   bool
	reported    bool
	stopped     bool
	replacement *replacement
}

// startResponseTimer starts the timer of an attempt at u, whose context is ctx and which cancel ends.
func (j *job) startResponseTimer(ctx context.Context, u registrar.Upstream, cancel context.CancelCauseFunc) *responseTimer {
	s := &responseTimer{job: j, ctx: ctx, upstream: u, cancel: cancel}
	if !j.route.Repeatable() || j.runs+1 >= j.route.Attempts {
		return s
	}
	s.placement = j.placement(append(slices.Clone(j.tried), u.ID))
	s.gap = max(gapFactor*j.route.Gap, minGap)
	first := max(firstResponseFactor*j.route.Target, minFirstResponse)
	if j.route.Kind == mapper.Stream {
		first = max(first, minGap)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = timekeeper.Start(timekeeper.Config{Expired: s.replace}, first)
	return s
}

// reset restarts the timer when data of a stream arrives.
func (s *responseTimer) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetLocked()
}

func (s *responseTimer) resetLocked() {
	if s.timer != nil && !s.stopped {
		s.resets++
		s.resetAt = time.Now()
		s.timer.Reset(s.gap)
	}
}

// suspend makes the timer wait until resume is called.
func (s *responseTimer) suspend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = true
}

// resume ends a suspension; the timer restarts if the data that was written was progress of the stream.
func (s *responseTimer) resume(progress bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writing = false
	if progress {
		s.resetLocked()
	}
}

// markSent records that the upstream may have read the request from now on.
func (s *responseTimer) markSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = true
}

// stop ends the timer.
func (s *responseTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}

// end ends the timer and returns the replacement for which the attempt was given up, or nil.
func (s *responseTimer) end() *replacement {
	s.stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replacement
}

// replace looks for a replacement of the silent upstream, and looks again later if there is none.
func (s *responseTimer) replace() {
	s.mu.Lock()
	if s.stopped || s.searching {
		s.mu.Unlock()
		return
	}
	if s.writing || !s.payRetry() {
		s.timer.Reset(retryInterval)
		s.mu.Unlock()
		return
	}
	s.searching = true
	resets, report := s.resets, s.sent && !s.reported
	s.reported = s.reported || report
	s.mu.Unlock()
	if report {
		s.job.p.cfg.Health.Record(s.upstream.ID, appraiser.Silent, time.Now())
	}
	r := s.find()
	if !s.use(r, resets) {
		r.release()
	}
}

// payRetry deducts a retry, once for each attempt and not before the request may have been read. It returns false if none
// is allowed. The caller holds s.mu.
func (s *responseTimer) payRetry() bool {
	if !s.sent || s.paid {
		return true
	}
	s.paid = s.job.p.cfg.AllowRetry(s.job.service)
	if !s.paid {
		s.job.p.instruments.budgetRefused.Inc(1)
	}
	return s.paid
}

// find chooses another upstream and opens a connection to it; it returns nil if that fails.
func (s *responseTimer) find() *replacement {
	p := s.job.p
	if !s.job.mayStart() {
		return nil // The rest of a shutdown is too short for another attempt.
	}
	if _, _, blocked := p.cfg.Crashes.BlockedPart(s.job.parts, time.Now()); blocked {
		return nil // The request is sent nowhere else, and the upstream may only be slow.
	}
	choice, ok := p.cfg.Placer.Choose(s.placement, time.Now())
	if !ok {
		return nil
	}
	u := choice.Upstream
	connection, err := p.cfg.Pool.Reserve(s.ctx, s.job.target(u))
	if err != nil {
		p.cfg.Placer.Withdraw(choice)
		if !errors.Is(err, connector.ErrTooManyConnections) && s.ctx.Err() == nil {
			p.cfg.Health.Record(u.ID, appraiser.Refused, time.Now())
		}
		return nil
	}
	return &replacement{choice: choice, connection: connection, withdraw: p.cfg.Placer.Withdraw}
}

// use ends the attempt in favour of r, unless data has arrived since the given number of resets or no retry is allowed.
func (s *responseTimer) use(r *replacement, resets int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searching = false
	switch {
	case s.stopped:
		return false
	case s.resets != resets || s.writing:
		// The timer may have expired again during the search.
		s.timer.Reset(max(s.gap-time.Since(s.resetAt), 0))
		return false
	case r == nil || !s.payRetry():
		s.timer.Reset(retryInterval)
		return false
	}
	s.replacement, s.stopped = r, true
	s.cancel(errUnresponsive)
	return true
}
