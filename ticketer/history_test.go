package ticketer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/configurer"
	"clementineramp/judge"
	"clementineramp/ticketer"
)

// Guards against a newly started agent running a caller's own key that an earlier incarnation or another owner may have
// run, and against a new fleet refusing such keys for a whole horizon.
func TestNewAgentRunsOwnKeyOnlyWithFullHistory(t *testing.T) {
	first := configurer.ID{Version: 1, Digest: "00000000000000000000000000000001"}
	second := configurer.ID{Version: 2, Digest: "00000000000000000000000000000002"}
	keysFrom := epoch.Add(15 * time.Second)
	stateOf := func(workers string, p configurer.ID, keysFrom time.Time) func(now time.Time) ticketer.ConfigurationState {
		return func(now time.Time) ticketer.ConfigurationState {
			return ticketer.ConfigurationState{Workers: []string{workers}, Confirmed: now, Configuration: p, CallerKeysFrom: keysFrom, First: first}
		}
	}
	owner := stateOf("a", first, keysFrom)
	tests := []struct {
		name string
		// before is observed at each second until the order arrives, after when it arrives.
		before, after func(now time.Time) ticketer.ConfigurationState
		start, order  time.Duration
		runs          bool
	}{
		{"owner since before CallerKeysFrom", owner, owner, 0, 20 * time.Second, true},
		{"owner in both configurations", owner, stateOf("a", second, keysFrom), 0, 20 * time.Second, true},
		{"order before CallerKeysFrom", owner, owner, 0, 10 * time.Second, false},
		{"started after CallerKeysFrom", owner, owner, 16 * time.Second, 20 * time.Second, false},
		{"CallerKeysFrom unknown, an older fleet may exist", owner, stateOf("a", first, time.Time{}), 0, 20 * time.Second, false},
		{"the fleet had an earlier configuration", stateOf("a", second, keysFrom), stateOf("a", second, keysFrom), 0, 20 * time.Second, false},
		{"key moved to this agent", stateOf("b", first, keysFrom), stateOf("a", second, keysFrom), 0, 20 * time.Second, false},
		{"key moved to another agent", owner, stateOf("b", second, keysFrom), 0, 20 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := ticketer.New(ticketer.Config{
				Service: "s", Agent: "a", Incarnation: 1, Secret: make([]byte, 32), Started: epoch.Add(tt.start),
			})
			require.NoError(t, err)
			for now := epoch.Add(tt.start); now.Before(epoch.Add(tt.order)); now = now.Add(time.Second) {
				l.Observe(now, tt.before(now))
			}
			now := epoch.Add(tt.order)
			_, err = l.Begin(now, ticketer.Key{Organisation: "o", Text: "k"}, ticketer.DigestOf([]byte("x")), tt.after(now))
			if tt.runs {
				require.NoError(t, err)
				return
			}
			require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err), "%v", err)
		})
	}
}

// Guards against an observation without a configuration ending the ownerships of an agent that is starting.
func TestObservationWithoutConfigurationIsIgnored(t *testing.T) {
	first := configurer.ID{Version: 1, Digest: "00000000000000000000000000000001"}
	l, err := ticketer.New(ticketer.Config{Service: "s", Agent: "a", Incarnation: 1, Secret: make([]byte, 32), Started: epoch})
	require.NoError(t, err)
	l.Observe(epoch, ticketer.ConfigurationState{})
	now := epoch.Add(time.Second)
	state := ticketer.ConfigurationState{Workers: []string{"a"}, Confirmed: now, Configuration: first, First: first, CallerKeysFrom: epoch.Add(2 * time.Second)}
	l.Observe(now, state)
	state.Confirmed = now.Add(2 * time.Second)
	_, err = l.Begin(now.Add(2*time.Second), ticketer.Key{Organisation: "o", Text: "k"}, ticketer.DigestOf(nil), state)
	require.NoError(t, err)
}
