package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"clementineramp/encoder"
	"clementineramp/engine"
)

// CrashText is a message content that crashes the engine that receives it.
const CrashText = "crash the engine"

// tokenBytes is the length of each token of a stand-in engine's answer.
const tokenBytes = 6

// EngineConfig holds the settings of a stand-in engine.
type EngineConfig struct {
	Name    string
	Address string
	Model   string
	Version string
	// Slots is the number of requests that run at the same time; further requests wait by priority. Zero means 8.
	Slots int
	// CacheTokens is the capacity of the prefix cache, in tokens; zero means 100,000.
	CacheTokens int
	// PrefillPerToken is the prefill time of each prompt token that is not cached.
	PrefillPerToken time.Duration
	// TokenInterval is the time between two tokens of an answer.
	TokenInterval time.Duration
	// LoadTime is the time that loading a model takes.
	LoadTime time.Duration
	// ChecksFence makes the engine refuse a load order whose fencing number is not above the highest one received.
	ChecksFence bool
	// Listen opens the engine's listener; nil means net.Listen.
	Listen ListenFunc
	// OnWork, if not nil, is called with each change of the running work, in tokens.
	OnWork func(engine string, change float64)
}

// Run is the record of one generation at an engine.
type Run struct {
	Engine       string `json:"engine"`
	RequestID    string `json:"request_id"`
	Organisation string `json:"organisation,omitempty"`
	Version      string `json:"version"`
	// Started is when the request entered the engine's batch.
	Started      time.Time `json:"started"`
	PromptTokens int       `json:"prompt_tokens"`
	CachedTokens int       `json:"cached_tokens"`
	// Work is the estimated work of the request, in tokens.
	Work float64 `json:"work"`
	// Priority is the position of the request's rank; 0 is the most urgent.
	Priority int `json:"priority"`
	// Emitted is the number of tokens that this run added to the answer.
	Emitted   int  `json:"emitted"`
	Completed bool `json:"completed"`
	// PrefixMismatch is set when the answer prefix of the request is not a prefix of the answer that this run generates.
	PrefixMismatch bool `json:"foreign"`
	// Seed is the seed of the request; zero if it had none.
	Seed int64 `json:"seed,omitempty"`
	// Ended is when the run left the batch; zero while it is running.
	Ended time.Time `json:"ended,omitzero"`
	// WorkBefore is the work of the other runs in the batch when this run entered it, in tokens.
	WorkBefore float64 `json:"before"`
	// Crashed is set when the request crashed the engine.
	Crashed bool `json:"crashed,omitempty"`
}

// Load is one load of a model: the time from From to To during which the engine accepts no requests. A zero To means
// that it has not ended.
type Load struct {
	From, To time.Time
}

// Engine is a stand-in model engine with batching, a prefix cache and deterministic answers.
type Engine struct {
	cfg    EngineConfig
	server *Server

	mu          sync.Mutex
	model       string
	version     string
	ready       bool
	fence       uint64
	controller  string
	cache       *prefixCache
	running     map[string]context.CancelFunc
	loads       []Load
	work        float64
	maxWork     float64
	waiting     []*waiter
	runs        []*Run
	crashes     int
	frozen      chan struct{}
	incarnation int
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// StartEngine starts a stand-in engine; an empty address means a free port on loopback.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.Slots == 0 {
		cfg.Slots = 8
	}
	if cfg.CacheTokens == 0 {
		cfg.CacheTokens = 100_000
	}
	e := &Engine{
		cfg: cfg, model: cfg.Model, version: cfg.Version, ready: true,
		cache: newPrefixCache(cfg.CacheTokens), running: map[string]context.CancelFunc{},
	}
	s, err := StartOn(cfg.Listen, cfg.Address, e.handler())
	e.server = s
	return e, err
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.cfg.Name }

// Address returns the address that the engine listens on.
func (e *Engine) Address() string { return e.server.Address() }

// Kill closes the listener and every connection at once, cancels all runs and clears the cache.
func (e *Engine) Kill() {
	e.server.Kill()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cancel := range e.running {
		cancel()
	}
	e.cache.clear()
	e.incarnation++
}

// Restart starts a killed engine again at the same address.
func (e *Engine) Restart() error { return e.server.Restart() }

// SetFrozen makes the engine stop responding to chat and status requests, also in the middle of an answer, while its
// connections stay open; false lets it continue.
func (e *Engine) SetFrozen(frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if frozen && e.frozen == nil {
		e.frozen = make(chan struct{})
	}
	if !frozen && e.frozen != nil {
		close(e.frozen)
		e.frozen = nil
	}
}

// Runs returns the records of all generations, in the order of their start.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]Run, len(e.runs))
	for i, r := range e.runs {
		runs[i] = *r
	}
	return runs
}

// Loads returns the loads of models since the engine was created, in order.
func (e *Engine) Loads() []Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.loads)
}

// CachedTokens returns the number of prompt tokens in the engine's cache, without marking them as recently used.
func (e *Engine) CachedTokens(messages []encoder.Message) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.peek(messages)
}

// Crashes returns the number of times that a request crashed the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Work returns the running work and its peak so far, in tokens.
func (e *Engine) Work() (now, largest float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.work, e.maxWork
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// Loaded returns the model and version in service.
func (e *Engine) Loaded() (model, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model, e.version
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/status", e.serveStatus)
	mux.HandleFunc("POST /v1/load", e.serveLoad)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("GET "+RecordsPath, func(w http.ResponseWriter, _ *http.Request) { writeRecords(w, e.Records()) })
	return mux
}

// waitWhileFrozen blocks until the engine is not frozen, or returns the error of ctx.
func (e *Engine) waitWhileFrozen(ctx context.Context) error {
	e.mu.Lock()
	frozen := e.frozen
	e.mu.Unlock()
	if frozen == nil {
		return nil
	}
	select {
	case <-frozen:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	if e.waitWhileFrozen(r.Context()) != nil {
		return
	}
	e.mu.Lock()
	s := engine.Status{
		Model: e.model, Version: e.version, Ready: e.ready, Fence: e.fence,
		Slots: e.cfg.Slots, Running: len(e.running), Controller: e.controller,
	}
	e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var o engine.LoadOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.cfg.ChecksFence && o.Fence <= e.fence {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.ready = false
	e.controller = o.Controller
	e.cache.clear()
	n := len(e.loads)
	e.loads = append(e.loads, Load{From: time.Now()})
	e.mu.Unlock()
	time.Sleep(e.cfg.LoadTime)
	e.mu.Lock()
	e.model, e.version, e.ready = o.Model, o.Version, true
	e.loads[n].To = time.Now()
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		RequestID string `json:"request_id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if cancel, ok := e.running[body.RequestID]; ok {
		cancel()
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var req encoder.ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.waitWhileFrozen(r.Context()) != nil {
		return
	}
	e.mu.Lock()
	version, ready, incarnation := e.version, e.ready && req.Model == e.model, e.incarnation
	e.mu.Unlock()
	if !ready {
		http.Error(w, "model is not loaded", http.StatusServiceUnavailable)
		return
	}
	if req.Version != "" && req.Version != version {
		http.Error(w, "version in service is "+version, http.StatusConflict)
		return
	}
	if e.crashIfRequested(req) {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if e.acquireSlot(ctx, req, cancel) != nil {
		return
	}
	run := e.record(req, version)
	defer e.finish(req, run)
	e.stream(ctx, w, req, run, incarnation)
}

// crashIfRequested kills the engine if a message contains CrashText, and reports whether it did.
func (e *Engine) crashIfRequested(req encoder.ChatRequest) bool {
	for _, m := range req.Messages {
		if strings.Contains(m.Content, CrashText) {
			run := e.record(req, req.Version)
			e.mu.Lock()
			run.Crashed, run.Ended = true, run.Started
			e.crashes++
			e.mu.Unlock()
			e.Kill()
			return true
		}
	}
	return false
}

// acquireSlot waits for a slot in the batch and adds the request to the running work.
func (e *Engine) acquireSlot(ctx context.Context, req encoder.ChatRequest, cancel context.CancelFunc) error {
	e.mu.Lock()
	if len(e.running) >= e.cfg.Slots {
		wt := &waiter{priority: req.Priority, ready: make(chan struct{})}
		e.waiting = append(e.waiting, wt)
		e.mu.Unlock()
		select {
		case <-wt.ready:
		case <-ctx.Done():
			e.removeWaiter(wt)
			return ctx.Err()
		}
		e.mu.Lock()
	}
	e.running[req.RequestID] = cancel
	e.work += req.Cost()
	e.maxWork = max(e.maxWork, e.work)
	e.mu.Unlock()
	e.reportWork(req.Cost())
	return nil
}

func (e *Engine) removeWaiter(wt *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, other := range e.waiting {
		if other == wt {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
	// The slot was granted while the request was being cancelled, so the next waiter gets it.
	e.grantSlot()
}

// reportWork calls OnWork with a change of the running work.
func (e *Engine) reportWork(change float64) {
	if e.cfg.OnWork != nil {
		e.cfg.OnWork(e.cfg.Name, change)
	}
}

func (e *Engine) finish(req encoder.ChatRequest, run *Run) {
	e.reportWork(-req.Cost())
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Ended = time.Now()
	delete(e.running, req.RequestID)
	e.work -= req.Cost()
	e.grantSlot()
}

// grantSlot gives a free slot to the waiting request with the smallest priority number.
func (e *Engine) grantSlot() {
	if len(e.waiting) == 0 {
		return
	}
	best := 0
	for i, wt := range e.waiting {
		if wt.priority < e.waiting[best].priority {
			best = i
		}
	}
	close(e.waiting[best].ready)
	e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
}

func (e *Engine) record(req encoder.ChatRequest, version string) *Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	run := &Run{
		Engine: e.cfg.Name, RequestID: req.RequestID, Version: version, Started: time.Now(), Priority: req.Priority,
		PromptTokens: req.PromptTokens(), CachedTokens: e.cache.lookup(req.Messages), Work: req.Cost(),
		PrefixMismatch: !strings.HasPrefix(Answer(req, version), req.Prefix),
		WorkBefore:     max(e.work-req.Cost(), 0),
	}
	if req.Seed != nil {
		run.Seed = *req.Seed
	}
	e.runs = append(e.runs, run)
	return run
}

// Answer returns the complete answer to a request. It depends only on the request and the model version, so all engines
// with this version generate the same one.
func Answer(req encoder.ChatRequest, version string) string {
	n := req.AnswerTokenLimit()
	var b strings.Builder
	b.Grow(n * tokenBytes)
	for i := range n {
		b.WriteString(token(req, version, i))
	}
	return b.String()
}

func token(req encoder.ChatRequest, version string, i int) string {
	seed := int64(0)
	if req.Seed != nil {
		seed = *req.Seed
	}
	h := xxhash.Sum64String(fmt.Sprint(req.Fingerprint(""), version, seed, i))
	return fmt.Sprintf("%05x ", h&0xfffff)
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, req encoder.ChatRequest, run *Run, incarnation int) {
	if !sleep(ctx, time.Duration(run.PromptTokens-run.CachedTokens)*e.cfg.PrefillPerToken) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Model-Version", run.Version)
	total := req.AnswerTokenLimit()
	var text strings.Builder
	text.WriteString(req.Prefix)
	for i := len(req.Prefix) / tokenBytes; i < total; i++ {
		if !sleep(ctx, e.cfg.TokenInterval) || e.waitWhileFrozen(ctx) != nil {
			return
		}
		t := token(req, run.Version, i)
		text.WriteString(t)
		if writeChunk(w, req, t, "", nil) != nil {
			return
		}
		e.mu.Lock()
		run.Emitted++
		e.mu.Unlock()
	}
	usage := &encoder.Usage{
		PromptTokens: run.PromptTokens, CompletionTokens: total, TotalTokens: run.PromptTokens + total,
		PromptDetails: &encoder.PromptDetail{CachedTokens: run.CachedTokens},
	}
	if ctx.Err() != nil || writeChunk(w, req, "", "stop", usage) != nil {
		return
	}
	if encoder.WriteEvent(w, encoder.DoneEvent("")) != nil {
		return
	}
	flush(w)
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Completed = true
	if incarnation == e.incarnation {
		e.cache.add(append(append([]encoder.Message{}, req.Messages...), encoder.Message{Role: "assistant", Content: text.String()}))
	}
}

func writeChunk(w http.ResponseWriter, req encoder.ChatRequest, text, finish string, usage *encoder.Usage) error {
	choice := encoder.Choice{Delta: &encoder.Message{Role: "assistant", Content: text}}
	if finish != "" {
		choice.FinishReason = &finish
	}
	b, err := json.Marshal(encoder.Chunk{
		ID: req.RequestID, Object: "chat.completion.chunk", Model: req.Model,
		Choices: []encoder.Choice{choice}, Usage: usage,
	})
	if err != nil {
		return err
	}
	if err := encoder.WriteEvent(w, encoder.Event{Data: string(b)}); err != nil {
		return err
	}
	flush(w)
	return nil
}

func flush(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
