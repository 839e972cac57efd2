package ticketer_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/judge"
	"clementineramp/ticketer"
)

var (
	digest = ticketer.DigestOf([]byte("POST"), []byte("/orders"), []byte("{}"))
	ok200  = ticketer.Response{Status: http.StatusOK, Body: []byte("done")}
)

func config() ticketer.Config {
	return ticketer.Config{Service: "s", Agent: "a", Incarnation: 7, Secret: []byte("0123456789abcdef"), Started: epoch}
}

func newLedger(t require.TestingT, cfg ticketer.Config) *ticketer.Ledger {
	l, err := ticketer.New(cfg)
	require.NoError(t, err)
	return l
}

func issue(t require.TestingT, l *ticketer.Ledger, now time.Time) ticketer.Key {
	ticket, err := l.Issue(now)
	require.NoError(t, err)
	return ticketer.Key{Organisation: "o", Text: ticket.String()}
}

// observe lets the ledger observe one configuration, freshly confirmed each second, for a duration and returns its end.
func observe(l *ticketer.Ledger, from time.Time, d time.Duration, workers ...string) time.Time {
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(time.Second) {
		l.Observe(now, ticketer.ConfigurationState{Workers: workers, Confirmed: now})
	}
	return now
}

func requireRefused(t require.TestingT, err error, verdict judge.Verdict, reason judge.Reason) {
	require.Error(t, err)
	require.Equal(t, verdict, judge.VerdictOf(err), "%v", err)
	require.Equal(t, reason, judge.ReasonOf(err), "%v", err)
}

// Guards against settings that make tickets forgeable or memory unbounded.
func TestNewRefuses(t *testing.T) {
	tests := []struct {
		want   string
		change func(*ticketer.Config)
	}{
		{"service", func(c *ticketer.Config) { c.Service = "" }},
		{"agent", func(c *ticketer.Config) { c.Agent = strings.Repeat("a", 129) }},
		{"secret", func(c *ticketer.Config) { c.Secret = c.Secret[:8] }},
		{"start time", func(c *ticketer.Config) { c.Started = time.Time{} }},
		{"negative", func(c *ticketer.Config) { c.Lifetime = -1 }},
		{"maximum", func(c *ticketer.Config) { c.MaxEntries = -1 }},
	}
	for _, tt := range tests {
		cfg := config()
		tt.change(&cfg)
		_, err := ticketer.New(cfg)
		require.ErrorContains(t, err, tt.want)
	}
}

func TestTicketRunsOnceAndReplays(t *testing.T) {
	l := newLedger(t, config())
	key := issue(t, l, epoch)
	first, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
	require.NoError(t, err)
	require.Equal(t, ticketer.Run, first.Action)

	second, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
	require.NoError(t, err)
	require.Equal(t, ticketer.Wait, second.Action)
	require.NoError(t, l.Finish(epoch, key, ok200))
	<-second.Pending.Done()
	response, err := second.Pending.Result()
	require.NoError(t, err)
	require.Equal(t, ok200, response)

	// The ticket has expired, but the response is still stored.
	third, err := l.Begin(epoch.Add(3*time.Minute), key, digest, ticketer.ConfigurationState{})
	require.NoError(t, err)
	require.Equal(t, ticketer.Decision{Action: ticketer.Replay, Response: ok200}, third)
	require.Error(t, l.Finish(epoch, key, ok200))
	require.Error(t, l.Abort(epoch, key, errBroken))
}

// Guards against running an order by its ticket at an agent, or at a time, that has no history of the ticket.
func TestTicketRefused(t *testing.T) {
	tests := []struct {
		name   string
		change func(*ticketer.Config)
		after  time.Duration
		reason judge.Reason
	}{
		{"expired", func(*ticketer.Config) {}, 2 * time.Minute, judge.ReasonTicketExpired},
		{"expired long ago", func(*ticketer.Config) {}, time.Hour, judge.ReasonTicketExpired},
		{"other incarnation", func(c *ticketer.Config) { c.Incarnation++ }, 0, judge.ReasonOtherIncarnation},
		{"other agent", func(c *ticketer.Config) { c.Agent = "b" }, 0, judge.ReasonOtherIncarnation},
		{"other service", func(c *ticketer.Config) { c.Service = "t" }, 0, judge.ReasonTicketInvalid},
		{"other secret", func(c *ticketer.Config) { c.Secret = []byte("fedcba9876543210") }, 0, judge.ReasonTicketInvalid},
		{"not reserved", func(*ticketer.Config) {}, 0, judge.ReasonTicketInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			key := issue(t, newLedger(t, config()), epoch)
			cfg := config()
			tt.change(&cfg)
			_, err := newLedger(t, cfg).Begin(epoch.Add(tt.after), key, digest, ticketer.ConfigurationState{})
			requireRefused(t, err, judge.MayHaveRun, tt.reason)
		})
	}
}

// Guards against a forged ticket: after a change of any field the MAC must be invalid.
func TestForgedTicketRefused(t *testing.T) {
	l := newLedger(t, config())
	ticket, err := l.Issue(epoch)
	require.NoError(t, err)
	for _, forge := range []func(*ticketer.Ticket){
		func(f *ticketer.Ticket) { f.Serial = 2 },
		func(f *ticketer.Ticket) { f.Issued += time.Minute },
		func(f *ticketer.Ticket) { f.MAC = make([]byte, 16) },
	} {
		forged := ticket
		forge(&forged)
		key := ticketer.Key{Organisation: "o", Text: forged.String()}
		_, err = l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
		requireRefused(t, err, judge.MayHaveRun, judge.ReasonTicketInvalid)
	}
	_, err = l.Begin(epoch, ticketer.Key{Organisation: "o", Text: "cr1-x"}, digest, ticketer.ConfigurationState{})
	requireRefused(t, err, judge.MayHaveRun, judge.ReasonTicketInvalid)
}

// Guards against one organisation using the ticket of another to run the order or read its response.
func TestKeysScopedByOrganisation(t *testing.T) {
	l := newLedger(t, config())
	key := issue(t, l, epoch)
	_, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
	require.NoError(t, err)
	require.NoError(t, l.Finish(epoch, key, ok200))
	key.Organisation = "p"
	_, err = l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
	requireRefused(t, err, judge.MayHaveRun, judge.ReasonTicketInvalid)
}

func TestOtherRequestWithSameKeyRefused(t *testing.T) {
	l := newLedger(t, config())
	key := issue(t, l, epoch)
	_, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
	require.NoError(t, err)
	_, err = l.Begin(epoch, key, ticketer.DigestOf([]byte("other")), ticketer.ConfigurationState{})
	requireRefused(t, err, judge.MayHaveRun, judge.ReasonKeyReused)
	require.NotEqual(t, ticketer.DigestOf([]byte("ab"), []byte("c")), ticketer.DigestOf([]byte("a"), []byte("bc")))
}

// Guards against a closed order that runs later, or whose verdict changes.
func TestAbortClosesForEver(t *testing.T) {
	tests := []struct {
		name    string
		cause   error
		verdict judge.Verdict
		reason  judge.Reason
	}{
		{"refused", errQueue, judge.NotRun, judge.ReasonQueueFull},
		{"broken", errBroken, judge.MayHaveRun, judge.ReasonBroken},
		{"unclassified", errors.New("x"), judge.MayHaveRun, judge.ReasonInternal},
		{"no cause", nil, judge.MayHaveRun, judge.ReasonInternal},
		{"response lost", &judge.Error{Verdict: judge.Ran, Reason: judge.ReasonBroken}, judge.Ran, judge.ReasonBroken},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLedger(t, config())
			key := issue(t, l, epoch)
			_, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
			require.NoError(t, err)
			waiting, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
			require.NoError(t, err)
			require.NoError(t, l.Abort(epoch, key, tt.cause))
			<-waiting.Pending.Done()
			_, err = waiting.Pending.Result()
			requireRefused(t, err, tt.verdict, tt.reason)
			for _, after := range []time.Duration{0, time.Minute, 3 * time.Minute} {
				_, err = l.Begin(epoch.Add(after), key, digest, ticketer.ConfigurationState{})
				requireRefused(t, err, tt.verdict, tt.reason)
			}
			// When the entry is removed, the ticket has long expired.
			_, err = l.Begin(epoch.Add(time.Hour), key, digest, ticketer.ConfigurationState{})
			requireRefused(t, err, judge.MayHaveRun, judge.ReasonTicketExpired)
		})
	}
}

// Guards against a second run at an owner that does not have the key's history.
func TestOwnKey(t *testing.T) {
	key := ticketer.Key{Organisation: "o", Text: "k"}
	state := func(now time.Time, workers ...string) ticketer.ConfigurationState {
		return ticketer.ConfigurationState{Workers: workers, Confirmed: now}
	}
	tests := []struct {
		name  string
		begin func(*ticketer.Ledger) error
		runs  bool
	}{
		{"owned long enough", func(l *ticketer.Ledger) error {
			now := observe(l, epoch, 16*time.Minute, "a")
			_, err := l.Begin(now, key, digest, state(now, "a"))
			return err
		}, true},
		{"owned for exactly the required time", func(l *ticketer.Ledger) error {
			now := observe(l, epoch, 15*time.Minute, "a")
			_, err := l.Begin(now, key, digest, state(now, "a"))
			return err
		}, false},
		{"owned for one horizon only", func(l *ticketer.Ledger) error {
			now := observe(l, epoch, 10*time.Minute, "a")
			_, err := l.Begin(now, key, digest, state(now, "a"))
			return err
		}, false},
		{"paused time does not count", func(l *ticketer.Ledger) error {
			now := observe(l, epoch, 14*time.Minute, "a").Add(2 * time.Minute)
			_, err := l.Begin(now, key, digest, state(now, "a"))
			return err
		}, false},
		{"not the owner", func(l *ticketer.Ledger) error {
			now := observe(l, epoch, 20*time.Minute, "b")
			_, err := l.Begin(now, key, digest, state(now, "b"))
			return err
		}, false},
		{"ownership restarts with a change", func(l *ticketer.Ledger) error {
			now := observe(l, epoch, 20*time.Minute, "a")
			now = observe(l, now, time.Second, "b")
			now = observe(l, now, 14*time.Minute, "a")
			_, err := l.Begin(now, key, digest, state(now, "a"))
			return err
		}, false},
		{"configuration confirmed recently enough", func(l *ticketer.Ledger) error {
			now := observe(l, epoch, 16*time.Minute, "a")
			_, err := l.Begin(now.Add(5*time.Minute), key, digest, state(now, "a"))
			return err
		}, true},
		{"stale configuration", func(l *ticketer.Ledger) error {
			now := observe(l, epoch, 16*time.Minute, "a")
			_, err := l.Begin(now.Add(5*time.Minute+time.Second), key, digest, state(now, "a"))
			return err
		}, false},
		{"confirmed again after a long gap", func(l *ticketer.Ledger) error {
			now := observe(l, epoch, 15*time.Minute, "a").Add(6 * time.Minute)
			_, err := l.Begin(now, key, digest, state(now, "a"))
			return err
		}, false},
		{"never confirmed", func(l *ticketer.Ledger) error {
			now := epoch
			for ; now.Before(epoch.Add(20 * time.Minute)); now = now.Add(time.Second) {
				l.Observe(now, ticketer.ConfigurationState{Workers: []string{"a"}})
			}
			_, err := l.Begin(now, key, digest, ticketer.ConfigurationState{Workers: []string{"a"}})
			return err
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := tt.begin(newLedger(t, config()))
			if tt.runs {
				require.NoError(t, err)
				return
			}
			requireRefused(t, err, judge.MayHaveRun, judge.ReasonKeyUnknown)
		})
	}
}

// Guards against a change of the worker set that leads to refusals of keys whose owner stays the same.
func TestOwnKeyWhoseOwnerStays(t *testing.T) {
	l := newLedger(t, config())
	now := observe(l, epoch, 16*time.Minute, "a", "b")
	now = observe(l, now, time.Minute, "a", "b", "c")
	unchanged := 0
	for i := range 300 {
		key := ticketer.Key{Organisation: "o", Text: fmt.Sprint(i)}
		owned := ticketer.Owner(key, []string{"a", "b"}) == "a" && ticketer.Owner(key, []string{"a", "b", "c"}) == "a"
		_, err := l.Begin(now, key, digest, ticketer.ConfigurationState{Workers: []string{"c", "b", "a"}, Confirmed: now})
		require.Equal(t, owned, err == nil, "%v", err)
		if owned {
			unchanged++
		}
	}
	require.Greater(t, unchanged, 50)
}

// Guards against a confirmation from the future, which would never become stale.
func TestFutureConfirmation(t *testing.T) {
	l := newLedger(t, config())
	now := observe(l, epoch, 16*time.Minute, "a")
	l.Observe(now, ticketer.ConfigurationState{Workers: []string{"a"}, Confirmed: now.Add(time.Hour)})
	now = now.Add(6 * time.Minute)
	_, err := l.Begin(now, ticketer.Key{Organisation: "o", Text: "k"}, digest, ticketer.ConfigurationState{Workers: []string{"a"}})
	requireRefused(t, err, judge.MayHaveRun, judge.ReasonKeyUnknown)
}

func TestOrderWithoutKey(t *testing.T) {
	l := newLedger(t, config())
	key := ticketer.Key{Organisation: "o"}
	for range 2 {
		d, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
		require.NoError(t, err)
		require.Equal(t, ticketer.Run, d.Action)
		require.NoError(t, l.Finish(epoch, key, ok200))
		require.NoError(t, l.Abort(epoch, key, errQueue))
	}
	require.Zero(t, l.Len())
}

// Guards against memory that grows without bound and against removing a used ticket early to make room.
func TestBounds(t *testing.T) {
	cfg := config()
	cfg.MaxEntries = 2
	l := newLedger(t, cfg)
	used := issue(t, l, epoch)
	issue(t, l, epoch)
	_, err := l.Issue(epoch.Add(time.Minute))
	requireRefused(t, err, judge.NotRun, judge.ReasonQueueFull)
	var refusal *judge.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, time.Minute, refusal.RetryAfter)

	_, err = l.Begin(epoch.Add(time.Minute), used, digest, ticketer.ConfigurationState{})
	require.NoError(t, err)
	issue(t, l, epoch.Add(2*time.Minute))
	require.Equal(t, 2, l.Len())
	_, err = l.Issue(epoch.Add(2 * time.Minute))
	requireRefused(t, err, judge.NotRun, judge.ReasonQueueFull)

	// A running order is never removed.
	d, err := l.Begin(epoch.Add(time.Hour), used, digest, ticketer.ConfigurationState{})
	require.NoError(t, err)
	require.Equal(t, ticketer.Wait, d.Action)
	require.NoError(t, l.Finish(epoch.Add(time.Hour), used, ok200))
	l.Observe(epoch.Add(2*time.Hour), ticketer.ConfigurationState{})
	require.Zero(t, l.Len())
}

// Guards against a full ledger returning the verdict "not run" for a key that it cannot store.
func TestFullLedgerReturnsMayHaveRunForOwnKey(t *testing.T) {
	cfg := config()
	cfg.MaxEntries = 1
	l := newLedger(t, cfg)
	now := observe(l, epoch, 16*time.Minute, "a")
	issue(t, l, now)
	_, err := l.Begin(now, ticketer.Key{Organisation: "o", Text: "k"}, digest, ticketer.ConfigurationState{Workers: []string{"a"}, Confirmed: now})
	requireRefused(t, err, judge.MayHaveRun, judge.ReasonQueueFull)
	_, err = l.Begin(now, ticketer.Key{Organisation: "o", Text: strings.Repeat("k", 513)}, digest, ticketer.ConfigurationState{})
	requireRefused(t, err, judge.MayHaveRun, judge.ReasonInvalid)
}

// Guards against stored responses beyond the limits, and against losing the verdict with a response.
func TestResponseBounds(t *testing.T) {
	cfg := config()
	cfg.MaxResponseBytes = 10
	cfg.MaxBytes = 15
	l := newLedger(t, cfg)
	run := func(body string) ticketer.Key {
		key := issue(t, l, epoch)
		_, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
		require.NoError(t, err)
		waiting, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
		require.NoError(t, err)
		require.NoError(t, l.Finish(epoch, key, ticketer.Response{Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte(body)}))
		response, err := waiting.Pending.Result()
		require.NoError(t, err)
		require.Equal(t, body, string(response.Body), "a waiting retry gets the whole response")
		return key
	}
	large := run("too large a body")
	old := run("12345678")
	recent := run("12345678")
	for _, key := range []ticketer.Key{large, old} {
		_, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
		requireRefused(t, err, judge.Ran, judge.ReasonAnswerNotKept)
		require.ErrorContains(t, err, "201")
	}
	d, err := l.Begin(epoch, recent, digest, ticketer.ConfigurationState{})
	require.NoError(t, err)
	require.Equal(t, "12345678", string(d.Response.Body))
}

func TestWithoutHistory(t *testing.T) {
	full := judge.Refuse(judge.ReasonNoUpstream, "none")
	full.RetryAfter = time.Second
	got := ticketer.WithoutHistory(fmt.Errorf("route: %w", full))
	requireRefused(t, got, judge.MayHaveRun, judge.ReasonNoUpstream)
	var e *judge.Error
	require.ErrorAs(t, got, &e)
	require.Equal(t, time.Second, e.RetryAfter)
	ran := &judge.Error{Verdict: judge.Ran}
	require.Same(t, ran, ticketer.WithoutHistory(ran))
}

// Guards against keys that move between existing workers when a worker is added.
func TestOwnerMovesOnlyToNewWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,4}"), 1, 8, rapid.ID[string]).Draw(t, "workers")
		key := ticketer.Key{Organisation: rapid.String().Draw(t, "organisation"), Text: rapid.String().Draw(t, "key")}
		before := ticketer.Owner(key, workers)
		shuffled := rapid.Permutation(workers).Draw(t, "shuffled")
		require.Equal(t, before, ticketer.Owner(key, shuffled))
		after := ticketer.Owner(key, append(slices.Clone(workers), "NEW"))
		require.Contains(t, []string{before, "NEW"}, after)
	})
	require.Empty(t, ticketer.Owner(ticketer.Key{}, nil))
}

// Guards against two runs of one key when its retries arrive at the same time.
func TestConcurrentBegin(t *testing.T) {
	l := newLedger(t, config())
	key := issue(t, l, epoch)
	var wg sync.WaitGroup
	runs := make(chan struct{}, 64)
	for range 64 {
		wg.Go(func() {
			d, err := l.Begin(epoch, key, digest, ticketer.ConfigurationState{})
			if err == nil && d.Action == ticketer.Run {
				runs <- struct{}{}
			}
		})
	}
	wg.Wait()
	require.Len(t, runs, 1)
}

func BenchmarkTicketOrder(b *testing.B) {
	cfg := config()
	cfg.Lifetime = time.Millisecond
	l := newLedger(b, cfg)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		key := issue(b, l, now)
		if _, err := l.Begin(now, key, digest, ticketer.ConfigurationState{}); err != nil {
			b.Fatal(err)
		}
		if err := l.Finish(now, key, ok200); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkOwner(b *testing.B) {
	workers := make([]string, 600)
	for i := range workers {
		workers[i] = fmt.Sprintf("worker-%d", i)
	}
	key := ticketer.Key{Organisation: "o", Text: "k"}
	b.ReportAllocs()
	for b.Loop() {
		ticketer.Owner(key, workers)
	}
}
