package soaker_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/soaker"
)

// Guards against requests for an upstream that has just crashed and that the gateway of another fleet answers, because one of its
// links listens on the port that the upstream had.
func TestPortsOfClosedLinksAreNotReusedSoon(t *testing.T) {
	seen := make(map[string]bool)
	for range 2000 {
		address := soaker.OpenAndCloseLink()
		require.NotContains(t, seen, address)
		seen[address] = true
	}
}
