package proxier_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
)

// Guards against a load that counts as new, here and at the gateways that hear of it, because the response with it waited while
// this process was paused.
func TestLoadInAResponseThatWaited(t *testing.T) {
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(imitator.HeaderLoad, "3,0,8")
		imitator.Plain("ok")(w, r)
	})
	before := time.Now().Add(-500 * time.Millisecond)
	f.arrived = func(time.Time) time.Time { return before }
	f.serve()
	require.Equal(t, http.StatusOK, f.do("GET", "/read/", "").status)
	require.Equal(t, before, f.placer.Heard("u0"))
}
