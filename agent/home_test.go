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
	"clementineramp/standin"
	"clementineramp/tracker"
)

const homeKey = "shared"

// home is an agent before a stand-in engine, with a fixed view of two other engines.
type home struct {
	t       *testing.T
	agent   *agent.Agent
	address string
	client  *forwarder.Client
}

func newHome(t *testing.T, others tracker.Load, view []chooser.Upstream) *home {
	e, err := standin.StartEngine(standin.EngineConfig{Name: "engine-1", Model: "m", Version: "v1", TokenInterval: 10 * time.Millisecond})
	require.NoError(t, err)
	t.Cleanup(e.Kill)
	a, err := agent.New(agent.Config{
		Name: "engine-1", Pool: "p", Kind: agent.KindEngine, Upstream: e.Address(), SharedKey: homeKey,
		Snapshot: func() *configurer.Snapshot { return nil },
		Others:   func(string, string) tracker.Load { return others },
		View:     func(string) []chooser.Upstream { return view },
		Merge:    func([]encoder.LoadEntry) {},
		Freshest: func() []encoder.LoadEntry { return nil },
		Log:      hclog.NewNullLogger(),
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
	return &home{t: t, agent: a, address: strings.TrimPrefix(s.URL, "http://"), client: forwarder.New(forwarder.Config{SharedKey: homeKey, HeartbeatTimeout: 5 * time.Second})}
}

// ask sends a turn of a chat as a router does, and returns the upstream that the agent names, or its own name as soon
// as it runs the turn.
func (h *home) ask(chat uint64, returning bool, change func(*encoder.Envelope)) string {
	env := encoder.Envelope{RequestID: "r", Organisation: "o", ChatKey: chat, Home: true, DeadlineMS: 5000}
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
	return f.Try
}

func engines(work2, work3 float64) []chooser.Upstream {
	return []chooser.Upstream{
		{Name: "engine-1", State: chooser.Live, Uptime: time.Hour},
		{Name: "engine-2", State: chooser.Live, Known: true, Work: work2, Uptime: time.Hour},
		{Name: "engine-3", State: chooser.Live, Known: true, Work: work3, Uptime: time.Hour},
	}
}

// Guards against a first agent that loses a chat's prefix, and against one that fills the room that returning chats
// need with new ones. A generation goes on for its grace time after its router has left, so that load stays.
func TestPlacement(t *testing.T) {
	h := newHome(t, tracker.Load{Work: 500, Known: 2, Members: 2}, engines(0, 100))
	require.Equal(t, "engine-1", h.ask(1, false, nil), "an idle engine takes a new chat")
	require.Equal(t, "engine-2", h.ask(2, false, nil), "above the mean a new chat goes to an engine below it")
	require.Equal(t, "engine-2", h.ask(2, true, nil), "and stays there")
	env := encoder.Envelope{RequestID: "r", ChatKey: 2, Holder: "engine-3"}
	require.NoError(t, h.client.NotifyPlacement(context.Background(), h.address, env))
	require.Equal(t, "engine-3", h.ask(2, true, nil), "the router tells where it ran in the end")
	require.NotEqual(t, "engine-1", h.ask(3, true, nil), "a chat from before this engine was ready is asked for at the next agent")
	advised := func(e *encoder.Envelope) { e.Home, e.Advised = false, true }
	require.Equal(t, "engine-3", h.ask(2, true, advised), "the next agent in the order passes on what it was told")
	require.Error(t, h.client.NotifyPlacement(context.Background(), h.address, encoder.Envelope{RequestID: "r", ChatKey: 2}))
}

// Guards against an admission above the bound, and against a request that is refused though room comes at once.
func TestBoundAndDeferral(t *testing.T) {
	h := newHome(t, tracker.Load{Work: 100, Known: 2, Members: 2}, engines(50, 50))
	require.Equal(t, "engine-1", h.ask(1, false, nil))
	require.NotEqual(t, "engine-1", h.ask(1, true, nil), "the holder has no room within the bound while it runs 400 tokens")
}
