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

// abandonment ends generations that no router has followed for a grace time.
// The grace lets a caller resume through another router after the first one failed.
type abandonment struct {
	grace time.Duration

	mu      sync.Mutex
	streams map[*recorder.Stream]*followed
}

// followed counts the routers that follow one stream.
type followed struct {
	followers int
	timer     *time.Timer
	cancel    context.CancelCauseFunc
}

func newAbandonment(grace time.Duration) *abandonment {
	return &abandonment{grace: grace, streams: map[*recorder.Stream]*followed{}}
}

// watch ends the generation of a stream through cancel once it is abandoned, until stop is called.
func (b *abandonment) watch(s *recorder.Stream, cancel context.CancelCauseFunc) (stop func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.entry(s)
	f.cancel = cancel
	b.arm(f)
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.disarm(f)
		delete(b.streams, s)
	}
}

func (b *abandonment) entry(s *recorder.Stream) *followed {
	f := b.streams[s]
	if f == nil {
		f = &followed{}
		b.streams[s] = f
	}
	return f
}

// join counts a follower of a running stream.
func (b *abandonment) join(s *recorder.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.streams[s]; f != nil {
		f.followers++
		b.disarm(f)
	}
}

func (b *abandonment) leave(s *recorder.Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f := b.streams[s]; f != nil {
		f.followers--
		b.arm(f)
	}
}

// endAll ends every running generation with a cause.
func (b *abandonment) endAll(cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, f := range b.streams {
		if f.cancel != nil {
			f.cancel(cause)
		}
	}
}

// arm starts the grace time of a stream without followers.
func (b *abandonment) arm(f *followed) {
	if f.followers > 0 || f.cancel == nil {
		return
	}
	f.timer = time.AfterFunc(b.grace, func() { f.cancel(errAbandoned) })
}

func (b *abandonment) disarm(f *followed) {
	if f.timer != nil {
		f.timer.Stop()
		f.timer = nil
	}
}
