package measurer

import (
	"errors"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/admitter"
)

// Guards against refused requests that count as fast ones, and against a quantile of no samples that meets a goal.
func TestQuantile(t *testing.T) {
	samples := []sample{
		{first: 3 * time.Millisecond},
		{first: time.Millisecond},
		{first: 2 * time.Millisecond},
		{class: 1, first: time.Second},
		{err: errors.New("refused")},
	}
	classZero := func(s sample) bool { return s.class == 0 }
	require.InDelta(t, 2, quantile(samples, 0.5, classZero, firstToken), 1e-9)
	require.InDelta(t, 3, quantile(samples, 1, classZero, firstToken), 1e-9)
	require.True(t, math.IsNaN(quantile(samples, 0.5, func(s sample) bool { return s.class == 2 }, firstToken)))
	require.InDelta(t, 0.75, answeredFraction(samples, classZero), 1e-9)
}

// Guards against goals of the fleet that are also applied to a baseline, so that the result fails.
func TestComparePolicies(t *testing.T) {
	figures, err := comparePolicies(func(p admitter.Policy) ([]Figure, error) {
		return []Figure{{Subject: p.String(), Value: 2, Goal: AtMost(float64(2 - p))}}, nil
	}, admitter.FirstCome)
	require.NoError(t, err)
	require.Len(t, figures, 2)
	require.NotNil(t, figures[0].Goal)
	require.True(t, Result{Figures: figures}.Met())
}

// Guards against failed attempts in the log that are not counted, or other lines that are.
func TestAttemptCounter(t *testing.T) {
	var c attemptCounter
	_, err := c.Write([]byte("router-1: attempt_failed: request=1\nrouter-1: answered: request=1\n"))
	require.NoError(t, err)
	require.EqualValues(t, 1, c.failed.Load())
}
