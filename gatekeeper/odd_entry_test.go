package gatekeeper_test

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
)

// Guards against a gateway that ends, stops following the store or uses an odd upstream because another writer left odd
// entries and an odd configuration beside the sound ones.
func TestOddEntriesBesideSoundOnes(t *testing.T) {
	f := newFleet(t)
	f.configure(1, "/a/")
	sound := f.upstream("sound", nil)
	odd := func(change func(entry map[string]any)) map[string]any {
		e := maps.Clone(sound.Entry("ready"))
		change(e)
		return e
	}
	deep := []byte(`{"Service":"s","a":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`)
	put := func() {
		f.store.Put("servers/odd-nested", deep)
		f.store.Put("servers/odd-value", []byte(strings.Repeat("\xff", 1<<20)))
		f.store.PutJSON("servers/odd-slots", odd(func(e map[string]any) { e["Slots"] = uint64(math.MaxInt64) }))
		f.store.PutJSON("servers/odd-number", odd(func(e map[string]any) { e["Slots"] = uint64(math.MaxUint64) }))
		f.store.PutJSON("servers/odd-born", odd(func(e map[string]any) { e["born"] = int64(math.MinInt64) }))
		f.store.PutJSON("servers/odd-port", odd(func(e map[string]any) { e["Address"] = "127.0.0.1:65536" }))
		f.store.PutJSON("servers/odd-port-0", odd(func(e map[string]any) { e["Address"] = "127.0.0.1:0" }))
		f.store.PutJSON("servers/odd-service", odd(func(e map[string]any) { e["Service"] = strings.Repeat("s", 1<<16) }))
		f.store.PutJSON("servers/odd\r\nX-Forged: 1", sound.Entry("ready"))
	}
	put()
	f.eventually("requests are not served", func() bool { return f.status("/a/") == 200 })
	put() // The odd entries arrive as changes, too.
	for range 20 {
		require.Equal(t, 200, f.status("/a/"))
	}
	f.eventually("the changes do not reach the log", func() bool { return strings.Count(f.log.String(), "store_item_unreadable") >= 9 })
	time.Sleep(100 * time.Millisecond)
	require.NotContains(t, f.log.String(), "upstream=odd")
	require.LessOrEqual(t, strings.Count(f.log.String(), "store_item_unreadable"), 18)
	require.Less(t, len(f.log.String()), 64<<10)

	f.store.Put("op/config", []byte(`{"Version":2,"Routes":[{"Kind":"streaming","TimeoutMs":1e300}]}`))
	f.store.Put("op/config", []byte(fmt.Sprintf(`{"Version":3,"Routes":%s%s}`, strings.Repeat("[", 100_000), strings.Repeat("]", 100_000))))
	f.eventually("the odd configuration is not refused", func() bool { return strings.Contains(f.log.String(), "configuration_refused") })
	require.Equal(t, 200, f.status("/a/"), "the configuration in force does not stay")
	f.configure(4, "/b/")
	f.eventually("the next configuration is not taken", func() bool { return f.status("/b/") == 200 })

	f.store.PutJSON(sound.Key(), odd(func(e map[string]any) { e["Slots"] = uint64(math.MaxInt64) }))
	f.eventually("an upstream whose entry was overwritten is still used", func() bool { return f.status("/b/") == 503 })
	f.store.PutJSON(sound.Key(), sound.Entry("ready"))
	f.eventually("an upstream whose entry is back is not used", func() bool { return f.status("/b/") == 200 })
}

// Guards against a gateway that gets no configuration at its start, or does not follow the store after its history is gone, as
// long as another writer's entries that cannot be read are long in sum.
func TestLongOddEntriesBesideSoundOnes(t *testing.T) {
	f := newFleet(t)
	f.store.SetMode(imitator.Busy)
	for i := range 140 {
		f.store.Put(fmt.Sprintf("servers/odd-%03d", i), bytes.Repeat([]byte{0xff}, 64<<10))
	}
	f.configure(1, "/a/")
	f.upstream("sound", nil)
	f.store.SetMode(imitator.Up)
	f.eventually("requests are not served after the start", func() bool { return f.status("/a/") == 200 })
	f.eventually("the log does not name the entries", func() bool {
		return f.logged("event=store_item_unreadable key=servers/odd-000") && f.logged("event=store_items_unreadable items=140")
	})

	f.store.SetMode(imitator.Busy)
	f.configure(2, "/b/")
	f.store.Compact()
	f.store.SetMode(imitator.Up)
	f.eventually("the list is not read again", func() bool { return f.status("/b/") == 200 })
	f.eventually("a removed route is still served or refused for a time only", func() bool { return f.status("/a/") == 404 })
}
