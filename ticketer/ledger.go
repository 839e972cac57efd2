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

// The defaults of the optional fields of Config.
const (
	DefaultLifetime         = 2 * time.Minute
	DefaultHorizon          = 10 * time.Minute
	DefaultPauseGap         = time.Second
	DefaultMaxEntries       = 1 << 16
	DefaultMaxResponseBytes = 64 << 10
	DefaultMaxBytes         = 32 << 20
)

const (
	// minSecretBytes is the minimum length of the secret, equal to that of the truncated MAC.
	minSecretBytes = macBytes
	// maxKeyBytes bounds the length of a key, since the ledger stores keys.
	maxKeyBytes = maxTicketBytes
	// ticketRetention is the number of ticket lifetimes for which a closed order with a ticket is kept. One would suffice
	// to refuse a second run; the second one keeps the response for callers that retry late.
	ticketRetention = 2
	// stalenessDivisor is the divisor of the horizon that gives the time after which a confirmation of the configuration
	// is stale.
	stalenessDivisor = 2
)

// Config holds the settings of a Ledger. The fields from Lifetime on are optional; zero stands for the default.
type Config struct {
	Service string
	Agent   string
	// Incarnation is different for each start of the agent.
	Incarnation uint64
	// Secret is the key of the MAC of tickets. It is random, at least 16 bytes, and exists only in this incarnation.
	Secret []byte
	// Started is the start time of the incarnation, by the clock that gives the times of all calls.
	Started time.Time
	// Lifetime is how long a ticket is valid after its issue; the default is 2 min.
	Lifetime time.Duration
	// Horizon is the time after the first sending of an order within which all retries with a caller's own key arrive; the
	// default is 10 min.
	Horizon time.Duration
	// PauseGap is the longest time between two calls of Observe that is not taken for a pause of the process; the default
	// is 1 s.
	PauseGap time.Duration
	// MaxEntries bounds the number of unused tickets and stored keys together; the default is 65,536.
	MaxEntries int
	// MaxResponseBytes bounds the size of one stored response; the default is 64 KiB.
	MaxResponseBytes int
	// MaxBytes bounds the total size of all stored responses; the default is 32 MiB.
	MaxBytes int
}

func (c *Config) setDefaults() {
	setDefault(&c.Lifetime, DefaultLifetime)
	setDefault(&c.Horizon, DefaultHorizon)
	setDefault(&c.PauseGap, DefaultPauseGap)
	setDefault(&c.MaxEntries, DefaultMaxEntries)
	setDefault(&c.MaxResponseBytes, DefaultMaxResponseBytes)
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
	case c.MaxEntries < 0 || c.MaxResponseBytes < 0 || c.MaxBytes < 0:
		return fmt.Errorf("ledger: maximum of entries, response bytes or total bytes is negative")
	}
	return nil
}

// Key is the Idempotency-Key of an order within an organisation; an empty Text means that the order has none.
type Key struct {
	Organisation string
	Text         string
}

// Digest is a SHA-256 hash that identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of the parts of a request, such as its method, path and body. The length of each part is
// hashed too, so that moving bytes between parts changes the digest.
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

// Response is the HTTP response of the service to an order; it must not be modified after it was passed to the ledger.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory that the response occupies, in bytes.
func (a Response) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Action is what the agent must do with an order that Begin accepted.
type Action int

const (
	// Run means that the agent must run the order now, and call Finish or Abort afterwards in every case.
	Run Action = iota + 1
	// Wait means that the agent must wait for the first attempt, which is still running.
	Wait
	// Replay means that the agent must return the stored response.
	Replay
)

// String returns the name of the action in log lines.
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

// Decision is the result of Begin.
type Decision struct {
	Action Action
	// Pending is set for Wait, nil otherwise.
	Pending *Pending
	// Response is set for Replay, zero otherwise.
	Response Response
}

// Pending is the future outcome of a running order, for retries that wait for it.
type Pending struct {
	done     chan struct{}
	response Response
	err      error
}

// Done returns a channel that is closed once the order has ended.
func (p *Pending) Done() <-chan struct{} {
	return p.done
}

// Result returns the outcome of the order: its response, or the error to return to the caller. It may be called only
// after Done is closed.
func (p *Pending) Result() (Response, error) {
	return p.response, p.err
}

// entry is the record of an order with a key.
type entry struct {
	key     Key
	digest  Digest
	ticket  bool
	pending *Pending
	closed  bool
	// kept is the element of Ledger.kept while pending holds a response for retries, nil otherwise.
	kept *list.Element
	// expires is the time at which a closed entry is removed, counted from the start of the incarnation.
	expires time.Duration
}

// reservation is an issued ticket; its expiry counts from the start of the incarnation.
type reservation struct {
	serial  uint64
	expires time.Duration
}

// Ledger records the orders of one service at one incarnation of its agent, in memory. It is safe for concurrent use.
type Ledger struct {
	cfg Config
	// minOwned is the active time that an ownership must exceed before the agent runs an order whose key has no record. A
	// former owner runs orders until its confirmation is stale, and each may be retried within the horizon.
	minOwned time.Duration

	mu        sync.Mutex
	serial    uint64
	ownership ownership
	entries   map[Key]*entry
	// reserved holds the serials of the issued tickets that are neither used nor expired.
	reserved map[uint64]struct{}
	issued   fifo[reservation]
	// closedTickets and closedKeys hold the closed entries in the order of their expiry; each kind has a lifetime of its own.
	closedTickets fifo[*entry]
	closedKeys    fifo[*entry]
	// kept lists the entries with a stored response, the oldest first.
	kept      *list.List
	keptBytes int
}

// New returns an empty ledger, or an error if a field of the configuration is missing or out of range.
func New(cfg Config) (*Ledger, error) {
	cfg.setDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	cfg.Secret = slices.Clone(cfg.Secret)
	staleness := cfg.Horizon / stalenessDivisor
	return &Ledger{
		cfg:       cfg,
		minOwned:  cfg.Horizon + staleness,
		ownership: ownership{agent: cfg.Agent, pauseGap: cfg.PauseGap, staleness: staleness, maxGap: staleness, lastObserved: cfg.Started},
		entries:   make(map[Key]*entry),
		reserved:  make(map[uint64]struct{}),
		kept:      list.New(),
	}, nil
}

// Observe updates the duration of ownerships. The agent must call it at intervals shorter than Config.PauseGap, and on each
// new configuration.
func (l *Ledger) Observe(now time.Time, state ConfigurationState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownership.observe(now, state)
	l.expire(now)
}

// Issue returns a new ticket. If MaxEntries is reached, it returns a refusal with a retry delay instead, since the order
// with the ticket could not be stored.
func (l *Ledger) Issue(now time.Time) (Ticket, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if l.full() {
		err := judge.Refuse(judge.ReasonQueueFull, "the agent remembers %d orders and tickets and takes no more for now", l.cfg.MaxEntries)
		err.RetryAfter = l.timeToNextExpiry(now)
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

// Begin decides what the agent does with an order that it received; state matters only for a caller's own key.
// The error of a refused order holds the verdict to return to the caller.
func (l *Ledger) Begin(now time.Time, key Key, digest Digest, state ConfigurationState) (Decision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ownership.observe(now, state)
	l.expire(now)
	if key.Text == "" {
		return Decision{Action: Run}, nil
	}
	if e := l.entries[key]; e != nil {
		return e.decideRetry(digest)
	}
	ticket := IsTicket(key.Text)
	var err error
	if ticket {
		err = l.redeemTicket(now, key.Text)
	} else {
		err = l.checkCallerKey(now, key, state)
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

// decideRetry decides on an order whose key has an entry.
func (e *entry) decideRetry(digest Digest) (Decision, error) {
	switch {
	case e.digest != digest:
		return Decision{}, judge.Uncertain(judge.ReasonKeyReused, "the key was used before with a different request; use one key for one order")
	case !e.closed:
		return Decision{Action: Wait, Pending: e.pending}, nil
	case e.kept != nil:
		return Decision{Action: Replay, Response: e.pending.response}, nil
	case e.pending.err != nil:
		return Decision{}, e.pending.err
	}
	return Decision{}, &judge.Error{
		Verdict: judge.Ran, Reason: judge.ReasonAnswerNotKept,
		Err: fmt.Errorf("the order ran with status %d; its answer is no longer kept", e.pending.response.Status),
	}
}

// redeemTicket checks a ticket that has no entry and removes its reservation.
func (l *Ledger) redeemTicket(now time.Time, text string) error {
	t, err := ParseTicket(text)
	if err != nil {
		return judge.Uncertain(judge.ReasonTicketInvalid, "%w", err)
	}
	if t.Service != l.cfg.Service {
		return judge.Uncertain(judge.ReasonTicketInvalid, "the ticket is for service %q, not for %q", t.Service, l.cfg.Service)
	}
	if t.Agent != l.cfg.Agent || t.Incarnation != l.cfg.Incarnation {
		return judge.Uncertain(judge.ReasonOtherIncarnation, "the ticket is of agent %q, incarnation %x; its history is lost or elsewhere", t.Agent, t.Incarnation)
	}
	if !t.authentic(l.cfg.Secret) {
		return judge.Uncertain(judge.ReasonTicketInvalid, "the ticket was not issued by this agent")
	}
	if l.elapsed(now) >= t.Issued+l.cfg.Lifetime {
		return judge.Uncertain(judge.ReasonTicketExpired, "the ticket is older than %v", l.cfg.Lifetime)
	}
	if _, ok := l.reserved[t.Serial]; !ok {
		return judge.Uncertain(judge.ReasonTicketInvalid, "the ticket is expired or was used by another organisation")
	}
	delete(l.reserved, t.Serial)
	return nil
}

// checkCallerKey returns nil if an order with a caller's own key that has no entry may run, or the refusal.
func (l *Ledger) checkCallerKey(now time.Time, key Key, state ConfigurationState) error {
	const advice = "use a ticket to be sure that an order runs"
	if len(key.Text) > maxKeyBytes {
		return judge.Uncertain(judge.ReasonInvalid, "the key has %d bytes, want at most %d", len(key.Text), maxKeyBytes)
	}
	owned, owner := l.ownership.owned(key)
	if !owner {
		return judge.Uncertain(judge.ReasonKeyUnknown, "agent %q does not own the key; %s", l.cfg.Agent, advice)
	}
	if !l.ownership.confirmedAt(now) {
		return judge.Uncertain(judge.ReasonKeyUnknown, "the configuration was not confirmed within %v; %s", l.ownership.staleness, advice)
	}
	// At exactly minOwned, the last retry of the last order of a former owner may still arrive.
	// The refusal has no retry delay: inviting a retry after the horizon would defeat the check.
	if owned <= l.minOwned && !l.ownership.coversKeyHistory(now, key, state) {
		return judge.Uncertain(judge.ReasonKeyUnknown, "the key's owner changed or started within %v; %s", l.minOwned, advice)
	}
	if l.full() {
		// The verdict "not run" would have to be stored, and there is no room for it.
		return judge.Uncertain(judge.ReasonQueueFull, "the agent remembers %d orders and tickets and takes no more for now", l.cfg.MaxEntries)
	}
	return nil
}

// Finish closes a running order with the response of the service. It returns an error if no order with the key is running,
// and does nothing for an order without a key.
func (l *Ledger) Finish(now time.Time, key Key, response Response) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.running(key)
	if e == nil {
		return err
	}
	e.pending.response = response
	l.close(now, e)
	if size := response.size(); size <= l.cfg.MaxResponseBytes {
		l.keepResponse(e, size)
	} else {
		e.pending = &Pending{done: e.pending.done, response: Response{Status: response.Status}}
	}
	return nil
}

// Abort closes a running order without a response. The verdict of cause is final; without a verdict it is "may have run".
// Only a cause from before the first byte was sent to the service may have the verdict "not run". Its errors are those of
// Finish.
func (l *Ledger) Abort(now time.Time, key Key, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, err := l.running(key)
	if e == nil {
		return err
	}
	e.pending.err = abortError(cause)
	l.close(now, e)
	return nil
}

// abortError returns the refusal for retries of an aborted order. It has no retry delay, since no retry can succeed.
func abortError(cause error) *judge.Error {
	if cause == nil {
		return judge.Uncertain(judge.ReasonInternal, "the order ended without an answer")
	}
	return &judge.Error{Verdict: judge.VerdictOf(cause), Reason: judge.ReasonOf(cause), Err: causeOf(cause)}
}

// causeOf returns the error that a judge.Error wraps, so that the verdict and the reason appear only once in the message.
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

// close marks an order as ended and wakes the retries that wait for its outcome.
func (l *Ledger) close(now time.Time, e *entry) {
	e.closed = true
	close(e.pending.done)
	if e.ticket {
		e.expires = l.elapsed(now) + ticketRetention*l.cfg.Lifetime
		l.closedTickets.push(e)
		return
	}
	e.expires = l.elapsed(now) + l.minOwned
	l.closedKeys.push(e)
}

// keepResponse stores a response for retries, and drops the oldest stored responses while MaxBytes is exceeded.
func (l *Ledger) keepResponse(e *entry, size int) {
	e.kept = l.kept.PushBack(e)
	l.keptBytes += size
	for l.keptBytes > l.cfg.MaxBytes {
		l.dropResponse(l.kept.Front().Value.(*entry))
	}
}

// dropResponse removes a stored response but not the record that the order ran; waiting retries still hold the old Pending.
func (l *Ledger) dropResponse(e *entry) {
	if e.kept == nil {
		return
	}
	l.kept.Remove(e.kept)
	e.kept = nil
	l.keptBytes -= e.pending.response.size()
	e.pending = &Pending{done: e.pending.done, response: Response{Status: e.pending.response.Status}}
}

// expire removes expired reservations and closed entries; running orders stay.
func (l *Ledger) expire(now time.Time) {
	elapsed := l.elapsed(now)
	for l.issued.len() > 0 && l.issued.first().expires <= elapsed {
		delete(l.reserved, l.issued.pop().serial)
	}
	for _, closed := range [...]*fifo[*entry]{&l.closedTickets, &l.closedKeys} {
		for closed.len() > 0 && closed.first().expires <= elapsed {
			e := closed.pop()
			l.dropResponse(e)
			delete(l.entries, e.key)
		}
	}
}

// elapsed returns the time since the start of the incarnation, including paused time.
func (l *Ledger) elapsed(now time.Time) time.Duration {
	return now.Sub(l.cfg.Started)
}

func (l *Ledger) full() bool {
	return len(l.entries)+len(l.reserved) >= l.cfg.MaxEntries
}

// timeToNextExpiry returns the time until the next reservation or closed entry expires, or zero if there is none.
func (l *Ledger) timeToNextExpiry(now time.Time) time.Duration {
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

// Len returns the number of unused tickets and stored keys, which Config.MaxEntries bounds.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries) + len(l.reserved)
}

// WithoutHistory converts the refusal of an order with a key by a process that does not have the key's history:
// the verdict "not run" becomes "may have run", since an earlier attempt with the key may have run.
// It returns an error with another verdict unchanged.
func WithoutHistory(err error) error {
	if judge.VerdictOf(err) != judge.NotRun {
		return err
	}
	uncertain := &judge.Error{Verdict: judge.MayHaveRun, Reason: judge.ReasonOf(err), Err: causeOf(err)}
	var e *judge.Error
	if errors.As(err, &e) {
		uncertain.RetryAfter = e.RetryAfter
	}
	return uncertain
}
