package measurer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against capacity figures that are based on a line that does not go through the points.
func TestFitLine(t *testing.T) {
	slope, intercept := fitLine([]point{{1, 5}, {2, 7}, {4, 11}})
	require.InDelta(t, 2, slope, 1e-9)
	require.InDelta(t, 3, intercept, 1e-9)
}
