package quarantiner

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"clementineramp/judge"
)

const (
	// defaultMarkLifetime covers the attempts of a caller that retries with backoff.
	defaultMarkLifetime = time.Minute
	// defaultBlockLifetime is how long a request that crashed two engines is refused.
	defaultBlockLifetime = 5 * time.Minute
	// defaultMaxMarks suffices for 16 crashes of an engine that runs batches of 256 requests.
	defaultMaxMarks = 4096
	// defaultGossipMargin is longer than an exchange takes. Each hop subtracts it from the remaining
	// lifetime, so that an entry that peers forward in a cycle expires.
	defaultGossipMargin = time.Second
	// maxMark bounds stored marks, since routers and peers may send any number.
	maxMark = 1000
	// busyRetryAfter is the retry delay while another suspect request runs, whose end cannot be predicted.
	busyRetryAfter = time.Second
)

// ErrSuspectRunning is wrapped by the error of Begin when another suspect request is running; the request may stay queued.
var ErrSuspectRunning = errors.New("another marked request is running")

// Fingerprint identifies a request by a hash of its organisation and content.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (fp Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(fp))
}

// Config holds the settings of a Quarantine; values that are not positive stand for the defaults.
type Config struct {
	// MarkLifetime is how long a mark is kept; the default is 60 s.
	MarkLifetime time.Duration
	// BlockLifetime is how long a blocked request is refused; the default is 5 min.
	BlockLifetime time.Duration
	// MaxMarks bounds the number of requests that are suspect or blocked; the default is 4096.
	MaxMarks int
	// GossipMargin is subtracted from the remaining lifetime of each entry that is sent; the default is 1 s.
	GossipMargin time.Duration
}

// Run identifies one run of a request in the engine, from Begin to Finish, Abort or Crash.
type Run struct {
	Fingerprint Fingerprint
	// serial distinguishes runs of the same request: a run that a crash interrupted may end after a newer one has begun.
	serial uint64
}

// Outcome is the effect of a crash on one request that was running.
type Outcome struct {
	Fingerprint Fingerprint
	// Mark is the mark to return to the router, or 0 if the request got no mark at this crash.
	Mark int
	// Blocked reports whether the request is refused from now on, until Config.BlockLifetime has passed.
	Blocked bool
}

type activeRun struct {
	fp      Fingerprint
	suspect bool
}

// Quarantine holds the suspect and blocked requests of one agent, and its running requests.
type Quarantine struct {
	cfg     Config
	records map[Fingerprint]*record
	running map[uint64]activeRun
	serial  uint64
	// expiredRemoved is the time at which expired records were last removed.
	expiredRemoved time.Time
	dropped        int
	decision       Decision
}

// New returns a Quarantine without marks or running requests.
func New(cfg Config) *Quarantine {
	if cfg.MarkLifetime <= 0 {
		cfg.MarkLifetime = defaultMarkLifetime
	}
	if cfg.BlockLifetime <= 0 {
		cfg.BlockLifetime = defaultBlockLifetime
	}
	if cfg.MaxMarks <= 0 {
		cfg.MaxMarks = defaultMaxMarks
	}
	if cfg.GossipMargin <= 0 {
		cfg.GossipMargin = defaultGossipMargin
	}
	return &Quarantine{cfg: cfg, records: map[Fingerprint]*record{}, running: map[uint64]activeRun{}}
}

// Admit decides whether a request may enter the queue, given the mark that its router sent with it (0 if none), and
// reports whether it must run as a suspect one. It refuses a blocked request, and one that this agent itself marked.
func (q *Quarantine) Admit(now time.Time, fp Fingerprint, mark int) (suspect bool, err error) {
	if err := q.refusal(now, fp); err != nil {
		return true, err
	}
	if mark > 0 && q.mark(now, fp) == 0 {
		// A mark that has not expired is not extended, so that retries do not keep a request suspect for ever.
		if r := q.recordFor(now, fp, classRemote); r != nil {
			r.fromRouterUntil = now.Add(q.cfg.MarkLifetime)
			r.raiseMark(mark)
		}
	}
	suspect = mark > 0 || q.mark(now, fp) > 0
	q.setDecision(now, Decision{Action: ActionAdmit, Fingerprint: fp, Suspect: suspect})
	return suspect, nil
}

// Mark returns the mark of a request, which the router gets with a refusal or failure; 0 means that it has none.
func (q *Quarantine) Mark(now time.Time, fp Fingerprint) int {
	return q.mark(now, fp)
}

// Begin registers a run of a request that is about to go to the engine. suspect is the result of Admit, which still applies
// if the mark expired in the queue. Begin refuses what Admit would refuse now, and a suspect request while another one
// runs (ErrSuspectRunning).
func (q *Quarantine) Begin(now time.Time, fp Fingerprint, suspect bool) (Run, error) {
	if err := q.refusal(now, fp); err != nil {
		return Run{}, err
	}
	suspect = suspect || q.mark(now, fp) > 0
	if suspect && len(q.suspectRequests(now)) > 0 {
		err := judge.Refuse(judge.ReasonSuspect, "request %s: %w", fp, ErrSuspectRunning)
		err.RetryAfter = busyRetryAfter
		q.setRefusal(now, fp, err)
		return Run{}, err
	}
	q.serial++
	q.running[q.serial] = activeRun{fp, suspect}
	q.setDecision(now, Decision{Action: ActionBegin, Fingerprint: fp, Suspect: suspect})
	return Run{fp, q.serial}, nil
}

// Abort ends a run that gave no complete answer, for example because its caller disconnected; the marks of the request stay.
// It has no effect on a run that a crash ended.
func (q *Quarantine) Abort(now time.Time, run Run) {
	q.end(now, run, ActionAbort)
}

// Finish ends a run that gave its complete answer, and removes the marks of the request at this agent; a block stays.
// It has no effect on a run that a crash ended.
func (q *Quarantine) Finish(now time.Time, run Run) {
	if !q.end(now, run, ActionFinish) {
		return
	}
	if r := q.records[run.Fingerprint]; r != nil {
		r.clear()
		if !now.Before(r.expiry()) {
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
	q.setDecision(now, Decision{Action: action, Fingerprint: run.Fingerprint, Suspect: active.suspect})
	return true
}

// Crash registers a crash of the engine, which ends all runs. It returns an outcome for each request that was running, in
// the order of the fingerprints. If exactly one suspect request was running, that one is blocked and the others get
// no mark; otherwise the mark of each is raised by one.
func (q *Quarantine) Crash(now time.Time) []Outcome {
	suspects := q.suspectRequests(now)
	fps := q.runningRequests()
	d := Decision{Action: ActionCrash, SuspectsRunning: len(suspects)}
	outcomes := make([]Outcome, 0, len(fps))
	for _, fp := range fps {
		o := Outcome{Fingerprint: fp}
		switch {
		case len(suspects) != 1:
			o.Mark = q.addMark(now, fp)
			d.MarksAdded++
		case fp == suspects[0]:
			o.Mark = q.block(now, fp)
			o.Blocked = true
			d.Fingerprint = fp
			d.Blocked = true
		default:
			d.Unmarked++
		}
		outcomes = append(outcomes, o)
	}
	clear(q.running)
	q.setDecision(now, d)
	return outcomes
}

// addMark raises the mark of a request by one, makes this agent refuse it, and returns the mark.
// The mark is returned even if MaxMarks leaves no room to store it, since the router sends it to the next agent.
func (q *Quarantine) addMark(now time.Time, fp Fingerprint) int {
	mark := q.mark(now, fp) + 1
	until := now.Add(q.cfg.MarkLifetime)
	if r := q.recordFor(now, fp, classLocal); r != nil {
		r.localUntil = until
		r.raiseMark(mark)
	}
	return mark
}

func (q *Quarantine) block(now time.Time, fp Fingerprint) int {
	mark := q.mark(now, fp) + 1
	until := now.Add(q.cfg.BlockLifetime)
	if r := q.recordFor(now, fp, classBlocked); r != nil {
		r.blockedUntil = until
		r.raiseMark(mark)
	}
	return mark
}

// refusal returns the error for a request that this agent refuses at present, or nil.
func (q *Quarantine) refusal(now time.Time, fp Fingerprint) error {
	r := q.records[fp]
	if r == nil {
		return nil
	}
	var err *judge.Error
	switch {
	case now.Before(r.blockedUntil):
		err = judge.Refuse(judge.ReasonCrashesUpstream, "request %s crashed its engines and is not run again", fp)
		err.RetryAfter = r.blockedUntil.Sub(now)
	case now.Before(r.localUntil):
		err = judge.Refuse(judge.ReasonSuspect, "request %s was running when the engine of this agent crashed", fp)
		err.RetryAfter = r.localUntil.Sub(now)
	default:
		return nil
	}
	q.setRefusal(now, fp, err)
	return err
}

func (q *Quarantine) setRefusal(now time.Time, fp Fingerprint, err *judge.Error) {
	q.setDecision(now, Decision{
		Action: ActionRefuse, Fingerprint: fp, Suspect: true,
		Reason: err.Reason, RetryAfter: err.RetryAfter,
	})
}

// suspectRequests returns the distinct suspect requests that are running. A mark that arrived by gossip during the run
// counts, since it means that the request was also running at another crash.
func (q *Quarantine) suspectRequests(now time.Time) []Fingerprint {
	var fps []Fingerprint
	for _, run := range q.running {
		if run.suspect || q.mark(now, run.fp) > 0 {
			fps = append(fps, run.fp)
		}
	}
	slices.Sort(fps)
	return slices.Compact(fps)
}

func (q *Quarantine) runningRequests() []Fingerprint {
	fps := make([]Fingerprint, 0, len(q.running))
	for _, run := range q.running {
		fps = append(fps, run.fp)
	}
	slices.Sort(fps)
	return slices.Compact(fps)
}

func (q *Quarantine) mark(now time.Time, fp Fingerprint) int {
	if r := q.records[fp]; r != nil && now.Before(r.expiry()) {
		return r.mark
	}
	return 0
}
