package demonstrator_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/demonstrator"
	"clementineramp/encoder"
	"clementineramp/standin"
)

// Guards against a process of the fleet that bypasses the in-memory network, or that blocks on something outside the
// synctest bubble, which would stop virtual time.
func TestFleetOnNetwork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork()
		f, err := demonstrator.StartFleet(t.Context(), demonstrator.FleetConfig{
			Routers: 2, Engines: 2, Workers: 2, InMemory: n,
			Engine: standin.EngineConfig{Slots: 4, TokenInterval: 20 * time.Millisecond},
		})
		require.NoError(t, err)
		e := n.Endpoint("caller")
		transport := &http.Transport{DialContext: e.Dial}
		c := &standin.Caller{Key: demonstrator.Organisations[0].Key, HTTP: &http.Client{Transport: transport}}
		seed := int64(1)
		req := encoder.ChatRequest{
			Model: demonstrator.Model, Messages: []encoder.Message{{Role: "user", Content: "hello"}}, MaxTokens: 8, Seed: &seed,
		}
		reply, err := c.Chat(t.Context(), f.Routers[0].Address(), req, nil)
		require.NoError(t, err)
		require.Equal(t, standin.Answer(req, demonstrator.Version), reply.Text)
		require.NoError(t, f.KillProcess("router-1"))
		_, err = c.Chat(t.Context(), f.Routers[0].Address(), req, nil)
		require.Error(t, err)
		require.NoError(t, f.RestartProcess("router-1"))
		require.Eventually(t, func() bool {
			_, err = c.Chat(t.Context(), f.Routers[0].Address(), req, nil)
			return err == nil
		}, 10*time.Second, 100*time.Millisecond)
		transport.CloseIdleConnections()
		f.Close()
		n.Close()
	})
}

// Guards against a chat that fails although an engine becomes ready within its deadline: during a rolling change of the
// model version the engine that serves the chat crashes before the first token, while the other one loads the new version.
// The caller got not_ready with the verdict "may have run".
func TestEngineCrashesWhileAnotherLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := standin.NewNetwork()
		f, err := demonstrator.StartFleet(t.Context(), demonstrator.FleetConfig{
			Routers: 1, Engines: 2, Workers: 1, InMemory: n,
			Engine: standin.EngineConfig{
				Slots: 4, TokenInterval: 20 * time.Millisecond, LoadTime: 400 * time.Millisecond, PrefillPerToken: 50 * time.Millisecond,
			},
		})
		require.NoError(t, err)
		require.NoError(t, f.Publish(2, "v2"))
		loads := func(e *standin.Engine) bool {
			l := e.Loads()
			return len(l) > 0 && l[len(l)-1].To.IsZero()
		}
		var serving *standin.Engine
		for serving == nil {
			time.Sleep(time.Millisecond)
			for i, e := range f.Engines {
				if loads(e) {
					serving = f.Engines[1-i]
				}
			}
		}
		go func() {
			for serving.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			serving.Kill()
		}()
		transport := &http.Transport{DialContext: n.Endpoint("caller").Dial}
		c := &standin.Caller{Key: demonstrator.Organisations[0].Key, HTTP: &http.Client{Transport: transport}}
		seed := int64(1)
		req := encoder.ChatRequest{
			Model: demonstrator.Model, Messages: []encoder.Message{{Role: "user", Content: "hello"}}, MaxTokens: 8, Seed: &seed,
		}
		reply, err := c.Chat(t.Context(), f.Routers[0].Address(), req, nil)
		require.NoError(t, err)
		require.Equal(t, standin.Answer(req, "v2"), reply.Text)
		transport.CloseIdleConnections()
		f.Close()
		n.Close()
	})
}
