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

// referenceRouter is a router that sees the contents of all caches and all loads without delay and applies the same
// load limit. Of the engines that may accept a request it chooses the one that has most of the prompt in its cache,
// and of those with equally much the least loaded one.
type referenceRouter struct {
	workload *workload
	caller   *standin.Caller

	mu sync.Mutex
	// assignedWork is the work in transit to each engine or running there, in tokens.
	assignedWork map[string]float64
}

func newReferenceRouter(w *workload) *referenceRouter {
	return &referenceRouter{workload: w, caller: &standin.Caller{HTTP: newHTTPClient()}, assignedWork: map[string]float64{}}
}

// maxAttempts bounds the attempts for a request when engines fail one after the other.
const maxAttempts = 5

func (r *referenceRouter) send(ctx context.Context, chat string, turn int, req encoder.ChatRequest) (reply standin.Reply, err error) {
	req.RequestID = strconv.FormatUint(turnHash(chat, turn), 16)
	for range maxAttempts {
		e := r.choose(req)
		if e == nil {
			break
		}
		reply, err = r.caller.Chat(ctx, e.Address(), req, http.Header{})
		r.mu.Lock()
		r.assignedWork[e.Name()] -= req.Cost()
		r.mu.Unlock()
		if err == nil {
			return reply, nil
		}
	}
	return reply, trace.Wrap(err)
}

// choose returns the engine for a request, or nil if none may accept it, and adds the request to its assigned work.
func (r *referenceRouter) choose(req encoder.ChatRequest) *standin.Engine {
	loads := r.workload.meter.loads()
	r.mu.Lock()
	defer r.mu.Unlock()
	total := 0.0
	for name := range loads {
		total += r.assignedWork[name]
	}
	cost := req.Cost()
	limit := chooser.Limit(chooser.DefaultBound, total, len(loads), cost)
	var best *standin.Engine
	mostCached := -1
	for _, e := range r.workload.fleet.Engines {
		work := r.assignedWork[e.Name()]
		if _, ok := loads[e.Name()]; !ok || !chooser.Admits(work, cost, limit) && !chooser.AtOrBelowMean(work, total, len(loads)) {
			continue
		}
		cached := e.CachedTokens(req.Messages)
		if cached > mostCached || cached == mostCached && work < r.assignedWork[best.Name()] {
			best, mostCached = e, cached
		}
	}
	if best != nil {
		r.assignedWork[best.Name()] += cost
	}
	return best
}
