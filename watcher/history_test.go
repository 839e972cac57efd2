package watcher_test

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/encoder"
	"clementineramp/subscriber"
	"clementineramp/watcher"
)

func newWatcher(t *testing.T, name string) *watcher.Watcher {
	w, err := watcher.New(watcher.Config{
		Self: subscriber.Host{Name: name, Domain: "d", Role: subscriber.RoleAgent}, SharedKey: "a-key-for-the-tests",
		Platform: subscriber.New(subscriber.Config{Addresses: []string{(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}).String()}}),
		Log:      hclog.NewNullLogger(),
	})
	require.NoError(t, err)
	return w
}

// Guards against a restarted process that treats the fleet as new: the age of the fleet must be forwarded from process to
// process, also when none of the first ones is running any more.
func TestFleetAgeOutlivesProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old := newWatcher(t, "old")
		time.Sleep(time.Hour)
		middle := newWatcher(t, "middle")
		middle.MergeFleet(old.Fleet())
		time.Sleep(time.Minute)
		young := newWatcher(t, "young")
		keysFrom, _ := young.CallerKeysFrom()
		require.True(t, keysFrom.IsZero(), "without a report of a peer, the fleet may be older than known")
		young.MergeFleet(middle.Fleet())
		keysFrom, _ = young.CallerKeysFrom()
		require.True(t, keysFrom.Before(time.Now().Add(-time.Hour)))
		require.GreaterOrEqual(t, young.Fleet().Age(), time.Hour+time.Minute)
	})
}

// Guards against a process that merges its own report, and against the loss of the lowest configuration.
func TestFleetFirstConfiguration(t *testing.T) {
	w := newWatcher(t, "a")
	w.MergeFleet(encoder.FleetHistory{Sender: "a", AgeMS: 1 << 40})
	require.Less(t, w.Fleet().Age(), time.Hour)
	for _, v := range []uint64{3, 2, 5} {
		w.MergeFleet(encoder.FleetHistory{Sender: "b", FirstVersion: v, FirstDigest: "x"})
	}
	require.EqualValues(t, 2, w.Fleet().FirstVersion)
}
