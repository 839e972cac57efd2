package notifier_test

import (
	"testing"
	"time"

	"clementineramp/appraiser"
	"clementineramp/dispatcher"
	"clementineramp/placer"
	"clementineramp/registrar"
	"clementineramp/shedder"
	"clementineramp/throttler"
)

// hangTime is the time after which a call that takes microseconds counts as blocked for good.
const hangTime = 10 * time.Second

var start = time.Unix(1_000_000, 0)

// Guards against a callback that is called under the lock of its owner, such as that of an evacuation under the lock of the
// registry: together with a goroutine that takes two locks in the other order, the gateway hangs for good.
func TestOwnersCallBackUnlocked(t *testing.T) {
	for name, play := range map[string]func(called func()){
		"registrar Merge":         evacuate(func(r *registrar.Registry, recs []registrar.Record) { r.Merge(recs, start) }),
		"registrar MergeList":     evacuate(func(r *registrar.Registry, recs []registrar.Record) { r.MergeList(recs, at(9), start) }),
		"registrar MergePeerList": evacuate(func(r *registrar.Registry, recs []registrar.Record) { r.MergePeerList(recs, 0, at(9), start, start) }),
		"registrar MergePeerUpstreams": evacuate(func(r *registrar.Registry, recs []registrar.Record) {
			r.MergePeerUpstreams(recs, 0, at(9), start, start)
		}),
		"registrar MergeChanges": evacuate(func(r *registrar.Registry, recs []registrar.Record) { r.MergeChanges(recs, at(1), at(9), start) }),
		"registrar era":          changeEra,
		"appraiser Record":       refuseConnection,
		"appraiser RecordProbe":  failProbe,
		"appraiser MergeReports": mergeReport,
		"placer RecordLoad":      reportHighLoad,
		"placer Choose":          chooseWithChat,
		"throttler Send":         sendToCold,
		"shedder Decide":         overloadShedder,
		"dispatcher Begin":       overloadDispatcher,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			calls, done := make(chan struct{}, 100), make(chan struct{})
			go func() {
				play(func() { calls <- struct{}{} })
				close(done)
			}()
			select {
			case <-done:
			case <-time.After(hangTime):
				t.Fatal("a callback waits for the lock under which it is called")
			}
			if len(calls) == 0 {
				t.Fatal("there was no callback")
			}
		})
	}
}

func at(revision uint64) registrar.Position { return registrar.Position{Revision: revision} }

// evacuate merges an upstream and the evacuation of its failure domain into a registry that is asked by its callbacks.
func evacuate(merge func(*registrar.Registry, []registrar.Record)) func(called func()) {
	return func(called func()) {
		var r *registrar.Registry
		ask := func() {
			r.TimeSinceOutage(start)
			called()
		}
		r = registrar.New(registrar.Config{
			OnEvent: func(registrar.Event) { ask() }, OnEvacuation: func(registrar.EvacuationEvent) { ask() },
		})
		merge(r, []registrar.Record{
			{ID: "u", Revision: 2, Upstream: registrar.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", FailureDomain: "d"}},
			{ID: "d", Revision: 3, Evacuation: true},
		})
	}
}

func changeEra(called func()) {
	var r *registrar.Registry
	r = registrar.New(registrar.Config{OnEra: func(_, _ registrar.Position) {
		r.Synced()
		called()
	}})
	r.MergeList(nil, registrar.Position{Era: 1, Revision: 1}, start)
	r.MergeList(nil, registrar.Position{Era: 2, Revision: 1}, start)
}

// newAppraiser returns an appraiser that is asked by its callbacks.
func newAppraiser(called func()) *appraiser.Appraiser {
	var a *appraiser.Appraiser
	ask := func() {
		a.Health("u", start)
		called()
	}
	a = appraiser.New(appraiser.Config{OnChange: func(appraiser.Change) { ask() }, OnReport: ask})
	return a
}

func refuseConnection(called func()) { newAppraiser(called).Record("u", appraiser.Refused, start) }

func failProbe(called func()) {
	a := newAppraiser(called)
	a.Record("u", appraiser.Silent, start)
	a.DueProbes(start)
	a.RecordProbe("u", false, start)
}

func mergeReport(called func()) {
	newAppraiser(called).MergeReports([]appraiser.Report{{Upstream: "u"}}, start)
}

// newPlacer returns a placer for two upstreams that is asked by its callbacks, which then call the given functions.
func newPlacer(onHigh, listCurrent func()) *placer.Placer {
	list := []registrar.Upstream{{ID: "u1", Service: "s", Slots: 4}, {ID: "u2", Service: "s", Slots: 4}}
	view := &registrar.View{ByService: map[string][]registrar.Upstream{"s": list}}
	var p *placer.Placer
	ask := func(called func()) {
		p.InProgress("u1")
		called()
	}
	p = placer.New(placer.Config{
		View:   func() *registrar.View { return view },
		Health: func(string, time.Time) appraiser.Health { return appraiser.Good },
		OnHigh: func() { ask(onHigh) }, ListCurrent: func(time.Time) bool { ask(listCurrent); return true },
	})
	return p
}

func reportHighLoad(called func()) {
	p := newPlacer(called, func() {})
	p.RecordLoad("u1", placer.Load{Slots: 4}, start)
	p.Choose(placer.Request{Service: "s", Chat: "c"}, start)
	p.RecordLoad("u1", placer.Load{Running: 4, Waiting: 100, Slots: 4}, start)
}

func chooseWithChat(called func()) {
	newPlacer(func() {}, called).Choose(placer.Request{Service: "s", Chat: "c"}, start)
}

func sendToCold(called func()) {
	u := registrar.Upstream{ID: "u", Service: "s"}
	view := &registrar.View{Times: map[string]registrar.Times{"u": {Entry: start, ColdUntil: start.Add(time.Minute)}}}
	var t *throttler.Throttler
	ask := func() {
		t.Release(u)
		called()
	}
	t = throttler.New(throttler.Config{
		Self: "127.0.0.1:1", Members: func(time.Time) ([]string, bool) { return []string{"127.0.0.1:1"}, true },
		Bound: func(string) throttler.Bound {
			return throttler.Bound{Rate: 10, Overshoot: 2, Tolerance: 2, Start: time.Minute}
		},
		View: func() *registrar.View { return view }, OnChange: func(throttler.Event) { ask() }, OnSend: ask,
	})
	t.Cold(u, start)
	t.Free(u, start)
	t.Reserve(u, start)
	t.Send(u, start)
	t.Refresh(start)
}

func overloadShedder(called func()) {
	var s *shedder.Shedder
	s = &shedder.Shedder{OnChange: func(shedder.OverloadEvent) {
		s.Decide(shedder.Request{Service: "other"}, 0, start)
		called()
	}}
	s.Decide(shedder.Request{Service: "s"}, 10, start)
}

func overloadDispatcher(called func()) {
	var d *dispatcher.Dispatcher
	d = dispatcher.New(dispatcher.Config{
		Limit:   func(string, time.Time) float64 { return 1 },
		Share:   func(string, time.Time) float64 { return 1 },
		Latency: func(string, string, time.Time) time.Duration { return time.Second },
		Usual:   func(string, string) time.Duration { return time.Millisecond },
		OnChange: func(dispatcher.Event) {
			d.Services()
			called()
		},
	})
	for range 3 { // The latency is above the target, so that nearly all are refused.
		_, _ = d.Begin(dispatcher.Request{Service: "s", Target: 100 * time.Millisecond, Remaining: time.Second})
	}
}
