package dispatcher_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/dispatcher"
)

// newDispatcher returns a Dispatcher with a limit that the test may change.
func newDispatcher(limit *atomic.Int64) *dispatcher.Dispatcher {
	return dispatcher.New(dispatcher.Config{
		Limit:   func(string, time.Time) float64 { return float64(limit.Load()) },
		Share:   func(string, time.Time) float64 { return 1.0 / overcommitment },
		Latency: func(string, string, time.Time) time.Duration { return usual },
		Usual:   func(string, string) time.Duration { return usual },
	})
}

// Guards against a place that is lost when a caller leaves, while it waits or at the moment at which it gets the place, and against
// one that is given twice when it is released twice.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		limit.Store(1)
		d := newDispatcher(&limit)
		release, wait, err := d.Acquire(t.Context(), request("a", 0, deadline))
		require.NoError(t, err)
		require.Zero(t, wait)
		ctx, leave := context.WithCancel(t.Context())
		left := make(chan error)
		go func() {
			_, _, err := d.Acquire(ctx, request("a", 0, deadline))
			left <- err
		}()
		synctest.Wait()
		require.Equal(t, 1, d.Status("s", time.Now()).Waiting)
		leave()
		require.ErrorIs(t, <-left, context.Canceled)
		require.Zero(t, d.Status("s", time.Now()).Waiting)
		release()
		release()
		for range 100 { // Here the end of the context and the place come together.
			ctx, leave := context.WithCancel(t.Context())
			release, _, err := d.Acquire(t.Context(), request("a", 0, deadline))
			require.NoError(t, err)
			go func() {
				release, _, err := d.Acquire(ctx, request("a", 0, deadline))
				if err == nil {
					release()
				}
				left <- err
			}()
			synctest.Wait()
			go leave()
			release()
			<-left
			require.Equal(t, 0, d.Status("s", time.Now()).InProgress)
		}
	})
}

// Guards against requests that stay in the queue when a stop ends their contexts.
func TestStopDrainsTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		limit.Store(1)
		d := newDispatcher(&limit)
		release, _, err := d.Acquire(t.Context(), request("a", 0, deadline))
		require.NoError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		var waiting sync.WaitGroup
		for range 20 {
			waiting.Go(func() {
				_, _, err := d.Acquire(ctx, request("a", 0, deadline))
				require.ErrorIs(t, err, context.Canceled)
			})
		}
		synctest.Wait()
		require.Equal(t, 20, d.Status("s", time.Now()).Waiting)
		stop()
		waiting.Wait()
		require.Equal(t, 1, d.Status("s", time.Now()).InProgress)
		require.Zero(t, d.Status("s", time.Now()).Waiting)
		release()
	})
}

// Guards against requests that wait beyond their time although nothing happens at the gateway, and against a higher limit that is
// noticed only when a request ends.
func TestTimersOfTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		limit.Store(1)
		d := newDispatcher(&limit)
		_, _, err := d.Acquire(t.Context(), request("a", 0, deadline))
		require.NoError(t, err)
		_, wait, err := d.Acquire(t.Context(), request("a", 0, deadline))
		var refusal *dispatcher.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, dispatcher.CauseTime, refusal.Cause)
		require.Equal(t, target-margin, wait)
		time.AfterFunc(50*ms, func() { limit.Store(2) })
		_, wait, err = d.Acquire(t.Context(), request("a", 0, deadline))
		require.NoError(t, err)
		require.LessOrEqual(t, wait, 70*ms)
		require.Equal(t, []string{"s"}, d.Services())
	})
}
