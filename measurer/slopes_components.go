package measurer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"clementineramp/admitter"
	"clementineramp/chooser"
	"clementineramp/compiler"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/gossiper"
	"clementineramp/recorder"
	"clementineramp/subscriber"
	"clementineramp/ticketer"
	"clementineramp/tracker"
)

// The sizes at which slopes are measured; the last of each list is the target size.
var (
	upstreamSizes     = []int{60, 200, 600}
	hostSizes         = []int{100, 340, 1020}
	organisationSizes = []int{1000, 4000, 14000}
	queueSizes        = []int{100, 1000, 4000, 14000}
	entrySizes        = []int{4, 12, 24}
	streamSizes       = []int{100, 400, 1600}
)

const (
	slopePool = "pool"
	// slopeCost is the work of a request, in tokens.
	slopeCost = 1000
	// slopeSlots is the number of slots of the admitter's engine.
	slopeSlots = 64
	// slopeEvents is the number of events of a recorded answer.
	slopeEvents = 256
	// ticketsPerRun is the number of tickets that one timing issues.
	ticketsPerRun = 500
)

func upstreamName(i int) string {
	return fmt.Sprintf("vavrad-%04d", i)
}

func chooseSlopes(spread *float64) ([]series, error) {
	s := series{name: "choose", dimension: "upstreams", unit: "ns"}
	c, err := chooser.New(chooser.Config{})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, n := range upstreamSizes {
		ups := make([]chooser.Upstream, n)
		for i := range ups {
			ups[i] = chooser.Upstream{Name: upstreamName(i), State: chooser.Live, Known: true, Work: float64(slopeCost * (i % 7)), Uptime: time.Hour}
		}
		key := uint64(0)
		s.points = append(s.points, point{float64(n), medianTime(spread, func() {
			key++
			c.Choose(key, slopeCost, ups)
		})})
	}
	return []series{s}, nil
}

func makeLoadEntries(n int, sequence uint64) []encoder.LoadEntry {
	list := make([]encoder.LoadEntry, n)
	for i := range list {
		list[i] = encoder.LoadEntry{
			Upstream: upstreamName(i), Incarnation: 1<<62 + uint64(i), Sequence: sequence, Work: float64(5120 + i), Queued: 640,
			AgeMS: int64(i % 900), UptimeMS: 86_400_000, Version: "2026-12-01",
		}
	}
	return list
}

func makeHosts(n int) []subscriber.Host {
	list := make([]subscriber.Host, n)
	for i := range list {
		h := subscriber.Host{
			Name: upstreamName(i), Address: fmt.Sprintf("10.20.%d.%d:8001", i/250, i%250), Control: fmt.Sprintf("10.20.%d.%d:8002", i/250, i%250),
			Domain: fmt.Sprintf("domain-%d", i%10), Role: subscriber.RoleAgent, Upstream: slopePool, State: subscriber.StateLive,
		}
		if i%17 >= 10 {
			h.Role, h.Upstream = subscriber.RoleRouter, ""
		}
		list[i] = h
	}
	return list
}

func trackerSlopes(spread *float64) ([]series, error) {
	view := series{name: "view of a pool", dimension: "upstreams", unit: "ns"}
	merge := series{name: "merge of a report of 9 entries", dimension: "upstreams", unit: "ns"}
	freshest := series{name: "choice of 24 freshest entries", dimension: "upstreams", unit: "ns"}
	memory := series{name: "memory of the load table", dimension: "upstreams", unit: "B"}
	now := time.Now()
	for _, n := range upstreamSizes {
		var t *tracker.Tracker
		size, t := memoryOf(func() *tracker.Tracker {
			t = tracker.New(tracker.Config{})
			hosts := make([]tracker.Host, n)
			for i := range hosts {
				hosts[i] = tracker.Host{Name: upstreamName(i), Address: fmt.Sprintf("10.20.0.1:%d", 1000+i), Pool: slopePool, Domain: fmt.Sprintf("domain-%d", i%10)}
			}
			t.UpdateHosts(hosts, now)
			t.Merge(makeLoadEntries(n, 1), now)
			return t
		})
		x := float64(n)
		memory.points = append(memory.points, point{x, size})
		view.points = append(view.points, point{x, medianTime(spread, func() { t.View(slopePool, now) })})
		freshest.points = append(freshest.points, point{x, medianTime(spread, func() { t.Freshest(24, "", now) })})
		sequence := uint64(1)
		report := makeLoadEntries(9, 1)
		merge.points = append(merge.points, point{x, medianTime(spread, func() {
			sequence++
			for i := range report {
				report[i].Sequence = sequence
			}
			t.Merge(report, now)
		})})
	}
	return []series{view, freshest, merge, memory}, nil
}

func admitterSlopes(spread *float64) ([]series, error) {
	work := series{name: "offer, next and done", dimension: "queued requests", unit: "ns"}
	memory := series{name: "memory of the queue", dimension: "queued requests", unit: "B"}
	now := time.Now()
	for _, n := range queueSizes {
		id := uint64(0)
		offer := func(a *admitter.Admitter) {
			id++
			_ = a.Offer(now, admitter.Request{ID: id, Rank: "normal", Organisation: fmt.Sprintf("organisation-%d", id%14000), Cost: slopeCost, Last: true})
		}
		size, a := memoryOf(func() *admitter.Admitter {
			a := admitter.New(admitter.Config{
				Slots: slopeSlots, MaxQueueTime: time.Hour,
				Ranks: []configurer.Rank{{Name: "urgent", TargetMS: 440, Worth: 100, Share: 0.5}, {Name: "normal", TargetMS: 2000, Worth: 10, Share: 0.2}},
			})
			for range n {
				offer(a)
			}
			return a
		})
		memory.points = append(memory.points, point{float64(n), size})
		var running []uint64
		for r, ok := a.Next(now); ok; r, ok = a.Next(now) {
			running = append(running, r.ID)
		}
		i := 0
		work.points = append(work.points, point{float64(n), medianTime(spread, func() {
			now = now.Add(time.Millisecond)
			offer(a)
			a.Done(now, running[i%len(running)], slopeCost)
			if r, ok := a.Next(now); ok {
				running[i%len(running)] = r.ID
			}
			i++
		})})
		runtime.KeepAlive(a)
	}
	return []series{work, memory}, nil
}

func newLedger(now time.Time) (*ticketer.Ledger, error) {
	return ticketer.New(ticketer.Config{
		Service: "bestall", Agent: "bestall-1", Incarnation: 1, Secret: make([]byte, 32), Started: now, MaxEntries: 1 << 20, MaxBytes: 1 << 30,
	})
}

func ticketSlopes(spread *float64) ([]series, error) {
	issue := series{name: "issue of a ticket", dimension: "remembered tickets", unit: "ns"}
	check := series{name: "check, run and close of an order", dimension: "remembered tickets", unit: "ns"}
	memory := series{name: "memory of orders with answers of 200 B", dimension: "remembered tickets", unit: "B"}
	for _, n := range organisationSizes {
		now := time.Now()
		var err error
		size, l := memoryOf(func() *ticketer.Ledger {
			var l *ticketer.Ledger
			if l, err = newLedger(now); err != nil {
				return nil
			}
			for range n {
				if err = runOrder(l, now); err != nil {
					return nil
				}
			}
			return l
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		memory.points = append(memory.points, point{float64(n), size})
		// The ledger must not grow by more than a few percent during a timing, which would otherwise not be valid for its
		// size.
		total := medianTime(spread, func() { err = runOrder(l, now) })
		if err != nil {
			return nil, trace.Wrap(err)
		}
		began := time.Now()
		for range ticketsPerRun {
			if _, err = l.Issue(now); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		issueTime := float64(time.Since(began).Nanoseconds()) / ticketsPerRun
		issue.points = append(issue.points, point{float64(n), issueTime})
		check.points = append(check.points, point{float64(n), total - issueTime})
	}
	return []series{issue, check, memory}, nil
}

// runOrder issues a ticket, begins an order with it and finishes the order with a response of 200 bytes.
func runOrder(l *ticketer.Ledger, now time.Time) error {
	t, err := l.Issue(now)
	if err != nil {
		return err
	}
	key := ticketer.Key{Organisation: "organisation-1", Text: t.String()}
	if _, err := l.Begin(now, key, ticketer.DigestOf([]byte("order")), ticketer.ConfigurationState{}); err != nil {
		return err
	}
	return l.Finish(now, key, ticketer.Response{Status: 201, Body: make([]byte, 200)})
}

// organisationSheet returns a sheet with n organisations, of which the first has the version as its weight.
func organisationSheet(n int, version uint64) []byte {
	b := fmt.Appendf(nil, "version,number\nversion,%d\nrank,name,target,worth,share\nrank,normal,2s,10,0.2\n", version)
	b = append(b, "pool,name,model,version,floor,account\npool,pool,vavrad-text,v1,0.5,\norganisation,name,key_hash,rank,ranks,weight\n"...)
	for i := range n {
		sum := sha256.Sum256(fmt.Append(nil, i))
		weight := uint64(1)
		if i == 0 {
			weight = version
		}
		b = fmt.Appendf(b, "organisation,organisation-%d,%s,normal,,%d\n", i, hex.EncodeToString(sum[:]), weight)
	}
	return b
}

// deliver gives a holder the manifest and the parts that it lacks, and returns their size in bytes.
func deliver(h *configurer.Holder, s *compiler.Sheet) (int, error) {
	parts := map[configurer.Digest][]byte{}
	for _, p := range s.Parts {
		parts[p.Digest] = p.Data
	}
	if _, err := h.Offer(s.Manifest); err != nil {
		return 0, err
	}
	transferred := len(s.Manifest)
	for _, d := range h.Missing() {
		transferred += len(parts[d])
		if _, err := h.AddPart(d, parts[d]); err != nil {
			return 0, err
		}
	}
	return transferred, nil
}

func holderSlopes(spread *float64) ([]series, error) {
	complete := series{name: "bytes of a whole configuration", dimension: "organisations", unit: "B"}
	change := series{name: "bytes of a change of one organisation", dimension: "organisations", unit: "B"}
	memory := series{name: "memory of a configuration in force", dimension: "organisations", unit: "B"}
	adoptComplete := series{name: "adoption of a whole configuration", dimension: "organisations", unit: "ns"}
	adoptChange := series{name: "adoption of a change of one organisation", dimension: "organisations", unit: "ns"}
	for _, n := range organisationSizes {
		sheets := make([]*compiler.Sheet, 2)
		for i := range sheets {
			var err error
			if sheets[i], err = compiler.Compile(compiler.Source{Name: "s.csv", Data: organisationSheet(n, uint64(i+1))}); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		var transferred, changed int
		var err error
		size, h := memoryOf(func() *configurer.Holder {
			h := configurer.NewHolder()
			transferred, err = deliver(h, sheets[0])
			return h
		})
		if err == nil {
			changed, err = deliver(h, sheets[1])
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		x := float64(n)
		// The holder shares the bytes of the parts with the sheet, so memoryOf does not see them and they are added here.
		memory.points = append(memory.points, point{x, size + float64(transferred)})
		complete.points = append(complete.points, point{x, float64(transferred)})
		change.points = append(change.points, point{x, float64(changed)})
		nanoseconds := medianTime(spread, func() { _, err = deliver(configurer.NewHolder(), sheets[0]) })
		adoptComplete.points = append(adoptComplete.points, point{x, nanoseconds})
		version := uint64(len(sheets))
		adoptChange.points = append(adoptChange.points, point{x, medianTime(spread, func() {
			version++
			_, err = deliver(h, withVersion(sheets[version%2], version))
		})})
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return []series{complete, change, memory, adoptComplete, adoptChange}, nil
}

// withVersion returns the sheet with another version, so that a holder applies it again.
func withVersion(s *compiler.Sheet, version uint64) *compiler.Sheet {
	changed := *s
	m, err := configurer.DecodeManifest(s.Manifest)
	if err != nil {
		return s
	}
	m.Version = version
	// A decoded manifest can always be encoded.
	changed.Manifest, _ = json.Marshal(m)
	return &changed
}

func hostSlopes(spread *float64) ([]series, error) {
	size := series{name: "bytes of the host list", dimension: "hosts", unit: "B"}
	decode := series{name: "decoding of the host list", dimension: "hosts", unit: "ns"}
	for _, n := range hostSizes {
		data, err := json.Marshal(subscriber.HostList{Revision: 1, Hosts: makeHosts(n)})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		size.points = append(size.points, point{float64(n), float64(len(data))})
		decode.points = append(decode.points, point{float64(n), medianTime(spread, func() { _, err = subscriber.DecodeHostList(data) })})
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return []series{size, decode}, nil
}

// gossipSlopes measures the bytes of an exchange, sent and received, on a reused connection and on a new one.
func gossipSlopes(ctx context.Context) ([]series, error) {
	reused := series{name: "exchange on a kept connection, sent and received", dimension: "entries each way", unit: "B"}
	fresh := series{name: "exchange on a new connection, sent and received", dimension: "entries each way", unit: "B"}
	for _, n := range entrySizes {
		first, next, err := exchangeBytes(ctx, makeLoadEntries(n, 12345))
		if err != nil {
			return nil, err
		}
		reused.points = append(reused.points, point{float64(n), next})
		fresh.points = append(fresh.points, point{float64(n), first})
	}
	return []series{reused, fresh}, nil
}

// exchangeBytes returns the bytes of the first exchange, which opens a connection, and of the next one, which reuses
// it.
func exchangeBytes(ctx context.Context, entries []encoder.LoadEntry) (first, next float64, err error) {
	var bytes atomic.Int64
	cfg := gossiper.Config{
		Name: "vavrad-0001", Key: []byte("key of the slope measure"), Control: "10.20.0.1:8002",
		Load:    func() []encoder.LoadEntry { return entries },
		Current: func() configurer.ID { return configurer.ID{Version: 412, Digest: configurer.DigestOf(nil)} },
	}
	server, err := gossiper.New(cfg)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	defer func() { _ = l.Close() }()
	cfg.Count = func(sent, received int) { bytes.Add(int64(sent + received)) }
	client, err := gossiper.New(cfg)
	if err != nil {
		return 0, 0, trace.Wrap(err)
	}
	defer client.Close()
	if _, err = client.Exchange(ctx, l.Addr().String()); err != nil {
		return 0, 0, err
	}
	first = float64(bytes.Load())
	_, err = client.Exchange(ctx, l.Addr().String())
	return first, float64(bytes.Load()) - first, err
}

func recorderSlopes() ([]series, error) {
	memory := series{name: "memory of recorded streams of 256 events", dimension: "streams", unit: "B"}
	data := `{"id":"c","object":"chat.completion.chunk","model":"vavrad-text","choices":[{"index":0,"delta":{"role":"assistant","content":"word "},"finish_reason":null}]}`
	for _, n := range streamSizes {
		var err error
		size, r := memoryOf(func() *recorder.Recorder {
			r := recorder.New(recorder.Config{MaxBytes: 1 << 30})
			for i := range n {
				s := r.Open(encoder.StreamID{Agent: "vavrad-0001", Incarnation: 1, Serial: uint64(i)}, "organisation-1", 0)
				for range slopeEvents {
					if e := s.Append(encoder.Event{Data: string([]byte(data)), Text: "word "}); e != nil {
						err = e
					}
				}
			}
			return r
		})
		if err != nil {
			return nil, trace.Wrap(err)
		}
		memory.points = append(memory.points, point{float64(n), size})
		runtime.KeepAlive(r)
	}
	return []series{memory}, nil
}
