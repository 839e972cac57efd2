package quarantiner

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"clementineramp/judge"
)

const (
	// defaultMarkLifetime covers the repeats of a caller that tries again with backoff.
	defaultMarkLifetime = time.Minute
	// defaultConvictionLifetime is the time for which a request that crashed two engines is refused.
	defaultConvictionLifetime = 5 * time.Minute
	// defaultMaxMarks holds the requests of 16 crashes of an engine that batches 256.
	defaultMaxMarks = 4096
	// defaultGossipMargin is longer than an exchange takes. Each hop takes it from the remaining
	// lifetime, so that an entry that travels in a circle expires.
	defaultGossipMargin = time.Second
	// maxMark bounds a mark that a peer sends.
	maxMark = 1000
	// busyRetryAfter is the advice while another marked request runs, since its end is not known.
	busyRetryAfter = time.Second
)

// ErrMarkedRuns is the cause when a marked request begins while another marked one runs.
var ErrMarkedRuns = errors.New("another marked request is running")

// Fingerprint identifies a request by its organisation and content.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (fp Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(fp))
}

// Config holds the parameters of a Quarantine.
type Config struct {
	// MarkLifetime is the time for which a mark is kept; zero means 60 s.
	MarkLifetime time.Duration
	// ConvictionLifetime is the time for which a convicted request is refused; zero means 5 min.
	ConvictionLifetime time.Duration
	// MaxMarks bounds the marks and convictions together; zero means 4096.
	MaxMarks int
	// GossipMargin is taken from the remaining lifetime of each entry that is sent; zero means 1 s.
	GossipMargin time.Duration
}

// Run is one run of a request in the engine.
type Run struct {
	Fingerprint Fingerprint
	// serial keeps the late end of a run that a crash broke apart from a newer run of the same request.
	serial uint64
}

// Outcome is what a crash means for one request that was in flight.
type Outcome struct {
	Fingerprint Fingerprint
	// Mark is the mark to hand to the router; it is 0 for a request that got none from this crash.
	Mark int
	// Convicted says that the request is refused from now on.
	Convicted bool
}

type activeRun struct {
	fp     Fingerprint
	marked bool
}

// Quarantine holds the marks and convictions that one agent knows.
type Quarantine struct {
	cfg     Config
	records map[Fingerprint]*record
	running map[uint64]activeRun
	serial  uint64
	// swept is when expired records were last removed.
	swept    time.Time
	dropped  int
	decision Decision
}

// New returns a Quarantine without marks.
func New(cfg Config) *Quarantine {
	if cfg.MarkLifetime <= 0 {
		cfg.MarkLifetime = defaultMarkLifetime
	}
	if cfg.ConvictionLifetime <= 0 {
		cfg.ConvictionLifetime = defaultConvictionLifetime
	}
	if cfg.MaxMarks <= 0 {
		cfg.MaxMarks = defaultMaxMarks
	}
	if cfg.GossipMargin <= 0 {
		cfg.GossipMargin = defaultGossipMargin
	}
	return &Quarantine{cfg: cfg, records: map[Fingerprint]*record{}, running: map[uint64]activeRun{}}
}

// Admit judges a request that arrives with the mark that the router carries, and reports whether it must run as a marked one.
// It refuses a convicted request, and one that this agent marked itself.
func (q *Quarantine) Admit(now time.Time, fp Fingerprint, mark int) (marked bool, err error) {
	if err := q.refusal(now, fp); err != nil {
		return true, err
	}
	if mark > 0 && q.mark(now, fp) == 0 {
		// A live mark is not extended, so that repeats do not keep a request marked for ever.
		if r := q.store(now, fp, classHeard); r != nil {
			r.carried = now.Add(q.cfg.MarkLifetime)
			r.raise(mark)
		}
	}
	marked = mark > 0 || q.mark(now, fp) > 0
	q.decide(now, Decision{Action: ActionAdmit, Fingerprint: fp, Marked: marked})
	return marked, nil
}

// Mark returns the mark of a request to hand to the router with a refusal or failure; 0 means none.
func (q *Quarantine) Mark(now time.Time, fp Fingerprint) int {
	return q.mark(now, fp)
}

// Begin says that a request goes to the engine; marked is what Admit reported, since the mark may have expired in the queue.
// It refuses what Admit would refuse now, and a marked request beside another marked one (ErrMarkedRuns).
func (q *Quarantine) Begin(now time.Time, fp Fingerprint, marked bool) (Run, error) {
	if err := q.refusal(now, fp); err != nil {
		return Run{}, err
	}
	marked = marked || q.mark(now, fp) > 0
	if marked && len(q.markedRuns(now)) > 0 {
		err := judge.Refuse(judge.ReasonSuspect, "request %s: %w", fp, ErrMarkedRuns)
		err.RetryAfter = busyRetryAfter
		q.refuse(now, fp, err)
		return Run{}, err
	}
	q.serial++
	q.running[q.serial] = activeRun{fp, marked}
	q.decide(now, Decision{Action: ActionBegin, Fingerprint: fp, Marked: marked})
	return Run{fp, q.serial}, nil
}

// Leave says that a run ended without a whole answer, as when its caller left; it has no effect on a run that a crash ended.
func (q *Quarantine) Leave(now time.Time, run Run) {
	q.end(now, run, ActionLeave)
}

// Finish says that a run gave a whole answer, and clears the marks of the request at this agent.
// It has no effect on a run that a crash ended.
func (q *Quarantine) Finish(now time.Time, run Run) {
	if !q.end(now, run, ActionFinish) {
		return
	}
	if r := q.records[run.Fingerprint]; r != nil {
		r.clear()
		if !now.Before(r.until()) {
			delete(q.records, run.Fingerprint)
		}
	}
}

func (q *Quarantine) end(now time.Time, run Run, action Action) bool {
	active, ok := q.running[run.serial]
	if !ok {
		return false
	}
	delete(q.running, run.serial)
	q.decide(now, Decision{Action: action, Fingerprint: run.Fingerprint, Marked: active.marked})
	return true
}

// Crash says that the engine crashed, and returns the outcome for each request that was running, ordered by fingerprint.
// If exactly one marked request was running, it is convicted and the others get no mark; otherwise each gets one.
func (q *Quarantine) Crash(now time.Time) []Outcome {
	marked := q.markedRuns(now)
	fps := q.runningFingerprints()
	d := Decision{Action: ActionCrash, MarkedRunning: len(marked)}
	outcomes := make([]Outcome, 0, len(fps))
	for _, fp := range fps {
		o := Outcome{Fingerprint: fp}
		switch {
		case len(marked) != 1:
			o.Mark = q.give(now, fp)
			d.Given++
		case fp == marked[0]:
			o.Mark = q.convict(now, fp)
			o.Convicted = true
			d.Fingerprint = fp
			d.Convicted = true
		default:
			d.Spared++
		}
		outcomes = append(outcomes, o)
	}
	clear(q.running)
	q.decide(now, d)
	return outcomes
}

// give marks a request as this agent's own suspect and returns its mark.
func (q *Quarantine) give(now time.Time, fp Fingerprint) int {
	mark := q.mark(now, fp) + 1
	until := now.Add(q.cfg.MarkLifetime)
	if r := q.store(now, fp, classOwn); r != nil {
		r.own = until
		r.raise(mark)
	}
	return mark
}

func (q *Quarantine) convict(now time.Time, fp Fingerprint) int {
	mark := q.mark(now, fp) + 1
	until := now.Add(q.cfg.ConvictionLifetime)
	if r := q.store(now, fp, classConvicted); r != nil {
		r.convicted = until
		r.raise(mark)
	}
	return mark
}

// refusal returns the error for a request that this agent does not run at present, or nil.
func (q *Quarantine) refusal(now time.Time, fp Fingerprint) error {
	r := q.records[fp]
	if r == nil {
		return nil
	}
	var err *judge.Error
	switch {
	case now.Before(r.convicted):
		err = judge.Refuse(judge.ReasonCrashesUpstream, "request %s crashed its engines and is not run again", fp)
		err.RetryAfter = r.convicted.Sub(now)
	case now.Before(r.own):
		err = judge.Refuse(judge.ReasonSuspect, "request %s was running when the engine of this agent crashed", fp)
		err.RetryAfter = r.own.Sub(now)
	default:
		return nil
	}
	q.refuse(now, fp, err)
	return err
}

func (q *Quarantine) refuse(now time.Time, fp Fingerprint, err *judge.Error) {
	q.decide(now, Decision{
		Action: ActionRefuse, Fingerprint: fp, Marked: true,
		Reason: err.Reason, RetryAfter: err.RetryAfter,
	})
}

// markedRuns returns the distinct marked requests that run. A mark that came by gossip during the run counts,
// since the request was then in flight at another crash too.
func (q *Quarantine) markedRuns(now time.Time) []Fingerprint {
	var fps []Fingerprint
	for _, run := range q.running {
		if run.marked || q.mark(now, run.fp) > 0 {
			fps = append(fps, run.fp)
		}
	}
	slices.Sort(fps)
	return slices.Compact(fps)
}

func (q *Quarantine) runningFingerprints() []Fingerprint {
	fps := make([]Fingerprint, 0, len(q.running))
	for _, run := range q.running {
		fps = append(fps, run.fp)
	}
	slices.Sort(fps)
	return slices.Compact(fps)
}

func (q *Quarantine) mark(now time.Time, fp Fingerprint) int {
	if r := q.records[fp]; r != nil && now.Before(r.until()) {
		return r.mark
	}
	return 0
}
