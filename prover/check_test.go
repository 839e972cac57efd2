package prover_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/demonstrator"
	"clementineramp/judge"
	"clementineramp/loader"
	"clementineramp/prover"
	"clementineramp/standin"
)

// start is the time of the first event of the recorded journals.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// overloaded returns two runs of 100 tokens on one engine out of three, which therefore carries three times the mean
// load, far more than the factor of 1.25 allows.
func overloaded() []standin.Run {
	return []standin.Run{
		{Engine: demonstrator.EngineName(0), RequestID: "a", Seed: 1, Work: 100, Started: at(0), Ended: at(9)},
		{Engine: demonstrator.EngineName(0), RequestID: "b", Seed: 2, Work: 100, WorkBefore: 100, Started: at(5), Ended: at(9)},
	}
}

// loading returns the intervals in which the other two engines load a model.
func loading(from, to float64) []prover.Interval {
	return []prover.Interval{
		{Process: demonstrator.EngineName(1), From: at(from), To: at(to)},
		{Process: demonstrator.EngineName(2), From: at(from), To: at(to)},
	}
}

// Guards against a check that always passes: each journal holds one violation, and the check must name its invariant.
func TestCheckReports(t *testing.T) {
	one := demonstrator.EngineName(0)
	worker := demonstrator.WorkerName(0)
	cases := []struct {
		name    string
		want    prover.Invariant
		journal *prover.Journal
	}{
		{"overloaded engine", prover.LoadLimit, &prover.Journal{Engines: 3, LoadFactor: 1.25, Runs: overloaded()}},
		{"overloaded engine long after loads", prover.LoadLimit, &prover.Journal{
			Engines: 3, LoadFactor: 1.25, Runs: overloaded(), Loading: loading(-1, 1.5),
		}},
		{"overloaded engine while one other loads", prover.LoadLimit, &prover.Journal{
			Engines: 3, LoadFactor: 1.25, Loading: loading(4, 6)[:1], Runs: append(overloaded(),
				standin.Run{Engine: one, RequestID: "c", Seed: 3, Work: 100, WorkBefore: 200, Started: at(6), Ended: at(9)}),
		}},
		{"answer to another request", prover.CompleteAnswer, &prover.Journal{
			Chats: []prover.Attempt{{ID: "c", Outcome: prover.Complete, Text: "other", Want: []string{"own"}}},
		}},
		{"lost answer", prover.CompleteAnswer, &prover.Journal{Results: []prover.Result{{ID: "c"}}}},
		{"continued answer of another generation", prover.CompleteAnswer, &prover.Journal{Runs: []standin.Run{{Engine: one, PrefixMismatch: true}}}},
		{"answer of another order", prover.CompleteAnswer, &prover.Journal{
			Orders:     []prover.Attempt{{ID: "order-a", Outcome: prover.Complete, Text: `{"worker":"worker-1","number":2}`}},
			Executions: []standin.Execution{{Service: worker, Body: `{"order": "order-a"}`, Number: 1}},
		}},
		{"chat refused as not run that ran", prover.NotRunVerdict, &prover.Journal{
			Chats: []prover.Attempt{{ID: "c", Seed: 7, Outcome: prover.Refused, Verdict: judge.NotRun}},
			Runs:  []standin.Run{{Engine: one, Seed: 7}},
		}},
		{"order refused as not run that ran", prover.NotRunVerdict, &prover.Journal{
			Orders:     []prover.Attempt{{ID: "order-a", Key: "k", Outcome: prover.Refused, Verdict: judge.NotRun}},
			Executions: []standin.Execution{{Service: worker, Key: "k", Body: `{"order": "order-a"}`}},
		}},
		{"order that ran twice", prover.AtMostOnce, &prover.Journal{Executions: []standin.Execution{
			{Service: worker, Key: "k", Body: `{"order": "order-a"}`}, {Service: worker, Key: "l", Body: `{"order": "order-a"}`},
		}}},
		{"chat to a leaving engine", prover.NoWorkToLeaving, &prover.Journal{
			Leaving: []prover.Interval{{Process: one, From: at(0)}},
			Runs:    []standin.Run{{Engine: one, RequestID: "a", Started: at(3.5)}},
		}},
		{"order to a leaving worker", prover.NoWorkToLeaving, &prover.Journal{
			Leaving:    []prover.Interval{{Process: worker, From: at(0)}},
			Executions: []standin.Execution{{Service: worker, Body: `{"order": "order-a"}`, At: at(3.5)}},
		}},
		{"answer interrupted by a router's shutdown", prover.CleanShutdown, &prover.Journal{
			Stops: []prover.Interval{{Process: "router-1", From: at(0), To: at(5)}},
			Chats: []prover.Attempt{{ID: "c", Router: "router-1", Started: at(1), Ended: at(2), Outcome: prover.Broken, Accepted: true}},
		}},
		{"generation interrupted by an agent's shutdown", prover.CleanShutdown, &prover.Journal{
			Stops: []prover.Interval{{Process: one, From: at(0), To: at(5)}},
			Runs:  []standin.Run{{Engine: one, RequestID: "a", Started: at(1), Ended: at(2)}},
		}},
		{"order interrupted by an agent's shutdown", prover.CleanShutdown, &prover.Journal{
			Stops:      []prover.Interval{{Process: worker, From: at(0), To: at(5)}},
			Executions: []standin.Execution{{Service: worker, Body: `{"order": "order-a"}`, At: at(1)}},
		}},
		{"late configuration", prover.ConfigConvergence, &prover.Journal{
			Processes: []string{"router-1"}, Published: at(0), Version: 2,
			Samples: []prover.Sample{{Process: "router-1", At: at(18), Version: 1}},
		}},
		{"return to an older configuration", prover.ConfigConvergence, &prover.Journal{
			Samples: []prover.Sample{{Process: "router-1", At: at(1), Version: 2}, {Process: "router-1", At: at(2), Version: 1}},
		}},
		{"two configurations with the same version", prover.ConfigConvergence, &prover.Journal{
			Processes: []string{"router-1", "router-2"}, Published: at(0), Version: 3,
			Samples: []prover.Sample{
				{Process: "router-1", At: at(18), Version: 3, Content: "a"}, {Process: "router-2", At: at(18), Version: 3, Content: "b"},
			},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations := prover.Check(c.journal)
			require.Len(t, violations, 1, "%v", violations)
			require.Equal(t, c.want, violations[0].Invariant, violations[0].Text)
		})
	}
}

// Guards against a check that reports behaviour that the design allows.
func TestCheckAccepts(t *testing.T) {
	one := demonstrator.EngineName(0)
	killed := prover.Interval{Process: "router-1", Fault: prover.KillRouter, From: at(1), To: at(3)}
	journal := &prover.Journal{
		Engines: 3, LoadFactor: 1.25,
		Stops:   []prover.Interval{{Process: "router-1", From: at(0), To: at(5)}},
		Faults:  []prover.Interval{killed},
		Leaving: []prover.Interval{{Process: one, From: at(0), To: at(10)}},
		Chats: []prover.Attempt{
			{ID: "c", Router: "router-1", Started: at(1), Ended: at(2), Outcome: prover.Broken, Accepted: true},
			{ID: "d", Seed: 7, Outcome: prover.Refused, Verdict: judge.MayHaveRun},
		},
		Runs: []standin.Run{
			{Engine: one, RequestID: "a", Seed: 7, Started: at(2), Ended: at(3), Completed: true},
			{Engine: one, RequestID: "b", Started: at(10), Ended: at(11), Completed: true},
		},
	}
	require.Empty(t, prover.Check(journal))
}

// Guards against a check that counts engines without a model in the mean: engine-2 had loaded the next version until
// 4.5 s, engine-1 loaded it from 6 s on, and at 6.2 s engine-3 ran the requests of two chats.
func TestCheckAcceptsLoadWhileModelsLoad(t *testing.T) {
	three := demonstrator.EngineName(2)
	journal := &prover.Journal{
		Engines: 3, LoadFactor: 1.25,
		Loading: []prover.Interval{
			{Process: demonstrator.EngineName(1), From: at(3), To: at(4.5)}, {Process: demonstrator.EngineName(0), From: at(6), To: at(7.5)},
		},
		Runs: []standin.Run{
			{Engine: three, RequestID: "a", Seed: 1, Work: 17, Started: at(6.2), Ended: at(6.4), Completed: true},
			{Engine: three, RequestID: "b", Seed: 2, Work: 17, WorkBefore: 17, Started: at(6.2), Ended: at(6.4), Completed: true},
		},
	}
	require.Empty(t, prover.Check(journal))
	journal.Loading = nil
	require.NotEmpty(t, prover.Check(journal), "the load limit holds while no engine loads a model")
}

// cellNamed returns the cell of the matrix with a name, or fails the test.
func cellNamed(t *testing.T, name string) prover.Cell {
	for _, c := range prover.Matrix() {
		if c.Name() == name {
			return c
		}
	}
	t.Fatalf("no cell %s", name)
	return prover.Cell{}
}

// maxDetectionRuns is the number of runs of a cell within which the check must detect a promise that is switched off.
// Request IDs, incarnations and the times of gossip are random, so that a single run may not come near the limit.
const maxDetectionRuns = 6

// detects reports whether the check reports the invariant in one of up to maxDetectionRuns runs of a cell.
func detects(t *testing.T, name string, opts prover.Options, want prover.Invariant) bool {
	for range maxDetectionRuns {
		report := run(t, cellNamed(t, name), opts)
		require.NoError(t, report.Err)
		if slices.Contains(invariants(report), want) {
			return true
		}
	}
	return false
}

// Guards against a matrix whose load never comes near the load limit. With a load factor of 4 the agents let one
// engine carry the whole load, and the check with a factor of 1.25 must detect it in the records of the engines. In
// about one run of a hundred the chats run at another engine than the long answer, so that no load is uneven.
func TestCheckDetectsDisabledLoadLimit(t *testing.T) {
	require.True(t, detects(t, "stop_router/announce/platform_stale", prover.Options{
		Adjust: func(s *loader.Settings) { s.Routing.Bound = 4 },
	}, prover.LoadLimit))
}

// Guards against a matrix in which a graceful shutdown never has a request to interrupt. With a drain limit below the
// duration of a running answer the shutdown interrupts it, and the check must detect that.
func TestCheckDetectsInterruptedRequest(t *testing.T) {
	require.True(t, detects(t, "stop_agent/announce/platform_stale", prover.Options{
		Adjust:        func(s *loader.Settings) { s.Drain.Grace, s.Drain.Limit = 0, 100*time.Millisecond },
		TokenInterval: 100 * time.Millisecond,
	}, prover.CleanShutdown))
}

func invariants(r prover.Report) []prover.Invariant {
	var list []prover.Invariant
	for _, v := range r.Violations {
		list = append(list, v.Invariant)
	}
	return list
}

// Guards against a missing cell: the matrix is the full product of steps and faults, and only a declared reason skips
// a cell.
func TestMatrixIsComplete(t *testing.T) {
	cells := prover.Matrix()
	require.Len(t, cells, len(prover.Steps())*(len(prover.Faults())+len(prover.FaultPairs())))
	names := map[string]bool{}
	for _, c := range cells {
		require.False(t, names[c.Name()], c.Name())
		names[c.Name()] = true
		require.Contains(t, []prover.SkipReason{prover.NotSkipped, prover.StepNotImplemented, prover.ProcessEnded}, c.Skip)
	}
	paired := map[prover.Fault]bool{}
	for _, p := range prover.FaultPairs() {
		paired[p[0]], paired[p[1]] = true, true
	}
	for _, f := range prover.Faults() {
		require.True(t, paired[f], "fault %s is in no pair", f)
	}
}
