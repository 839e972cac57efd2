package measurer_test

import (
	"bytes"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/measurer"
)

// Guards against a missed goal, or a figure that is not a number, that is reported as met.
func TestMet(t *testing.T) {
	tests := []struct {
		name string
		f    measurer.Figure
		want bool
	}{
		{"no goal", measurer.Figure{Value: 1}, true},
		{"at least, met", measurer.Figure{Value: 1, Goal: measurer.AtLeast(1)}, true},
		{"at least, missed", measurer.Figure{Value: 0.9, Goal: measurer.AtLeast(1)}, false},
		{"at most, met", measurer.Figure{Value: 1, Goal: measurer.AtMost(1)}, true},
		{"at most, missed", measurer.Figure{Value: 1.1, Goal: measurer.AtMost(1)}, false},
		{"not a number", measurer.Figure{Value: math.NaN(), Goal: measurer.AtMost(1)}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.f.Met())
			require.Equal(t, tt.want, measurer.Result{Figures: []measurer.Figure{{Value: 1}, tt.f}}.Met())
		})
	}
}

// Guards against a table that does not show a missed goal.
func TestPrint(t *testing.T) {
	var out bytes.Buffer
	r := measurer.Result{Name: "reuse", Seed: 1, Figures: []measurer.Figure{
		{Name: "reuse", Subject: "clementineramp", Value: 0.5, Goal: measurer.AtLeast(0.95)},
		{Name: "reuse", Subject: "random", Value: 0.1},
	}}
	require.NoError(t, r.Print(&out, false))
	require.Contains(t, out.String(), "MISSED")
}
