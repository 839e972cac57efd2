package demonstrator_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/demonstrator"
)

// Guards against a fleet that starts but does not serve correctly: every answer must be complete, also after an engine
// is killed, and every order must run exactly once.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	err := demonstrator.Demo(t.Context(), demonstrator.DemoConfig{Out: &out, JSON: true})
	require.NoError(t, err, out.String())
	var r demonstrator.Report
	require.NoError(t, json.Unmarshal(out.Bytes(), &r))
	require.Equal(t, r.Turns, r.WholeAnswers)
	require.Zero(t, r.OrdersRanTwice)
	require.Equal(t, r.Orders, r.OrdersRan)
	require.NotEmpty(t, r.KilledUpstream)
}
