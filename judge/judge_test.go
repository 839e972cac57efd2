package judge_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/judge"
)

// Guards against an unclassified failure being reported as "not run".
func TestVerdictOf(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want judge.Verdict
	}{
		{"plain error", errors.New("x"), judge.MayHaveRun},
		{"refusal", judge.Refuse(judge.ReasonLoadBound, "full"), judge.NotRun},
		{"wrapped refusal", fmt.Errorf("route: %w", judge.Refuse(judge.ReasonLoadBound, "full")), judge.NotRun},
		{"uncertain", judge.Uncertain(judge.ReasonBroken, "reset"), judge.MayHaveRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, judge.VerdictOf(tt.err))
		})
	}
}

func TestVerdictText(t *testing.T) {
	for _, v := range []judge.Verdict{judge.NotRun, judge.MayHaveRun, judge.Ran} {
		text, err := v.MarshalText()
		require.NoError(t, err)
		var got judge.Verdict
		require.NoError(t, got.UnmarshalText(text))
		require.Equal(t, v, got)
	}
	var v judge.Verdict
	require.ErrorContains(t, v.UnmarshalText([]byte("maybe")), "unknown verdict")
}
