package proxier

import (
	"time"

	"clementineramp/estimator"
	"clementineramp/mapper"
	"clementineramp/registrar"
)

// sampleKind is the result of an attempt as it counts for the speed of its upstream.
type sampleKind int

const (
	responded sampleKind = iota
	// rejected: the upstream is full.
	rejected
	// unsuccessful: the upstream failed, or the attempt was given up.
	unsuccessful
)

// isPlain reports whether the request is for a plain service. Streams are not plain: they last as long as their content.
func (j *job) isPlain() bool {
	return !j.current.Table.Services[j.service].Engine && j.route.Kind != mapper.Stream
}

// countWork counts the request as one for its service.
func (j *job) countWork() {
	if j.p.cfg.Work != nil && j.isPlain() {
		j.p.cfg.Work.CountRequest(j.service, time.Now())
	}
}

// beginWork counts the request as in progress at an upstream until the returned function is called.
func (j *job) beginWork() (end func()) {
	if j.p.cfg.Work == nil || !j.isPlain() {
		return func() {}
	}
	j.p.cfg.Work.Begin(j.service, time.Now())
	return func() { j.p.cfg.Work.End(j.service, time.Now()) }
}

// record records how long the current attempt at u has taken. An attempt whose caller has left says nothing: it may have been
// cut off at any time.
func (j *job) record(u registrar.Upstream, kind sampleKind) {
	now := time.Now()
	sentAt := j.sentAt.Load()
	if j.p.cfg.Record == nil || !j.isPlain() || sentAt == 0 || !j.p.cfg.Placer.Heard(u.ID).IsZero() {
		return
	}
	if j.r.Context().Err() != nil || j.endedByShutdown() || j.p.cfg.CallerLeft(j.r.Context()) {
		return
	}
	j.p.cfg.Record(estimator.Sample{
		Upstream: u, Route: j.route.Name, Target: j.route.Target, Latency: now.Sub(time.Unix(0, sentAt)),
		Rejected: kind == rejected, Failed: kind == unsuccessful,
	}, now)
}
