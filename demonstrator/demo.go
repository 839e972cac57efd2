package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"clementineramp/encoder"
	"clementineramp/standin"
)

// The size and timing of the demonstration.
const (
	demoEngines = 4
	demoWorkers = 3
	demoRouters = 2
	demoChats   = 40
	demoTurns   = 5
	demoOrders  = 6
	demoTokens  = 24
	// chatStagger is the time between the starts of two chats, and thinkTime the pause between two turns of a chat.
	chatStagger = 7 * time.Millisecond
	thinkTime   = 60 * time.Millisecond
	// killTurn is the turn, counted from 0, in which an engine is killed while it is streaming.
	killTurn = 3
	// minCacheReuse is the smallest fraction of the prompt tokens of later turns that must come from a cache.
	minCacheReuse = 0.3
)

// Report is the result of a demonstration.
type Report struct {
	Chats          int `json:"chats"`
	Turns          int `json:"turns"`
	WholeAnswers   int `json:"whole_answers"`
	ResumedAnswers int `json:"resumed_answers"`
	// CacheReuse is the fraction of the prompt tokens of later turns, all but a chat's first, that came from an engine's
	// cache.
	CacheReuse     float64            `json:"cache_reuse"`
	KilledUpstream string             `json:"killed_upstream"`
	Served         []UpstreamRequests `json:"served"`
	Orders         int                `json:"orders"`
	OrderRetries   int                `json:"order_repeats"`
	OrdersRan      int                `json:"orders_ran"`
	OrdersRanTwice int                `json:"orders_ran_twice"`
	Failures       []string           `json:"failures"`
}

// UpstreamRequests is the number of requests that an upstream ran.
type UpstreamRequests struct {
	Upstream string `json:"upstream"`
	Requests int    `json:"requests"`
}

// DemoConfig sets the output of the demonstration.
type DemoConfig struct {
	Out  io.Writer
	Log  io.Writer
	JSON bool
	// Serve keeps the fleet running after the report has been printed until the context ends.
	Serve bool
}

// ErrFailed is returned by Demo when at least one of its checks fails.
var ErrFailed = trace.Errorf("a check of the demonstration failed")

// Demo runs the demonstration and prints its report; it returns ErrFailed if a check failed.
func Demo(ctx context.Context, cfg DemoConfig) error {
	f, err := StartFleet(ctx, FleetConfig{
		Routers: demoRouters, Engines: demoEngines, Workers: demoWorkers, Log: cfg.Log,
		Engine: standin.EngineConfig{
			Slots: 16, CacheTokens: 40_000, PrefillPerToken: 20 * time.Microsecond, TokenInterval: 3 * time.Millisecond,
		},
	})
	if err != nil {
		return trace.Wrap(err)
	}
	defer f.Close()
	d := &demo{fleet: f}
	d.run(ctx)
	if err := d.print(cfg); err != nil {
		return trace.Wrap(err)
	}
	if cfg.Serve {
		f.printAddresses(cfg.Out)
		<-ctx.Done()
	}
	if len(d.report.Failures) > 0 {
		return ErrFailed
	}
	return nil
}

// demo is one run of the demonstration; mu guards the report and the token counts while requests run.
type demo struct {
	fleet *Fleet

	mu                         sync.Mutex
	report                     Report
	promptTokens, cachedTokens int
}

func (d *demo) fail(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Failures = append(d.report.Failures, fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) {
	d.report.Chats = demoChats
	d.runChats(ctx)
	d.resumeAnswer(ctx)
	d.placeOrders(ctx)
	d.checkRecords()
}

// runChats sends the turns of all chats concurrently; each turn goes through a different router than the one before.
// When the first chat reaches turn killTurn, an engine is killed.
func (d *demo) runChats(ctx context.Context) {
	killed := make(chan struct{})
	var kill sync.Once
	var g errgroup.Group
	for i := range demoChats {
		g.Go(func() error {
			time.Sleep(time.Duration(i) * chatStagger)
			var history []encoder.Message
			for turn := range demoTurns {
				if turn == killTurn {
					kill.Do(func() { go d.killBusiest(killed) })
				}
				history = d.runTurn(ctx, i, turn, history)
				time.Sleep(thinkTime)
			}
			return nil
		})
	}
	_ = g.Wait()
	<-killed
}

// killBusiest kills the engine with the most running work while it is streaming.
func (d *demo) killBusiest(done chan struct{}) {
	defer close(done)
	var busiest *standin.Engine
	most := 0.0
	for range 200 {
		for _, e := range d.fleet.Engines {
			if work, _ := e.Work(); work > most {
				busiest, most = e, work
			}
		}
		if busiest != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if busiest == nil {
		d.fail("no engine was running a request, so none was killed")
		return
	}
	time.Sleep(20 * time.Millisecond)
	busiest.Kill()
	d.mu.Lock()
	d.report.KilledUpstream = busiest.Name()
	d.mu.Unlock()
}

// runTurn sends one turn of a chat and returns the chat's history after it.
func (d *demo) runTurn(ctx context.Context, chat, turn int, history []encoder.Message) []encoder.Message {
	o := Organisations[chat%len(Organisations)]
	history = append(slices.Clone(history), encoder.Message{
		Role: "user", Content: fmt.Sprintf("Chat %d, question %d: how do I lay out the tax ledger of this month so that it adds up?", chat, turn),
	})
	seed := int64(chat*100 + turn)
	req := encoder.ChatRequest{Model: Model, Messages: history, MaxTokens: demoTokens, Seed: &seed}
	c := &standin.Caller{Key: o.Key}
	reply, err := c.Chat(ctx, d.routerAddress(turn+chat), req, http.Header{"Clementine-Chat": {fmt.Sprintf("chat-%d", chat)}})
	d.mu.Lock()
	d.report.Turns++
	if turn > 0 {
		d.promptTokens += reply.Usage.PromptTokens
		if reply.Usage.PromptDetails != nil {
			d.cachedTokens += reply.Usage.PromptDetails.CachedTokens
		}
	}
	d.mu.Unlock()
	switch {
	case err != nil:
		d.fail("chat %d turn %d: %v", chat, turn, err)
	case reply.Text != standin.Answer(req, Version):
		d.fail("chat %d turn %d: the answer is not the complete answer to this request", chat, turn)
	default:
		d.mu.Lock()
		d.report.WholeAnswers++
		d.mu.Unlock()
	}
	return append(history, encoder.Message{Role: "assistant", Content: reply.Text})
}

func (d *demo) routerAddress(i int) string {
	return d.fleet.Routers[i%len(d.fleet.Routers)].Address()
}

// resumeAnswer closes the connection in the middle of an answer from one router and reads the rest through another.
func (d *demo) resumeAnswer(ctx context.Context) {
	seed := int64(7)
	req := encoder.ChatRequest{
		Model: Model, MaxTokens: demoTokens, Seed: &seed,
		Messages: []encoder.Message{{Role: "user", Content: "Which template fits a small shop?"}},
	}
	c := &standin.Caller{Key: Organisations[0].Key}
	first, last, err := c.ChatUntil(ctx, d.routerAddress(0), req, demoTokens/3)
	if err != nil {
		d.fail("first part of the resumed answer: %v", err)
		return
	}
	rest, err := c.Resume(ctx, d.routerAddress(1), last)
	if err != nil {
		d.fail("resume: %v", err)
		return
	}
	if first+rest.Text != standin.Answer(req, Version) {
		d.fail("the two parts of the resumed answer do not form the complete answer")
		return
	}
	d.report.ResumedAnswers++
}

// placeOrders places orders with tickets and retries each through another router while the first attempt runs.
func (d *demo) placeOrders(ctx context.Context) {
	for _, w := range d.fleet.Workers {
		w.SetDelay(20 * time.Millisecond)
	}
	g, ctx := errgroup.WithContext(ctx)
	for i := range demoOrders {
		g.Go(func() error {
			d.placeOrder(ctx, i)
			return nil
		})
	}
	_ = g.Wait()
}

func (d *demo) placeOrder(ctx context.Context, i int) {
	c := &standin.Caller{Key: Organisations[i%len(Organisations)].Key}
	ticket, err := c.Ticket(ctx, d.routerAddress(i), Service)
	if err != nil {
		d.fail("ticket %d: %v", i, err)
		return
	}
	body := []byte(fmt.Sprintf(`{"template": %d}`, i))
	responses := make([]string, demoRouters)
	var g errgroup.Group
	for r := range responses {
		g.Go(func() (err error) {
			responses[r], err = c.Order(ctx, d.routerAddress(r), Service, "/purchases", ticket, body)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		d.fail("order %d: %v", i, err)
		return
	}
	if responses[0] != responses[1] {
		d.fail("order %d: the retry and the first attempt got different responses", i)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Orders++
	d.report.OrderRetries++
}

// checkRecords reads the records of the stand-ins, counts what each served and checks them.
func (d *demo) checkRecords() {
	for _, e := range d.fleet.Engines {
		runs := e.Runs()
		d.report.Served = append(d.report.Served, UpstreamRequests{e.Name(), len(runs)})
		for _, r := range runs {
			if r.PrefixMismatch {
				d.fail("%s was asked to continue the answer of a different generation", e.Name())
			}
		}
	}
	seen := map[string]int{}
	for _, w := range d.fleet.Workers {
		runs := w.Executions()
		d.report.Served = append(d.report.Served, UpstreamRequests{w.Name(), len(runs)})
		for _, x := range runs {
			d.report.OrdersRan++
			seen[x.Key]++
			if seen[x.Key] == 2 {
				d.report.OrdersRanTwice++
				d.fail("the order with key %s ran twice", x.Key)
			}
		}
	}
	if d.promptTokens > 0 {
		d.report.CacheReuse = float64(d.cachedTokens) / float64(d.promptTokens)
	}
	if d.report.CacheReuse < minCacheReuse {
		d.fail("cache reuse is %.2f, want at least %.2f", d.report.CacheReuse, minCacheReuse)
	}
	if d.report.OrdersRan != demoOrders {
		d.fail("%d orders ran, want %d", d.report.OrdersRan, demoOrders)
	}
}

func (d *demo) print(cfg DemoConfig) error {
	if cfg.JSON {
		return json.NewEncoder(cfg.Out).Encode(d.report)
	}
	r := d.report
	w := cfg.Out
	fmt.Fprintf(w, "%d routers, %d engines and %d workers of a plain service, all on loopback\n", demoRouters, demoEngines, demoWorkers)
	fmt.Fprintf(w, "%d chats of %d turns each; %d complete answers; cache reuse of later turns %.0f%%\n", r.Chats, demoTurns, r.WholeAnswers, 100*r.CacheReuse)
	fmt.Fprintf(w, "killed while streaming: %s; its answers continued on other engines\n", r.KilledUpstream)
	fmt.Fprintf(w, "%d answer interrupted at one router and resumed through another\n", r.ResumedAnswers)
	fmt.Fprintf(w, "%d orders, each retried through another router: %d ran, %d ran twice\n", r.Orders, r.OrdersRan, r.OrdersRanTwice)
	for _, s := range r.Served {
		fmt.Fprintf(w, "  %-10s served %d\n", s.Upstream, s.Requests)
	}
	for _, f := range r.Failures {
		fmt.Fprintf(w, "FAILED: %s\n", f)
	}
	if len(r.Failures) == 0 {
		fmt.Fprintln(w, "all checks passed")
	}
	return nil
}

// printAddresses prints the addresses and the names that a caller needs to send requests.
func (f *Fleet) printAddresses(w io.Writer) {
	for i, r := range f.Routers {
		fmt.Fprintf(w, "router %d: http://%s (operators: %s)\n", i+1, r.Address(), r.OperatorAddress())
	}
	fmt.Fprintf(w, "platform: http://%s\n", f.PlatformServer.Address())
	for _, e := range f.Engines {
		fmt.Fprintf(w, "engine %s: http://%s\n", e.Name(), e.Address())
	}
	for _, s := range f.Workers {
		fmt.Fprintf(w, "worker %s: http://%s\n", s.Name(), s.Address())
	}
	fmt.Fprintf(w, "model %s, service %s, keys:", Model, Service)
	for _, o := range Organisations {
		fmt.Fprintf(w, " %s", o.Key)
	}
	fmt.Fprintln(w)
}
