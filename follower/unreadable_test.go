package follower_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"clementineramp/follower"
	"clementineramp/platform"
	"clementineramp/registrar"
)

// Guards against an odd entry that fills the log: it stays in the store, and the list is read again and again.
func TestUnreadableItemIsLoggedOnce(t *testing.T) {
	odd := func(revision uint64) []platform.Unreadable {
		return []platform.Unreadable{{Key: "servers/odd", Revision: revision, Reason: "slots"}}
	}
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1), Unreadable: odd(4)}}}
	var log bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		f := follower.New(follower.Config{
			Store: follower.Store{ReadAll: s.readAll, Watch: s.watch}, Registry: registrar.New(registrar.Config{}), Decode: decode,
			Log: hclog.New(&hclog.LoggerOptions{Output: &log}),
		})
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		lines := func() int {
			synctest.Wait()
			return strings.Count(log.String(), "store_item_unreadable: key=servers/odd")
		}
		require.Equal(t, 1, lines())
		for range 3 { // The list is read again after each failed call.
			s.set(func(s *state) { s.err = platform.ErrRefused })
			time.Sleep(3 * time.Second)
			s.set(func(s *state) { s.err = nil })
			time.Sleep(3 * time.Second)
		}
		require.Equal(t, 1, lines())
		s.set(func(s *state) {
			s.next = []platform.Changes{{Revision: 9, Unreadable: odd(8)}, {Revision: 10, Unreadable: odd(8)}}
		})
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, lines(), "an entry that is written again is logged again")
		var many []platform.Unreadable
		for i := range 10_000 {
			many = append(many, platform.Unreadable{Key: fmt.Sprint("servers/", i), Revision: 11})
		}
		s.set(func(s *state) { s.next = []platform.Changes{{Revision: 12, Unreadable: many}} })
		time.Sleep(3 * time.Second)
		require.Equal(t, 2, lines())
		require.Less(t, strings.Count(log.String(), "\n"), 40)
		cancel()
		synctest.Wait()
	})
}

// Guards against an odd entry that is written many times a second and makes the gateway call the store as often, although
// nothing in use changes.
func TestUnreadableItemsAreReadInBatches(t *testing.T) {
	s := &fakeStore{state: state{revision: 5, all: platform.Changes{Configuration: document(3, 1)}}}
	run(t, s, nil, func(*follower.Follower, *registrar.Registry) {
		before := s.count()
		s.set(func(s *state) {
			for i := range uint64(100) {
				revision := 6 + i
				s.next = append(s.next, platform.Changes{
					Revision: revision, Unreadable: []platform.Unreadable{{Key: "servers/odd", Revision: revision}},
					Upstreams: []registrar.Record{{ID: "odd", Revision: revision, Removed: true}},
				})
			}
		})
		time.Sleep(3 * time.Second)
		require.LessOrEqual(t, s.count()-before, 12)
	})
}
