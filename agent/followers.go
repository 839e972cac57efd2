package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"clementineramp/recorder"
)

// errAbandoned is the cancellation cause of a generation that no router follows.
var errAbandoned = errors.New("no router followed the answer within the grace time")

// followerTracker cancels generations that no router has followed for a grace period. The grace period lets a caller
// resume through another router after the first one has failed.
type followerTracker struct {
	grace time.Duration

	mu      sync.Mutex
	streams map[*recorder.Stream]*followedStream
}

// followedStream is a running generation with the number of routers that follow its stream. The timer runs while there
// are none.
type followedStream struct {
	followers int
	timer     *time.Timer
	cancel    context.CancelCauseFunc
}

func newFollowerTracker(grace time.Duration) *followerTracker {
	return &followerTracker{grace: grace, streams: map[*recorder.Stream]*followedStream{}}
}

// watch registers the generation of a stream, which is cancelled with errAbandoned when it has had no follower for the
// grace period. The generation calls stop when it ends.
func (t *followerTracker) watch(s *recorder.Stream, cancel context.CancelCauseFunc) (stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.entry(s)
	f.cancel = cancel
	t.startTimer(f)
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.stopTimer(f)
		delete(t.streams, s)
	}
}

// entry returns the entry of a stream and creates it if necessary; the caller holds mu.
func (t *followerTracker) entry(s *recorder.Stream) *followedStream {
	f := t.streams[s]
	if f == nil {
		f = &followedStream{}
		t.streams[s] = f
	}
	return f
}

// add counts a new follower of a stream; streams of ended generations are ignored.
func (t *followerTracker) add(s *recorder.Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.streams[s]; f != nil {
		f.followers++
		t.stopTimer(f)
	}
}

// remove removes a follower of a stream, and starts the grace period if none is left.
func (t *followerTracker) remove(s *recorder.Stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if f := t.streams[s]; f != nil {
		f.followers--
		t.startTimer(f)
	}
}

// cancelAll cancels every running generation with a cause.
func (t *followerTracker) cancelAll(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range t.streams {
		if f.cancel != nil {
			f.cancel(cause)
		}
	}
}

// startTimer starts the grace period of a running generation if its stream has no follower.
func (t *followerTracker) startTimer(f *followedStream) {
	if f.followers > 0 || f.cancel == nil {
		return
	}
	f.timer = time.AfterFunc(t.grace, func() { f.cancel(errAbandoned) })
}

func (t *followerTracker) stopTimer(f *followedStream) {
	if f.timer != nil {
		f.timer.Stop()
		f.timer = nil
	}
}
