package agent_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/agent"
	"clementineramp/chooser"
	"clementineramp/configurer"
	"clementineramp/encoder"
	"clementineramp/forwarder"
	"clementineramp/judge"
	"clementineramp/standin"
	"clementineramp/tracker"
)

const sharedKey = "shared"

// testAgent is an agent with a stand-in engine and a fixed view of two other engines.
type testAgent struct {
	t       *testing.T
	agent   *agent.Agent
	address string
	client  *forwarder.Client
}

func newTestAgent(t *testing.T, others tracker.Load, view []chooser.Upstream) *testAgent {
	e, err := standin.StartEngine(standin.EngineConfig{Name: "engine-1", Model: "m", Version: "v1", TokenInterval: 10 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(e.Kill)
	a, err := agent.New(agent.Config{
		Name: "engine-1", Pool: "p", Kind: agent.KindEngine, Upstream: e.Address(), SharedKey: sharedKey,
		Snapshot:     func() *configurer.Snapshot { return nil },
		PeerLoad:     func(string, string) tracker.Load { return others },
		View:         func(string) []chooser.Upstream { return view },
		MergeLoad:    func([]encoder.LoadEntry) {},
		FreshestLoad: func() []encoder.LoadEntry { return nil },
		Log:          hclog.NewNullLogger(),
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.Run(ctx)
	}()
	s := httptest.NewServer(a.Handler())
	t.Cleanup(func() {
		a.Close()
		s.CloseClientConnections()
		s.Close()
		cancel()
		<-done
	})
	require.Eventually(t, a.Ready, 5*time.Second, time.Millisecond)
	return &testAgent{t: t, agent: a, address: strings.TrimPrefix(s.URL, "http://"), client: forwarder.New(forwarder.Config{SharedKey: sharedKey, HeartbeatTimeout: 5 * time.Second})}
}

// sendTurn sends a turn of a chat as a router does. It returns the upstream to which the agent redirects the turn, or
// the agent's own upstream once that runs the turn; then it disconnects.
func (h *testAgent) sendTurn(chat uint64, returning bool, change func(*encoder.Envelope)) string {
	env := encoder.Envelope{RequestID: "r", Organisation: "o", ChatKey: chat, Preferred: true, DeadlineMS: 5000}
	if change != nil {
		change(&env)
	}
	body := encoder.ChatRequest{Model: "m", MaxTokens: 400, RequestID: "r", Messages: []encoder.Message{{Role: "user", Content: "q"}}}
	if returning {
		body.Messages = append(body.Messages, encoder.Message{Role: "assistant", Content: "a"}, encoder.Message{Role: "user", Content: "q"})
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	runs := false
	err := h.client.Chat(ctx, h.address, env, body, func(http.Header) { runs = true }, func(encoder.Event) error { return context.Canceled })
	if runs {
		return "engine-1"
	}
	var f *forwarder.Failure
	require.ErrorAs(h.t, err, &f)
	return f.NextUpstream
}

func upstreamsWithLoad(work2, work3 float64) []chooser.Upstream {
	return []chooser.Upstream{
		{Name: "engine-1", State: chooser.Live, Uptime: time.Hour},
		{Name: "engine-2", State: chooser.Live, Known: true, Work: work2, Uptime: time.Hour},
		{Name: "engine-3", State: chooser.Live, Known: true, Work: work3, Uptime: time.Hour},
	}
}

// Guards against a preferred agent that loses the record of which engine has a chat's prefix, and against one that uses
// the capacity for further turns of cached chats to run new chats. A generation continues for its grace period after its
// router has disconnected, so the load of each turn remains for the following ones.
func TestChatRedirection(t *testing.T) {
	h := newTestAgent(t, tracker.Load{Work: 500, Known: 2, Members: 2}, upstreamsWithLoad(0, 100))
	require.Equal(t, "engine-1", h.sendTurn(1, false, nil), "an idle engine accepts a new chat")
	require.Equal(t, "engine-2", h.sendTurn(2, false, nil), "an engine above the mean load redirects a new chat to one below it")
	require.Equal(t, "engine-2", h.sendTurn(2, true, nil), "the chat stays at that engine")
	env := encoder.Envelope{RequestID: "r", ChatKey: 2, Holder: "engine-3"}
	require.NoError(t, h.client.NotifyPlacement(context.Background(), h.address, env))
	require.Equal(t, "engine-3", h.sendTurn(2, true, nil), "a router's report of where the chat ran replaces the record")
	require.NotEqual(t, "engine-1", h.sendTurn(3, true, nil), "a chat from before this engine was ready is redirected to the next agent")
	advised := func(e *encoder.Envelope) { e.Preferred, e.Advised = false, true }
	require.Equal(t, "engine-3", h.sendTurn(2, true, advised), "the next agent in the preference order redirects to the engine on record")
	require.Error(t, h.client.NotifyPlacement(context.Background(), h.address, encoder.Envelope{RequestID: "r", ChatKey: 2}))
}

// Guards against an admission above the load limit, and against a request that is refused although capacity becomes
// free at once.
func TestLoadLimitAndDeferral(t *testing.T) {
	h := newTestAgent(t, tracker.Load{Work: 100, Known: 2, Members: 2}, upstreamsWithLoad(50, 50))
	require.Equal(t, "engine-1", h.sendTurn(1, false, nil))
	require.NotEqual(t, "engine-1", h.sendTurn(1, true, nil), "the engine with the prefix is above its load limit while it runs 400 tokens")
}

// Guards against an agent that takes its own load for the mean of its pool: right after a restart it has neither a host
// list nor a report of a peer, while its engine may still run requests of its predecessor.
func TestUnsettledAgentRunsOneRequestAtATime(t *testing.T) {
	for name, c := range map[string]struct {
		view    []chooser.Upstream
		refused bool
	}{
		"no host list":                {nil, true},
		"peers without known load":    {make([]chooser.Upstream, 3), true},
		"the only engine of its pool": {make([]chooser.Upstream, 1), false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestAgent(t, tracker.Load{}, c.view)
			ctx, cancel := context.WithCancel(context.Background())
			running, done := make(chan struct{}), make(chan struct{})
			body := encoder.ChatRequest{Model: "m", MaxTokens: 400, RequestID: "first", Messages: []encoder.Message{{Role: "user", Content: "q"}}}
			go func() {
				defer close(done)
				_ = h.client.Chat(ctx, h.address, encoder.Envelope{RequestID: "first", Organisation: "o", ChatKey: 1, DeadlineMS: 5000}, body,
					func(http.Header) { close(running) }, func(encoder.Event) error { return nil })
			}()
			<-running
			body.RequestID = "second"
			err := h.client.Chat(ctx, h.address, encoder.Envelope{RequestID: "second", Organisation: "o", ChatKey: 2, DeadlineMS: 5000}, body,
				func(http.Header) {}, func(encoder.Event) error { return context.Canceled })
			if c.refused {
				require.Equal(t, judge.ReasonLoadBound, judge.ReasonOf(err))
			} else {
				require.ErrorIs(t, err, context.Canceled)
			}
			cancel()
			<-done
		})
	}
}
