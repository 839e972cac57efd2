package timekeeper_test

import (
	"context"
	"errors"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/platform/imitator"
	"clementineramp/timekeeper"
)

// fixture is a Timer whose process can be paused.
type fixture struct {
	// paused is the length of the pauses so far, which the clock of synctest does not count.
	paused  atomic.Int64
	expired atomic.Int64
	timer   *timekeeper.Timer
}

func newFixture(d time.Duration) *fixture {
	f := &fixture{}
	f.timer = timekeeper.Start(timekeeper.Config{
		Expired: func() { f.expired.Add(1) },
		Now:     func() time.Time { return time.Now().Add(time.Duration(f.paused.Load())) },
	}, d)
	return f
}

// Guards against taking a pause of this process for the silence of its peers: data that arrived meanwhile is read first.
func TestPauseOfThisProcessIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(700 * time.Millisecond)
		f.paused.Add(int64(time.Second))
		time.Sleep(701 * time.Millisecond) // The callback is a second late.
		f.paused.Add(int64(time.Second))
		time.Sleep(25 * time.Millisecond) // So is the recheck.
		synctest.Wait()
		require.Zero(t, f.expired.Load(), "the timer expired while this process was paused")
		f.timer.Reset(700 * time.Millisecond) // The data that arrived meanwhile has been read.
		time.Sleep(700 * time.Millisecond)
		synctest.Wait()
		require.Zero(t, f.expired.Load())
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		require.EqualValues(t, 1, f.expired.Load(), "silence was not noticed")
	})
}

// Guards against a timer that never expires in a process that is always late.
func TestTimerOfLateProcessExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(time.Second)
		for range 300 {
			f.paused.Add(int64(30 * time.Millisecond))
			time.Sleep(5 * time.Millisecond)
		}
		synctest.Wait()
		require.EqualValues(t, 1, f.expired.Load())
	})
}

func TestStoppedTimerDoesNotExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(time.Second)
		time.Sleep(time.Second)
		f.timer.Stop()
		f.timer.Reset(time.Millisecond)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Zero(t, f.expired.Load())
	})
}

// Guards against taking the time for which ready goroutines wait for the processor for the silence of a peer.
func TestWaitForProcessorIsNoSilence(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var expired atomic.Bool
	timer := timekeeper.Start(timekeeper.Config{Expired: func() { expired.Store(true) }}, 100*time.Millisecond)
	time.Sleep(95 * time.Millisecond)
	for range 20 {
		go imitator.Pause(1, 9*time.Millisecond, 0, nil)
	}
	read := make(chan struct{})
	go func() { // It stands for the goroutine that reads what has arrived.
		timer.Stop()
		close(read)
	}()
	go func() {}() // The goroutine that was started last runs first.
	<-read
	require.False(t, expired.Load())
}

func TestWithTimeoutEndsWithItsCause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cause := errors.New("silent")
		ctx, timer, cancel := timekeeper.WithTimeout(t.Context(), time.Second, cause)
		defer cancel()
		time.Sleep(900 * time.Millisecond)
		timer.Reset(time.Second)
		time.Sleep(900 * time.Millisecond)
		require.NoError(t, ctx.Err())
		time.Sleep(200 * time.Millisecond)
		require.ErrorIs(t, context.Cause(ctx), cause)
		released, _, release := timekeeper.WithTimeout(t.Context(), time.Second, cause)
		release()
		require.ErrorIs(t, context.Cause(released), context.Canceled)
	})
}
