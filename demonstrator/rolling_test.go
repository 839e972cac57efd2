package demonstrator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/demonstrator"
	"clementineramp/encoder"
	"clementineramp/standin"
)

// waitTimeout is the timeout of require.Eventually, far above the time that each condition takes.
const waitTimeout = 30 * time.Second

func startFleet(t *testing.T, cfg demonstrator.FleetConfig) *demonstrator.Fleet {
	f, err := demonstrator.StartFleet(t.Context(), cfg)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func engineConfig() standin.EngineConfig {
	return standin.EngineConfig{Slots: 8, TokenInterval: 2 * time.Millisecond, LoadTime: 50 * time.Millisecond}
}

// Guards against a rolling change of the model version that truncates an answer, mixes two versions in one answer, or
// takes too many engines out of service at once.
func TestRollingVersion(t *testing.T) {
	f := startFleet(t, demonstrator.FleetConfig{Routers: 2, Engines: 4, Workers: 1, Engine: engineConfig()})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Go(func() { chatUntilDone(ctx, t, f, i) })
	}
	require.NoError(t, f.Publish(2, "v2"))
	require.Eventually(t, func() bool {
		for _, e := range f.Engines {
			if _, v := e.Loaded(); v != "v2" {
				return false
			}
		}
		return true
	}, waitTimeout, 10*time.Millisecond)
	cancel()
	wg.Wait()
	for _, e := range f.Engines {
		for _, r := range e.Runs() {
			require.False(t, r.PrefixMismatch, "%s continued the answer of another version", e.Name())
		}
	}
}

// chatUntilDone sends turns of a chat until ctx ends; each answer must be the complete answer of one of the two versions.
func chatUntilDone(ctx context.Context, t *testing.T, f *demonstrator.Fleet, i int) {
	c := &standin.Caller{Key: demonstrator.Organisations[i%len(demonstrator.Organisations)].Key}
	for turn := 0; ctx.Err() == nil; turn++ {
		seed := int64(turn)
		req := encoder.ChatRequest{
			Model: demonstrator.Model, MaxTokens: 10, Seed: &seed,
			Messages: []encoder.Message{{Role: "user", Content: fmt.Sprintf("chat %d turn %d", i, turn)}},
		}
		// A request that has been sent is completed even if ctx ends meanwhile.
		reply, err := c.Chat(context.WithoutCancel(ctx), f.Routers[turn%2].Address(), req, nil)
		if err != nil {
			t.Errorf("chat %d turn %d: %v", i, turn, err)
			return
		}
		if reply.Text != standin.Answer(req, "v1") && reply.Text != standin.Answer(req, "v2") {
			t.Errorf("chat %d turn %d: the answer is not the complete answer of one version: %q", i, turn, reply.Text)
		}
	}
}
