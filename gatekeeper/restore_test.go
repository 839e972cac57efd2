package gatekeeper_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
)

// Guards against changes of the configuration and of the upstreams that are missed after the store was restored from an older
// copy, because it gives out revisions again; against a return to the configuration of the copy; and against requests to an
// upstream that was leaving before.
func TestStoreIsRestored(t *testing.T) {
	f := newFleet(t)
	f.upstream("old", imitator.Plain("old"))
	leaving := f.upstream("leaving", imitator.Plain("leaving"))
	f.configure(1, "/a/")
	f.eventually("the first configuration is not in force", func() bool { return f.status("/a/") == 200 })
	copied := f.store.PutJSON("other", 0)
	f.configure(4, "/a/", "/b/")
	f.store.PutJSON(leaving.Key(), leaving.Entry("draining"))
	f.eventually("the second configuration is not in force", func() bool { return f.status("/b/") == 200 })
	f.eventually("the upstream is not known to be leaving", func() bool { return f.logged("event=upstream_leaving") })

	f.store.SetMode(imitator.Unresponsive)
	f.store.Restore(copied)
	f.store.SetMode(imitator.Up)
	f.eventually("the restore is not noticed", func() bool { return f.logged("event=store_era_changed") })
	require.Equal(t, 200, f.status("/b/"), "the configuration of the copy is in force")
	runs := len(leaving.Runs())
	f.configure(4, "/a/", "/b/", "/c/")
	f.eventually("the configuration that was written again is not in force", func() bool { return f.status("/c/") == 200 })
	f.configure(6, "/a/", "/d/")
	f.upstream("new", imitator.Plain("new"))
	f.eventually("a configuration with a revision that was given out before is not in force", func() bool { return f.status("/d/") == 200 })
	f.eventually("the new upstream is not known", func() bool { return f.logged("event=upstream_joined upstream=new") })
	for range 20 {
		require.Equal(t, 200, f.status("/d/"))
	}
	require.Len(t, leaving.Runs(), runs, "requests are sent to an upstream that was leaving before the restore")
}

// logged reports whether the gateway has logged a line that contains the text.
func (f *fleet) logged(text string) bool {
	return strings.Contains(f.log.String(), text)
}
