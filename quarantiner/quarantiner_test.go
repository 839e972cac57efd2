package quarantiner_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/judge"
	"clementineramp/quarantiner"
)

func TestMain(m *testing.M) {
	// A fixed seed makes each run draw the same cases; the flag on the command line overrides it.
	if err := flag.Set("rapid.seed", "20260303"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func at(seconds int) time.Time {
	return time.Unix(0, 0).Add(time.Duration(seconds) * time.Second)
}

func begin(t *testing.T, q *quarantiner.Quarantine, now time.Time, fp quarantiner.Fingerprint, suspect bool) quarantiner.Run {
	t.Helper()
	run, err := q.Begin(now, fp, suspect)
	require.NoError(t, err)
	return run
}

// crashed returns a quarantine whose engine crashed at 0 s while the given requests were running.
func crashed(t *testing.T, fps ...quarantiner.Fingerprint) *quarantiner.Quarantine {
	t.Helper()
	q := quarantiner.New(quarantiner.Config{})
	for _, fp := range fps {
		begin(t, q, at(0), fp, false)
	}
	q.Crash(at(0))
	return q
}

// Guards against running a suspected request again at the engine that it may have crashed, and against refusing it after
// its mark has expired.
func TestAdmit(t *testing.T) {
	local := func(t *testing.T) *quarantiner.Quarantine { return crashed(t, 1) }
	blocked := func(t *testing.T) *quarantiner.Quarantine {
		q := quarantiner.New(quarantiner.Config{})
		begin(t, q, at(0), 1, true)
		q.Crash(at(0))
		return q
	}
	gossiped := func(entries ...quarantiner.Entry) func(*testing.T) *quarantiner.Quarantine {
		return func(*testing.T) *quarantiner.Quarantine {
			q := quarantiner.New(quarantiner.Config{})
			q.Merge(at(0), entries)
			return q
		}
	}
	fromRouter := func(t *testing.T) *quarantiner.Quarantine {
		q := quarantiner.New(quarantiner.Config{})
		suspect, err := q.Admit(at(0), 1, 2)
		require.NoError(t, err)
		require.True(t, suspect)
		return q
	}
	tests := []struct {
		name       string
		q          func(*testing.T) *quarantiner.Quarantine
		after      int
		fromRouter int
		suspect    bool
		reason     judge.Reason
		left       time.Duration
		mark       int
	}{
		{"unknown", gossiped(), 0, 0, false, "", 0, 0},
		{"from the router", gossiped(), 0, 1, true, "", 0, 1},
		{"local", local, 0, 0, true, judge.ReasonSuspect, time.Minute, 1},
		{"local and from the router", local, 0, 1, true, judge.ReasonSuspect, time.Minute, 1},
		{"local, at the end", local, 59, 0, true, judge.ReasonSuspect, time.Second, 1},
		{"local, expired", local, 60, 0, false, "", 0, 0},
		{"local, expired, from the router", local, 60, 1, true, "", 0, 1},
		{"gossiped", gossiped(quarantiner.Entry{Fingerprint: 1, Mark: 1, Remaining: time.Minute}), 59, 0, true, "", 0, 1},
		{"gossiped, expired", gossiped(quarantiner.Entry{Fingerprint: 1, Mark: 1, Remaining: time.Minute}), 60, 0, false, "", 0, 0},
		{"gossiped, lifetime above the limit", gossiped(quarantiner.Entry{Fingerprint: 1, Mark: 1, Remaining: time.Hour}), 60, 0, false, "", 0, 0},
		{"gossiped, malformed", gossiped(quarantiner.Entry{Fingerprint: 1, Mark: -1, Remaining: time.Minute}, quarantiner.Entry{Fingerprint: 1, Mark: 1}), 0, 0, false, "", 0, 0},
		{"gossiped block", gossiped(quarantiner.Entry{Fingerprint: 1, Mark: 2, Blocked: true, Remaining: time.Minute}), 0, 0, true, judge.ReasonCrashesUpstream, time.Minute, 2},
		{"blocked", blocked, 299, 0, true, judge.ReasonCrashesUpstream, time.Second, 1},
		{"blocked, expired", blocked, 300, 0, false, "", 0, 0},
		{"from the router earlier", fromRouter, 59, 0, true, "", 0, 2},
		{"from the router earlier, retries do not extend", fromRouter, 60, 0, false, "", 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := tt.q(t)
			if tt.name == "from the router earlier, retries do not extend" {
				_, err := q.Admit(at(59), 1, 1)
				require.NoError(t, err)
			}
			suspect, err := q.Admit(at(tt.after), 1, tt.fromRouter)
			require.Equal(t, tt.suspect, suspect)
			require.Equal(t, tt.mark, q.Mark(at(tt.after), 1))
			if tt.reason == "" {
				require.NoError(t, err)
				return
			}
			var e *judge.Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, judge.NotRun, e.Verdict)
			require.Equal(t, tt.reason, e.Reason)
			require.Equal(t, tt.left, e.RetryAfter)
			_, err = q.Begin(at(tt.after), 1, false)
			require.Equal(t, tt.reason, judge.ReasonOf(err), "a request that was queued before the crash")
		})
	}
}

// Guards against marking requests that ran alongside the only suspect one, and against not marking a request that may have
// caused the crash.
func TestCrash(t *testing.T) {
	type run struct {
		fp      quarantiner.Fingerprint
		suspect bool
	}
	tests := []struct {
		name     string
		runs     []run
		gossiped []quarantiner.Fingerprint
		want     []quarantiner.Outcome
	}{
		{"idle", nil, nil, []quarantiner.Outcome{}},
		{"none suspect", []run{{2, false}, {1, false}}, nil, []quarantiner.Outcome{{1, 1, false}, {2, 1, false}}},
		{"two runs of one request", []run{{1, false}, {1, false}}, nil, []quarantiner.Outcome{{1, 1, false}}},
		{"one suspect", []run{{1, false}, {2, true}, {3, false}}, nil, []quarantiner.Outcome{{1, 0, false}, {2, 1, true}, {3, 0, false}}},
		{"marked by gossip while it runs", []run{{1, false}, {2, false}}, []quarantiner.Fingerprint{2}, []quarantiner.Outcome{{1, 0, false}, {2, 2, true}}},
		{"two runs of one request marked by gossip", []run{{2, false}, {2, false}}, []quarantiner.Fingerprint{2}, []quarantiner.Outcome{{2, 2, true}}},
		{"two requests marked by gossip", []run{{1, false}, {2, false}, {3, false}}, []quarantiner.Fingerprint{1, 2}, []quarantiner.Outcome{{1, 2, false}, {2, 2, false}, {3, 1, false}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := quarantiner.New(quarantiner.Config{})
			for _, r := range tt.runs {
				begin(t, q, at(0), r.fp, r.suspect)
			}
			for _, fp := range tt.gossiped {
				q.Merge(at(0), []quarantiner.Entry{{Fingerprint: fp, Mark: 1, Remaining: time.Minute}})
			}
			require.Equal(t, tt.want, q.Crash(at(1)))
			for _, o := range tt.want {
				require.Equal(t, o.Mark, q.Mark(at(1), o.Fingerprint))
				_, err := q.Admit(at(1), o.Fingerprint, 0)
				require.Equal(t, o.Mark > 0, err != nil)
			}
			require.Empty(t, q.Crash(at(2)), "a second call for the same crash")
		})
	}
}

// Guards against two suspect requests in one engine: a crash would not show which of them caused it.
func TestOneSuspectRun(t *testing.T) {
	q := quarantiner.New(quarantiner.Config{})
	first := begin(t, q, at(0), 1, true)
	begin(t, q, at(0), 2, false)
	_, err := q.Begin(at(0), 3, true)
	require.ErrorIs(t, err, quarantiner.ErrSuspectRunning)
	require.Equal(t, judge.ReasonSuspect, judge.ReasonOf(err))
	require.Equal(t, judge.NotRun, judge.VerdictOf(err))
	q.Abort(at(0), first)
	begin(t, q, at(0), 3, true)
}

// Guards against an interrupted run that ends late and removes a newer run of the same request, so that the next crash
// does not mark it.
func TestLateEndAfterCrash(t *testing.T) {
	q := quarantiner.New(quarantiner.Config{})
	spared := begin(t, q, at(0), 1, false)
	begin(t, q, at(0), 2, true)
	q.Crash(at(1))
	begin(t, q, at(2), 1, false)
	q.Abort(at(3), spared)
	q.Finish(at(3), spared)
	require.Equal(t, []quarantiner.Outcome{{Fingerprint: 1, Mark: 1}}, q.Crash(at(4)))
}

// Guards against a request that stays suspect although it completed, and against completion that lifts a block.
func TestFinishClearsMark(t *testing.T) {
	q := quarantiner.New(quarantiner.Config{})
	_, err := q.Admit(at(0), 1, 1)
	require.NoError(t, err)
	run := begin(t, q, at(0), 1, true)
	q.Finish(at(1), run)
	suspect, err := q.Admit(at(1), 1, 0)
	require.NoError(t, err)
	require.False(t, suspect)

	run = begin(t, q, at(1), 2, true)
	q.Merge(at(1), []quarantiner.Entry{{Fingerprint: 2, Mark: 2, Blocked: true, Remaining: time.Minute}})
	q.Finish(at(2), run)
	_, err = q.Admit(at(2), 2, 0)
	require.Equal(t, judge.ReasonCrashesUpstream, judge.ReasonOf(err))
}

// Guards against marks whose lifetime grows as peers forward them.
func TestGossipDoesNotExtendLifetimes(t *testing.T) {
	agents := []*quarantiner.Quarantine{crashed(t, 1, 2), quarantiner.New(quarantiner.Config{}), quarantiner.New(quarantiner.Config{})}
	begin(t, agents[0], at(0), 3, true)
	agents[0].Crash(at(0))
	for second := range 360 {
		now := at(second)
		for i, from := range agents {
			// Each exchange arrives 0.9 s late, just below the margin.
			entries := from.Marks(10, now)
			agents[(i+1)%3].Merge(now.Add(900*time.Millisecond), entries)
		}
		for _, q := range agents {
			if second >= 60 {
				require.Zero(t, q.Mark(now, 1), "at %d s", second)
			}
			if second >= 300 {
				require.Zero(t, q.Mark(now, 3), "at %d s", second)
			}
		}
		if second == 50 {
			require.Equal(t, 1, agents[2].Mark(now, 2))
		}
		if second == 290 {
			require.NotZero(t, agents[2].Mark(now, 3))
		}
	}
}

// Guards against gossip that omits blocked requests, or that spreads marks which only a router sent.
func TestMarks(t *testing.T) {
	q := crashed(t, 5)
	begin(t, q, at(10), 6, false)
	q.Crash(at(10))
	begin(t, q, at(10), 7, true)
	q.Crash(at(10))
	_, err := q.Admit(at(10), 8, 1)
	require.NoError(t, err)
	want := []quarantiner.Entry{
		{Fingerprint: 7, Mark: 1, Blocked: true, Remaining: 289 * time.Second},
		{Fingerprint: 6, Mark: 1, Remaining: 49 * time.Second},
		{Fingerprint: 5, Mark: 1, Remaining: 39 * time.Second},
	}
	require.Equal(t, want, q.Marks(10, at(20)))
	require.Equal(t, want[:2], q.Marks(2, at(20)))
	require.Empty(t, q.Marks(0, at(20)))
	peer := quarantiner.New(quarantiner.Config{})
	require.Equal(t, 3, peer.Merge(at(20), want))
	require.Zero(t, peer.Merge(at(20), want))
}

// Guards against memory that grows with the number of marks, and against evicting a record for one of a lower class.
func TestBound(t *testing.T) {
	const bound = 10
	type kind = quarantiner.Fingerprint
	// The first fingerprint of each kind; the records of a kind expire in the order of the fingerprints.
	const gossiped, local, blocked kind = 100, 200, 300
	add := func(t *testing.T, q *quarantiner.Quarantine, kind kind, from, n int) {
		for i := from; i < from+n; i++ {
			fp := kind + quarantiner.Fingerprint(i)
			switch kind {
			case gossiped:
				q.Merge(at(i), []quarantiner.Entry{{Fingerprint: fp, Mark: 1, Remaining: time.Minute}})
			default:
				begin(t, q, at(i), fp, kind == blocked)
				q.Crash(at(i))
			}
			require.LessOrEqual(t, q.LastDecision().Records, bound)
		}
	}
	tests := []struct {
		name    string
		kinds   [3]int
		more    kind
		dropped kind
	}{
		{"gossiped does not displace gossiped", [3]int{10, 0, 0}, gossiped, gossiped + 10},
		{"gossiped does not displace local", [3]int{0, 10, 0}, gossiped, gossiped + 10},
		{"local displaces gossiped", [3]int{2, 6, 2}, local, gossiped},
		{"local displaces local", [3]int{0, 8, 2}, local, local},
		{"local does not displace blocked", [3]int{0, 0, 10}, local, local + 10},
		{"blocked displaces gossiped", [3]int{2, 2, 6}, blocked, gossiped},
		{"blocked displaces local", [3]int{0, 2, 8}, blocked, local},
		{"blocked displaces blocked", [3]int{0, 0, 10}, blocked, blocked},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := quarantiner.New(quarantiner.Config{MaxMarks: bound})
			add(t, q, gossiped, 0, tt.kinds[0])
			add(t, q, local, 0, tt.kinds[1])
			add(t, q, blocked, 0, tt.kinds[2])
			add(t, q, tt.more, 10, 1)
			require.Equal(t, 1, q.LastDecision().Dropped)
			for i, kind := range []kind{gossiped, local, blocked} {
				for j := range tt.kinds[i] {
					fp := kind + quarantiner.Fingerprint(j)
					require.Equal(t, fp != tt.dropped, q.Mark(at(10), fp) > 0, "mark of %d", fp)
				}
			}
			last := tt.more + 10
			require.Equal(t, last != tt.dropped, q.Mark(at(10), last) > 0)
		})
	}

	q := quarantiner.New(quarantiner.Config{MaxMarks: bound})
	add(t, q, gossiped, 0, bound)
	suspect, err := q.Admit(at(10), 1, 1)
	require.NoError(t, err)
	require.True(t, suspect, "a mark that could not be stored still isolates the request")
	require.Equal(t, 1, q.Merge(at(61), []quarantiner.Entry{{Fingerprint: 1, Mark: 1, Remaining: time.Minute}}), "expired records make room")
}

// Guards against a crashing request that crashes a third engine, and against a harmless request that is refused without a
// mark or after its mark has expired.
func TestRequestCrashesAtMostTwoEngines(t *testing.T) {
	tests := []struct {
		name      string
		configure func(*fleet)
	}{
		{"marks forwarded by routers only", func(*fleet) {}},
		{"marks also gossiped", func(f *fleet) { f.gossip = true }},
		// Refusals for load change the agents that a request reaches, so that at most two engines crash only with
		// gossip, without concurrent copies of the request, and until its first mark expires.
		{"agents refuse for load", func(f *fleet) {
			f.gossip, f.refuseLoad, f.noOverlap = true, true, true
			f.window = markLifetime
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(func(n int, label string) int { return rapid.IntRange(0, n-1).Draw(t, label) })
				tt.configure(f)
				for range rapid.IntRange(50, 400).Draw(t, "steps") {
					f.step()
				}
				f.checkAfterExpiry()
				if len(f.violations) > 0 {
					t.Fatal(f.violations)
				}
			})
			third, violations, crashes := simulate(simulationSeeds, tt.configure)
			t.Logf("three or more engines crashed in %d of %d fleets, %d crashes in total", third, simulationSeeds, crashes)
			require.Empty(t, violations)
			require.Greater(t, crashes, 2*simulationSeeds, "the crashing request must run again after its mark and block have expired")
		})
	}
}

// simulationSeeds is the number of simulated fleets whose events are drawn uniformly; rapid favours small numbers.
const simulationSeeds = 300

// simulate runs fleets with fixed seeds and returns the number of fleets in which three or more engines crashed over the
// whole run, the violations, and the total number of crashes.
func simulate(seeds int, configure func(*fleet)) (third int, violations []string, crashes int) {
	for seed := range seeds {
		rnd := rand.New(rand.NewPCG(uint64(seed), 0))
		f := newFleet(func(n int, _ string) int { return rnd.IntN(n) })
		configure(f)
		for range 400 {
			f.step()
		}
		f.checkAfterExpiry()
		engines, n := f.crashedEngines(time.Time{})
		crashes += n
		if engines > 2 {
			third++
		}
		violations = append(violations, f.violations...)
	}
	return third, violations, crashes
}

// Guards against a simulation that would pass if marks had no effect.
func TestThirdEngineCrashesWithoutMarks(t *testing.T) {
	third, _, crashes := simulate(simulationSeeds, func(f *fleet) { f.forwardMarks = false })
	t.Logf("marks not forwarded: three or more engines crashed in %d of %d fleets, %d crashes in total", third, simulationSeeds, crashes)
	require.Greater(t, third, simulationSeeds/2)
}
