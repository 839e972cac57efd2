package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"clementineramp/recorder"
)

// errAbandoned is the cause of a generation that no router follows any more.
var errAbandoned = errors.New("no router followed the answer within the grace time")

// followerTracker ends generations that no router has followed for a grace time.
// The grace lets a caller resume through another router after the first one failed.
type followerTracker struct {
	grace time.Duration

	mu      sync.Mutex
	streams map[*recorder.Stream]*followedStream
}

// followedStream counts the routers that follow one stream.
type followedStream struct {
	followers int
	timer     *time.Timer
	cancel    context.CancelCauseFunc
}

func newFollowerTracker(grace time.Duration) *followerTracker {
	return &followerTracker{grace: grace, streams: map[*recorder.Stream]*followedStream{}}
}

// watch ends the generation of a stream through cancel once it is abandoned, until stop is called.
func (b *followerTracker) watch(s *recorder.Stream, cancel context.CancelCauseFunc) (stop func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.entry(s)
	f.cancel = cancel
	b.startTimer(f)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.stopTimer(f)
		delete(b.streams, s)
	}
}

func (b *followerTracker) entry(s *recorder.Stream) *followedStream {
	f := b.streams[s]
	if f == nil {
		f = &followedStream{}
		b.streams[s] = f
	}
	return f
}

// add counts a follower of a running stream.
func (b *followerTracker) add(s *recorder.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.streams[s]; f != nil {
		f.followers++
		b.stopTimer(f)
	}
}

func (b *followerTracker) remove(s *recorder.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.streams[s]; f != nil {
		f.followers--
		b.startTimer(f)
	}
}

// cancelAll ends every running generation with a cause.
func (b *followerTracker) cancelAll(cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range b.streams {
		if f.cancel != nil {
			f.cancel(cause)
		}
	}
}

// startTimer starts the grace time of a stream without followers.
func (b *followerTracker) startTimer(f *followedStream) {
	if f.followers > 0 || f.cancel == nil {
		return
	}
	f.timer = time.AfterFunc(b.grace, func() { f.cancel(errAbandoned) })
}

func (b *followerTracker) stopTimer(f *followedStream) {
	if f.timer != nil {
		f.timer.Stop()
		f.timer = nil
	}
}
