package ticketer

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"clementineramp/judge"
)

// Defaults of Config.
const (
	DefaultLifetime       = 2 * time.Minute
	DefaultHorizon        = 10 * time.Minute
	DefaultPauseGap       = time.Second
	DefaultMaxEntries     = 1 << 16
	DefaultMaxAnswerBytes = 64 << 10
	DefaultMaxBytes       = 32 << 20
)

const (
	// minSecretBytes is the least length of the secret, the length of the truncated MAC.
	minSecretBytes = macBytes
	// maxKeyBytes bounds a key, since keys are kept.
	maxKeyBytes = maxTicketBytes
	// ticketRetention is the number of lifetimes for which a closed ticket is remembered; one would suffice to
	// refuse a second run, the second one keeps the answer for callers that repeat late.
	ticketRetention = 2
	// stalenessShare is the part of the horizon for which a confirmation of the configuration counts.
	stalenessShare = 2
)

// Config configures a Ledger; zero values of the optional fields stand for the defaults.
type Config struct {
	Service string
	Agent   string
	// Incarnation differs between any two starts of the agent.
	Incarnation uint64
	// Secret authenticates tickets; it is random and lives only in this incarnation.
	Secret []byte
	// Started is the start of the incarnation on the clock from which all later times are taken.
	Started time.Time
	// Lifetime is the time for which a ticket is valid.
	Lifetime time.Duration
	// Horizon is the time after the first sending of an order within which repeats with a caller's own key arrive.
	Horizon time.Duration
	// PauseGap is the longest time between two calls of Observe that is not taken for a pause.
	PauseGap time.Duration
	// MaxEntries bounds the number of open tickets and remembered keys together.
	MaxEntries int
	// MaxAnswerBytes bounds one kept answer.
	MaxAnswerBytes int
	// MaxBytes bounds all kept answers together.
	MaxBytes int
}

func (c *Config) setDefaults() {
	setDefault(&c.Lifetime, DefaultLifetime)
	setDefault(&c.Horizon, DefaultHorizon)
	setDefault(&c.PauseGap, DefaultPauseGap)
	setDefault(&c.MaxEntries, DefaultMaxEntries)
	setDefault(&c.MaxAnswerBytes, DefaultMaxAnswerBytes)
	setDefault(&c.MaxBytes, DefaultMaxBytes)
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

func (c *Config) check() error {
	switch {
	case c.Service == "" || len(c.Service) > maxNameBytes:
		return fmt.Errorf("ledger: service has %d bytes, want 1 to %d", len(c.Service), maxNameBytes)
	case c.Agent == "" || len(c.Agent) > maxNameBytes:
		return fmt.Errorf("ledger: agent has %d bytes, want 1 to %d", len(c.Agent), maxNameBytes)
	case len(c.Secret) < minSecretBytes:
		return fmt.Errorf("ledger: secret has %d bytes, want at least %d", len(c.Secret), minSecretBytes)
	case c.Started.IsZero():
		return fmt.Errorf("ledger: start time is missing")
	case c.Lifetime < 0 || c.Horizon < 0 || c.PauseGap < 0:
		return fmt.Errorf("ledger: lifetime %v, horizon %v or pause gap %v is negative", c.Lifetime, c.Horizon, c.PauseGap)
	case c.MaxEntries < 0 || c.MaxAnswerBytes < 0 || c.MaxBytes < 0:
		return fmt.Errorf("ledger: a bound is negative")
	}
	return nil
}

// Key is the Idempotency-Key of an order within an organisation; an empty Text means that the order has none.
type Key struct {
	Organisation string
	Text         string
}

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the parts of a request, such as its method, path and body.
func DigestOf(parts ...[]byte) Digest {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(p)
	}
	return Digest(h.Sum(nil))
}

// Answer is the answer of the service to an order; it must not be changed after it was given to the ledger.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory of the answer in bytes.
func (a Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Action says what the agent does with an order.
type Action int

const (
	// Run tells the agent to run the order now, and to call Finish or Abort afterwards in any event.
	Run Action = iota + 1
	// Wait tells the agent to wait for the running first try.
	Wait
	// Replay tells the agent to give the kept answer.
	Replay
)

// String returns the name of the action in logs.
func (a Action) String() string {
	switch a {
	case Run:
		return "run"
	case Wait:
		return "wait"
	case Replay:
		return "replay"
	default:
		return fmt.Sprintf("action(%d)", int(a))
	}
}

// Decision is the outcome of Begin.
type Decision struct {
	Action Action
	// Pending is set for Wait.
	Pending *Pending
	// Answer is set for Replay.
	Answer Answer
}

// Pending is the outcome of a running order, for repeats that wait for it.
type Pending struct {
	done   chan struct{}
	answer Answer
	err    error
}

// Done returns a channel that is closed when the order has an outcome.
func (p *Pending) Done() <-chan struct{} {
	return p.done
}

// Result returns the outcome; it may be called only after Done is closed.
func (p *Pending) Result() (Answer, error) {
	return p.answer, p.err
}

// entry is what the ledger remembers of a key.
type entry struct {
	key     Key
	digest  Digest
	ticket  bool
	pending *Pending
	closed  bool
	// kept is set while pending holds an answer to give to repeats; it is the place in the order of dropping.
	kept *list.Element
	// expires is the time after the start at which a closed entry is forgotten.
	expires time.Duration
}

// reservation is an issued ticket that was not used yet.
type reservation struct {
	serial  uint64
	expires time.Duration
}

// Ledger remembers the orders of one service at one incarnation of its agent; it is safe for concurrent use.
type Ledger struct {
	cfg Config
	// hold is the active time for which an owner must have held a key, and more, before it runs an unknown one.
	// A former owner runs orders until its confirmation is stale, and each of them may be repeated for the horizon.
	hold time.Duration

	mu      sync.Mutex
	serial  uint64
	tenure  tenure
	entries map[Key]*entry
	// reserved holds the serials of issued tickets that are neither used nor expired.
	reserved map[uint64]struct{}
	issued   fifo[reservation]
	// Closed entries stand in the order of their expiry, by kind.
	closedTickets fifo[*entry]
	closedKeys    fifo[*entry]
	// kept holds the entries with a kept answer, the oldest first.
	kept      *list.List
	keptBytes int
}

// New returns an empty ledger.
func New(cfg Config) (*Ledger, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Secret = slices.Clone(cfg.Secret)
	staleness := cfg.Horizon / stalenessShare
	return &Ledger{
		cfg:      cfg,
		hold:     cfg.Horizon + staleness,
		tenure:   tenure{agent: cfg.Agent, pauseGap: cfg.PauseGap, staleness: staleness, maxGap: staleness, last: cfg.Started},
		entries:  make(map[Key]*entry),
		reserved: make(map[uint64]struct{}),
		kept:     list.New(),
	}, nil
}

// Observe counts the time of ownership; the agent calls it more often than Config.PauseGap and on each new configuration.
func (l *Ledger) Observe(now time.Time, fresh Freshness) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tenure.observe(now, fresh)
	l.expire(now)
}

// Issue returns a new ticket; it refuses one when an entry for it could not be kept.
func (l *Ledger) Issue(now time.Time) (Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if l.full() {
		err := judge.Refuse(judge.ReasonQueueFull, "the agent remembers %d orders and tickets and takes no more for now", l.cfg.MaxEntries)
		err.RetryAfter = l.untilRoom(now)
		return Ticket{}, err
	}
	l.serial++
	t := Ticket{
		Service: l.cfg.Service, Agent: l.cfg.Agent, Incarnation: l.cfg.Incarnation, Serial: l.serial,
		Issued: l.elapsed(now).Truncate(time.Millisecond),
	}
	t.MAC = t.sign(l.cfg.Secret)
	l.reserved[t.Serial] = struct{}{}
	l.issued.push(reservation{serial: t.Serial, expires: t.Issued + l.cfg.Lifetime})
	return t, nil
}

// Begin decides what the agent does with an order that it received; fresh counts only for a caller's own key.
// An error carries the verdict to give to the caller.
func (l *Ledger) Begin(now time.Time, key Key, digest Digest, fresh Freshness) (Decision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tenure.observe(now, fresh)
	l.expire(now)
	if key.Text == "" {
		return Decision{Action: Run}, nil
	}
	if e := l.entries[key]; e != nil {
		return e.repeat(digest)
	}
	ticket := IsTicket(key.Text)
	var err error
	if ticket {
		err = l.useTicket(now, key.Text)
	} else {
		err = l.checkOwn(now, key, fresh)
	}
	if err != nil {
		return Decision{}, err
	}
	l.entries[key] = &entry{
		key: key, digest: digest, ticket: ticket,
		pending: &Pending{done: make(chan struct{})},
	}
	return Decision{Action: Run}, nil
}

// repeat decides on an order whose key is known.
func (e *entry) repeat(digest Digest) (Decision, error) {
	switch {
	case e.digest != digest:
		return Decision{}, judge.Doubt(judge.ReasonKeyReused, "the key was used before with a different request; use one key for one order")
	case !e.closed:
		return Decision{Action: Wait, Pending: e.pending}, nil
	case e.kept != nil:
		return Decision{Action: Replay, Answer: e.pending.answer}, nil
	case e.pending.err != nil:
		return Decision{}, e.pending.err
	}
	return Decision{}, &judge.Error{
		Verdict: judge.Ran, Reason: judge.ReasonAnswerNotKept,
		Err: fmt.Errorf("the order ran with status %d; its answer is no longer kept", e.pending.answer.Status),
	}
}

// useTicket checks a ticket whose key is unknown and takes its reservation.
func (l *Ledger) useTicket(now time.Time, text string) error {
	t, err := ParseTicket(text)
	if err != nil {
		return judge.Doubt(judge.ReasonTicketInvalid, "%w", err)
	}
	if t.Service != l.cfg.Service {
		return judge.Doubt(judge.ReasonTicketInvalid, "the ticket is for service %q, not for %q", t.Service, l.cfg.Service)
	}
	if t.Agent != l.cfg.Agent || t.Incarnation != l.cfg.Incarnation {
		return judge.Doubt(judge.ReasonOtherIncarnation, "the ticket is of agent %q, incarnation %x; its history is lost or elsewhere", t.Agent, t.Incarnation)
	}
	if !t.authentic(l.cfg.Secret) {
		return judge.Doubt(judge.ReasonTicketInvalid, "the ticket was not issued by this agent")
	}
	if l.elapsed(now) >= t.Issued+l.cfg.Lifetime {
		return judge.Doubt(judge.ReasonTicketExpired, "the ticket is older than %v", l.cfg.Lifetime)
	}
	if _, ok := l.reserved[t.Serial]; !ok {
		return judge.Doubt(judge.ReasonTicketInvalid, "the ticket is expired or was used by another organisation")
	}
	delete(l.reserved, t.Serial)
	return nil
}

// checkOwn decides whether an unknown caller's own key may run.
func (l *Ledger) checkOwn(now time.Time, key Key, fresh Freshness) error {
	const advice = "use a ticket to be sure that an order runs"
	if len(key.Text) > maxKeyBytes {
		return judge.Doubt(judge.ReasonInvalid, "the key has %d bytes, want at most %d", len(key.Text), maxKeyBytes)
	}
	held, owner := l.tenure.held(key)
	if !owner {
		return judge.Doubt(judge.ReasonKeyUnknown, "agent %q does not own the key; %s", l.cfg.Agent, advice)
	}
	if !l.tenure.confirmedAt(now) {
		return judge.Doubt(judge.ReasonKeyUnknown, "the configuration was not confirmed within %v; %s", l.tenure.staleness, advice)
	}
	// At exactly the holding time, the last repeat of the last order of a former owner may still arrive.
	// No retry time is given: an invitation to repeat after the horizon would defeat it.
	if held <= l.hold && !l.tenure.coversHistory(now, key, fresh) {
		return judge.Doubt(judge.ReasonKeyUnknown, "the key's owner changed or started within %v; %s", l.hold, advice)
	}
	if l.full() {
		// "Not run" would have to be remembered, and there is no room for it.
		return judge.Doubt(judge.ReasonQueueFull, "the agent remembers %d orders and tickets and takes no more for now", l.cfg.MaxEntries)
	}
	return nil
}

// Finish closes a running order with the answer of the service.
func (l *Ledger) Finish(now time.Time, key Key, answer Answer) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.running(key)
	if e == nil {
		return err
	}
	e.pending.answer = answer
	l.close(now, e)
	if size := answer.size(); size <= l.cfg.MaxAnswerBytes {
		l.keep(e, size)
	} else {
		e.pending = &Pending{done: e.pending.done, answer: Answer{Status: answer.Status}}
	}
	return nil
}

// Abort closes a running order without an answer; the verdict of cause holds for ever, and a missing one is "may have run".
// Only a cause that came before any byte was sent to the service may say "not run".
func (l *Ledger) Abort(now time.Time, key Key, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.running(key)
	if e == nil {
		return err
	}
	e.pending.err = closedError(cause)
	l.close(now, e)
	return nil
}

// closedError returns the refusal that repeats of an aborted order get; a repeat cannot succeed, so it has no retry time.
func closedError(cause error) *judge.Error {
	if cause == nil {
		return judge.Doubt(judge.ReasonInternal, "the order ended without an answer")
	}
	return &judge.Error{Verdict: judge.VerdictOf(cause), Reason: judge.ReasonOf(cause), Err: causeOf(cause)}
}

// causeOf returns the cause within a judged error, so that the verdict and the reason stand once in the message.
func causeOf(err error) error {
	var e *judge.Error
	if errors.As(err, &e) && e.Err != nil {
		return e.Err
	}
	return err
}

// running returns the entry of a running order, or nil without an error for an order without a key.
func (l *Ledger) running(key Key) (*entry, error) {
	if key.Text == "" {
		return nil, nil
	}
	e := l.entries[key]
	if e == nil || e.closed {
		return nil, fmt.Errorf("order of organisation %q is not running", key.Organisation)
	}
	return e, nil
}

// close ends an order and gives its outcome to waiting repeats.
func (l *Ledger) close(now time.Time, e *entry) {
	e.closed = true
	close(e.pending.done)
	if e.ticket {
		e.expires = l.elapsed(now) + ticketRetention*l.cfg.Lifetime
		l.closedTickets.push(e)
		return
	}
	e.expires = l.elapsed(now) + l.hold
	l.closedKeys.push(e)
}

// keep keeps an answer for repeats and drops the oldest kept answers beyond the bound.
func (l *Ledger) keep(e *entry, size int) {
	e.kept = l.kept.PushBack(e)
	l.keptBytes += size
	for l.keptBytes > l.cfg.MaxBytes {
		l.dropAnswer(l.kept.Front().Value.(*entry))
	}
}

// dropAnswer forgets an answer but not that the order ran; waiting repeats still hold the old Pending.
func (l *Ledger) dropAnswer(e *entry) {
	if e.kept == nil {
		return
	}
	l.kept.Remove(e.kept)
	e.kept = nil
	l.keptBytes -= e.pending.answer.size()
	e.pending = &Pending{done: e.pending.done, answer: Answer{Status: e.pending.answer.Status}}
}

// expire forgets what is past its time; running orders stay.
func (l *Ledger) expire(now time.Time) {
	elapsed := l.elapsed(now)
	for l.issued.len() > 0 && l.issued.first().expires <= elapsed {
		delete(l.reserved, l.issued.pop().serial)
	}
	for _, closed := range [...]*fifo[*entry]{&l.closedTickets, &l.closedKeys} {
		for closed.len() > 0 && closed.first().expires <= elapsed {
			e := closed.pop()
			l.dropAnswer(e)
			delete(l.entries, e.key)
		}
	}
}

// elapsed returns the time since the start, paused time included.
func (l *Ledger) elapsed(now time.Time) time.Duration {
	return now.Sub(l.cfg.Started)
}

func (l *Ledger) full() bool {
	return len(l.entries)+len(l.reserved) >= l.cfg.MaxEntries
}

// untilRoom returns the time until the next ticket or closed order is forgotten, or zero if none is known.
func (l *Ledger) untilRoom(now time.Time) time.Duration {
	next := time.Duration(-1)
	consider := func(expires time.Duration) {
		if next < 0 || expires < next {
			next = expires
		}
	}
	if l.issued.len() > 0 {
		consider(l.issued.first().expires)
	}
	if l.closedTickets.len() > 0 {
		consider(l.closedTickets.first().expires)
	}
	if l.closedKeys.len() > 0 {
		consider(l.closedKeys.first().expires)
	}
	return max(0, next-l.elapsed(now))
}

// Len returns the number of open tickets and remembered keys.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries) + len(l.reserved)
}

// WithoutHistory returns the refusal of an order with a key by a party that does not know the key's history:
// "not run" becomes "may have run", since an earlier try with the key may have run.
func WithoutHistory(err error) error {
	if judge.VerdictOf(err) != judge.NotRun {
		return err
	}
	doubt := &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonOf(err), Err: causeOf(err)}
	var e *judge.Error
	if errors.As(err, &e) {
		doubt.RetryAfter = e.RetryAfter
	}
	return doubt
}
