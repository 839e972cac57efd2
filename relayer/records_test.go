package relayer_test

import (
	"bytes"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/registrar"
	"clementineramp/relayer"
)

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) count(s string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.b.String(), s)
}

// Guards against odd entries that a peer of an older version read from the store and passes on: each is left out alone, an
// upstream that it overwrites is no longer used, and the log names it once, not with each exchange.
func TestOddRecordsOfPeer(t *testing.T) {
	var log lockedBuffer
	a := newGateway(t, true)
	b := newGatewayWith(t, true, func(cfg *relayer.Config) { cfg.Log = hclog.New(&hclog.LoggerOptions{Output: &log}) }, a.address)
	overwritten := upstreamRecord("overwritten", 2)
	b.registry.MergeList([]registrar.Record{overwritten}, at(0, 2), time.Now())
	records := []registrar.Record{upstreamRecord("a", 3), upstreamRecord("z", 10)}
	for _, change := range []func(*registrar.Record){
		func(r *registrar.Record) {
			r.ID, r.Upstream.ID = "overwritten", "overwritten"
			r.Upstream.Slots = math.MaxInt
		},
		func(r *registrar.Record) { r.ID, r.Upstream.ID = "", "" },
		func(r *registrar.Record) { r.Upstream.ID = "other" },
		func(r *registrar.Record) { r.Upstream.Address = "10.0.0.1:0" },
		func(r *registrar.Record) { r.Upstream.Service = strings.Repeat("s", 1<<20) },
		func(r *registrar.Record) { r.Upstream.Born = math.MinInt64 },
	} {
		r := upstreamRecord("odd-"+string(rune('a'+len(records))), uint64(1+len(records)))
		change(&r)
		records = append(records, r)
	}
	a.registry.MergeList(records, at(0, 10), time.Now())
	eventually(t, "the records did not reach the gateway", func() bool { return b.registry.Position() == at(0, 10) })
	var ids []string
	for _, list := range b.registry.View().ByService {
		for _, u := range list {
			ids = append(ids, u.ID)
		}
	}
	require.Equal(t, []string{"a", "z"}, ids)
	a.registry.MergeChanges([]registrar.Record{upstreamRecord("overwritten", 11)}, at(0, 10), at(0, 11), time.Now())
	eventually(t, "an upstream whose own entry is back is not used", func() bool { return len(b.registry.View().ByService["s"]) == 3 })
	require.Equal(t, 1, log.count("peer_records_odd"))
}
