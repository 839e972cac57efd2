package measurer

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/gravitational/trace"

	"clementineramp/chooser"
	"clementineramp/encoder"
	"clementineramp/standin"
)

// reference is a router that knows every cache and load at once and obeys the same bound. It sends to the admissible
// engine that holds most of the prompt, and to the least loaded of those that hold equally much.
type reference struct {
	arena  *arena
	caller *standin.Caller

	mu sync.Mutex
	// sent is the work that is on its way to an engine or running there.
	sent map[string]float64
}

func newReference(a *arena) *reference {
	return &reference{arena: a, caller: &standin.Caller{HTTP: newHTTPClient()}, sent: map[string]float64{}}
}

// maxSends bounds the engines that fail one after the other under a request.
const maxSends = 5

func (r *reference) send(ctx context.Context, chat string, turn int, req encoder.ChatRequest) (reply standin.Reply, err error) {
	req.RequestID = strconv.FormatUint(hashOf(chat, turn), 16)
	for range maxSends {
		e := r.choose(req)
		if e == nil {
			break
		}
		reply, err = r.caller.Chat(ctx, e.Address(), req, http.Header{})
		r.mu.Lock()
		r.sent[e.Name()] -= req.Cost()
		r.mu.Unlock()
		if err == nil {
			return reply, nil
		}
	}
	return reply, trace.Wrap(err)
}

// choose picks an engine and counts the request in at once.
func (r *reference) choose(req encoder.ChatRequest) *standin.Engine {
	up := r.arena.meter.loads()
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0.0
	for name := range up {
		total += r.sent[name]
	}
	cost := req.Cost()
	limit := chooser.Limit(chooser.DefaultBound, total, len(up), cost)
	var best *standin.Engine
	most := -1
	for _, e := range r.arena.fleet.Engines {
		work := r.sent[e.Name()]
		if _, ok := up[e.Name()]; !ok || !chooser.Admits(work, cost, limit) && !chooser.AtOrBelowMean(work, total, len(up)) {
			continue
		}
		cached := e.CachedTokens(req.Messages)
		if cached > most || cached == most && work < r.sent[best.Name()] {
			best, most = e, cached
		}
	}
	if best != nil {
		r.sent[best.Name()] += cost
	}
	return best
}
