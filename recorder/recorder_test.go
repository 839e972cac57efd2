package recorder_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/recorder"
)

func TestMain(m *testing.M) {
	// A fixed seed makes each run draw the same cases; a flag on the command line overrides it.
	if err := flag.Set("rapid.seed", "20260302"); err != nil {
		panic(err)
	}
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

// eventBytes and streamBytes are the sizes counted for an event without data and for a stream without events.
const (
	eventBytes  = 112
	streamBytes = 512
)

var errEngine = judge.Uncertain(judge.ReasonEngineCrashed, "engine crashed")

func streamID(serial int) encoder.StreamID {
	return encoder.StreamID{Agent: "agent-1", Incarnation: 7, Serial: uint64(serial)}
}

func chunk(n int) encoder.Event {
	return encoder.Event{Data: fmt.Sprintf("chunk %d", n)}
}

// read returns the event IDs and data that a reader gets.
func read(ctx context.Context, s *recorder.Stream, offset int) (ids, data []string, err error) {
	err = s.ReadFrom(ctx, offset, func(ev encoder.Event) error {
		ids = append(ids, ev.ID)
		data = append(data, ev.Data)
		return nil
	})
	return ids, data, err
}

// Guards against an answer that is resumed with a gap, a repeated event or a wrong result.
func TestReadFrom(t *testing.T) {
	const base, events = 3, 2
	tests := []struct {
		name   string
		done   bool
		close  error
		offset int
		want   []string
		err    error
		reason judge.Reason
	}{
		{"from the start", true, nil, 3, []string{"chunk 1", "chunk 2", "[DONE]"}, nil, ""},
		{"from the middle", true, nil, 4, []string{"chunk 2", "[DONE]"}, nil, ""},
		{"only the Done event is missing", true, nil, 5, []string{"[DONE]"}, nil, ""},
		{"nothing is missing", true, nil, 6, nil, nil, ""},
		{"Close after Done is ignored", true, errEngine, 5, []string{"[DONE]"}, nil, ""},
		{"failed", false, errEngine, 4, []string{"chunk 2"}, errEngine, judge.ReasonEngineCrashed},
		{"failed, at the end", false, errEngine, 5, nil, errEngine, judge.ReasonEngineCrashed},
		{"truncated", false, nil, 4, []string{"chunk 2"}, encoder.ErrTruncated, judge.ReasonBroken},
		{"below the base offset", true, nil, 2, nil, nil, judge.ReasonStreamLost},
		{"beyond the end", true, nil, 7, nil, nil, judge.ReasonInvalid},
		{"negative", true, nil, -1, nil, nil, judge.ReasonStreamLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := recorder.New(recorder.Config{}).Open(streamID(1), "acme", base)
			for i := range events {
				require.NoError(t, s.Append(chunk(i+1)))
			}
			if tt.done {
				require.NoError(t, s.Append(encoder.DoneEvent("engine:9")))
			}
			s.Close(tt.close)
			ids, data, err := read(t.Context(), s, tt.offset)
			require.Equal(t, tt.want, data)
			for i, id := range ids {
				require.Equal(t, encoder.EventID(streamID(1).String(), tt.offset+i+1), id)
			}
			if tt.reason == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tt.reason, judge.ReasonOf(err))
			require.NotEqual(t, judge.NotRun, judge.VerdictOf(err), "the engine ran the request")
			if tt.err != nil {
				require.ErrorIs(t, err, tt.err)
			}
		})
	}
}

// Guards against a reader of a running stream that misses events, returns early or continues after its context ends.
func TestFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := recorder.New(recorder.Config{}).Open(streamID(1), "acme", 0)
		ctx, cancel := context.WithCancelCause(t.Context())
		results := make([]error, 2)
		var got []string
		var wg sync.WaitGroup
		wg.Go(func() { _, got, results[0] = read(t.Context(), s, 0) })
		wg.Go(func() { _, _, results[1] = read(ctx, s, 0) })
		for i := range 100 {
			synctest.Wait()
			require.NoError(t, s.Append(chunk(i)))
		}
		synctest.Wait()
		require.Equal(t, 2, s.Status().Readers)
		errDisconnected := errors.New("caller disconnected")
		cancel(errDisconnected)
		synctest.Wait()
		require.Equal(t, 1, s.Status().Readers)
		require.NoError(t, s.Append(encoder.DoneEvent("")))
		wg.Wait()
		require.NoError(t, results[0])
		require.Len(t, got, 101)
		require.ErrorIs(t, results[1], errDisconnected)
	})
}

// Guards against a caller with a slow connection that blocks the stream of the engine.
func TestSlowReaderDoesNotBlockWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := recorder.New(recorder.Config{}).Open(streamID(1), "acme", 0)
		release := make(chan struct{})
		n := 0
		var err error
		var wg sync.WaitGroup
		wg.Go(func() {
			err = s.ReadFrom(t.Context(), 0, func(encoder.Event) error {
				<-release
				n++
				return nil
			})
		})
		require.NoError(t, s.Append(chunk(0)))
		synctest.Wait()
		for i := range 1000 {
			require.NoError(t, s.Append(chunk(i+1)))
		}
		require.NoError(t, s.Append(encoder.DoneEvent("")))
		close(release)
		wg.Wait()
		require.NoError(t, err)
		require.Equal(t, 1002, n)
	})
}

// Guards against an error of the reader that is not returned, which would look like the end of the answer.
func TestReaderError(t *testing.T) {
	s := recorder.New(recorder.Config{}).Open(streamID(1), "acme", 0)
	require.NoError(t, s.Append(chunk(1)))
	broken := errors.New("connection broken")
	require.ErrorIs(t, s.ReadFrom(t.Context(), 0, func(encoder.Event) error { return broken }), broken)
	require.Zero(t, s.Status().Readers)
}

// Guards against events that are recorded after the end of an answer, and against a second stream with the same ID that
// replaces the first.
func TestAppendAfterEnd(t *testing.T) {
	r := recorder.New(recorder.Config{})
	whole := r.Open(streamID(1), "acme", 0)
	require.NoError(t, whole.Append(encoder.DoneEvent("")))
	require.ErrorIs(t, whole.Append(chunk(1)), recorder.ErrClosed)
	failed := r.Open(streamID(2), "acme", 0)
	failed.Close(errEngine)
	failed.Close(nil)
	require.ErrorIs(t, failed.Append(chunk(1)), errEngine)
	second := r.Open(streamID(1), "other", 0)
	require.ErrorIs(t, second.Append(chunk(1)), recorder.ErrInUse)
	second.Close(nil)
	found, err := r.Find(streamID(1))
	require.NoError(t, err)
	require.Equal(t, "acme", found.Owner(), "a second stream must not replace the first")
	require.Equal(t, streamID(1), found.ID())
	require.Equal(t, 2, r.Usage().Streams)
}

// Guards against streams that are never evicted, and against the eviction of a stream that is running or being read.
func TestEvictionByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var evicted []recorder.Eviction
		r := recorder.New(recorder.Config{
			Retention: time.Minute,
			OnEvict:   func(e recorder.Eviction) { evicted = append(evicted, e) },
		})
		running, idle, slow := r.Open(streamID(1), "acme", 0), r.Open(streamID(2), "acme", 0), r.Open(streamID(3), "acme", 0)
		for _, s := range []*recorder.Stream{idle, slow} {
			require.NoError(t, s.Append(encoder.DoneEvent("")))
		}
		release := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() {
			_ = slow.ReadFrom(t.Context(), 0, func(encoder.Event) error {
				<-release
				return nil
			})
		})
		time.Sleep(time.Minute - time.Nanosecond)
		require.Zero(t, r.Expire())
		time.Sleep(time.Nanosecond)
		require.Equal(t, 1, r.Expire())
		require.Equal(t, []recorder.Eviction{{
			Stream: streamID(2), Cause: recorder.EvictedByAge, Bytes: streamBytes + eventBytes + len("[DONE]"), Age: time.Minute,
		}}, evicted)
		close(release)
		wg.Wait()
		_, err := r.Find(streamID(3))
		require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
		require.Equal(t, judge.MayHaveRun, judge.VerdictOf(err))
		_, _, err = read(t.Context(), idle, 0)
		require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
		require.Equal(t, time.Minute, running.Status().UnreadFor)
		_, err = r.Find(streamID(1))
		require.NoError(t, err)
	})
}

// Guards against a byte limit that is exceeded, for which a running stream is evicted, or which leaves a reader with a
// gap.
func TestEvictionByBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var evicted []recorder.Eviction
		const maxBytes = 3 * (streamBytes + eventBytes + len("[DONE]"))
		r := recorder.New(recorder.Config{
			MaxBytes: maxBytes,
			OnEvict:  func(e recorder.Eviction) { evicted = append(evicted, e) },
		})
		read, idle := r.Open(streamID(1), "acme", 0), r.Open(streamID(2), "acme", 0)
		var err error
		var wg sync.WaitGroup
		release := make(chan struct{})
		wg.Go(func() {
			err = read.ReadFrom(t.Context(), 0, func(encoder.Event) error {
				<-release
				return nil
			})
		})
		require.NoError(t, read.Append(encoder.Event{Data: "[DON"}))
		read.Close(nil)
		synctest.Wait()
		require.NoError(t, idle.Append(encoder.DoneEvent("")))
		running := r.Open(streamID(3), "acme", 0)
		appended := 0
		for ; r.Usage().RunningBytes+eventBytes <= maxBytes; appended++ {
			require.NoError(t, running.Append(encoder.Event{}))
			require.LessOrEqual(t, r.Usage().Bytes, maxBytes)
		}
		require.Len(t, evicted, 2)
		require.Equal(t, streamID(2), evicted[0].Stream, "a stream without a reader is evicted first")
		require.Equal(t, recorder.EvictedByBytes, evicted[1].Cause)
		require.Equal(t, 1, evicted[1].Readers)
		close(release)
		wg.Wait()
		require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err), "an evicted stream must not be reported as truncated")

		err = running.Append(encoder.Event{})
		require.ErrorIs(t, err, recorder.ErrFull)
		require.Equal(t, judge.Ran, judge.VerdictOf(err))
		n := 0
		require.ErrorIs(t, running.ReadFrom(t.Context(), 0, func(encoder.Event) error {
			n++
			return nil
		}), recorder.ErrFull, "an answer that could not be recorded must not look complete")
		require.Equal(t, appended, n)
	})
}

// model is the expected state of a stream.
type model struct {
	stream  *recorder.Stream
	base    int
	data    []string
	done    bool
	closed  error
	endedAt time.Time
}

func (m *model) ended() bool { return m.done || m.closed != nil }

// Guards against sequences of calls that exceed the limits, evict a running stream or return a wrong answer.
func TestRecorderMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		retention := time.Minute
		maxBytes := rapid.IntRange(2000, 20000).Draw(t, "max")
		models := map[encoder.StreamID]*model{}
		// current is the stream of the current action. The call that ends a stream may evict it before the model records
		// the end.
		var current *model
		r := recorder.New(recorder.Config{
			MaxBytes: maxBytes, Retention: retention, Now: func() time.Time { return now },
			OnEvict: func(e recorder.Eviction) {
				m := models[e.Stream]
				if m == nil || !m.ended() && m != current {
					t.Fatalf("evicted %v, which is not an ended stream", e.Stream)
				}
				if m.ended() && e.Cause == recorder.EvictedByAge && now.Sub(m.endedAt) < retention {
					t.Fatalf("evicted %v by age after %v", e.Stream, now.Sub(m.endedAt))
				}
				delete(models, e.Stream)
			},
		})
		serial := 0
		pickStream := func(t *rapid.T) *model {
			if serial == 0 {
				t.Skip("no stream")
			}
			m := models[streamID(rapid.IntRange(1, serial).Draw(t, "stream"))]
			if m == nil {
				t.Skip("evicted")
			}
			return m
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				serial++
				m := &model{base: rapid.IntRange(0, 5).Draw(t, "base")}
				models[streamID(serial)] = m
				m.stream = r.Open(streamID(serial), "acme", m.base)
			},
			"append": func(t *rapid.T) {
				m := pickStream(t)
				current = m
				ev := encoder.Event{Data: rapid.StringN(0, 300, 300).Draw(t, "data"), Done: rapid.IntRange(0, 9).Draw(t, "done") == 0}
				err := m.stream.Append(ev)
				switch {
				case m.ended():
					if err == nil {
						t.Fatal("appended after the end")
					}
				case errors.Is(err, recorder.ErrFull):
					m.closed, m.endedAt = recorder.ErrFull, now
				case err != nil:
					t.Fatal(err)
				default:
					m.data = append(m.data, ev.Data)
					if ev.Done {
						m.done, m.endedAt = true, now
					}
				}
			},
			"close": func(t *rapid.T) {
				m := pickStream(t)
				current = m
				truncated := rapid.Bool().Draw(t, "truncated")
				var err, want error = errEngine, errEngine
				if truncated {
					err, want = nil, encoder.ErrTruncated
				}
				m.stream.Close(err)
				if !m.ended() {
					m.closed, m.endedAt = want, now
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
				r.Expire()
			},
			"read": func(t *rapid.T) {
				m := pickStream(t)
				from := rapid.IntRange(0, len(m.data)).Draw(t, "from")
				// The reader of a running stream stops after the last event instead of waiting for more.
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if !m.ended() && from == len(m.data) {
					cancel()
				}
				var got []string
				err := m.stream.ReadFrom(ctx, m.base+from, func(ev encoder.Event) error {
					got = append(got, ev.Data)
					if !m.ended() && from+len(got) == len(m.data) {
						cancel()
					}
					return nil
				})
				want := m.closed
				if !m.ended() {
					want = context.Canceled
				}
				if !errors.Is(err, want) || fmt.Sprint(got) != fmt.Sprint(m.data[from:]) {
					t.Fatalf("read %q and %v, want %q and %v", got, err, m.data[from:], want)
				}
			},
			"": func(t *rapid.T) {
				if current != nil && !current.ended() && models[current.stream.ID()] == nil {
					t.Fatalf("%v was evicted while it was running", current.stream.ID())
				}
				current = nil
				u := r.Usage()
				if u.Bytes > maxBytes+u.Running*streamBytes {
					t.Fatalf("%d bytes with %d running streams, limit %d", u.Bytes, u.Running, maxBytes)
				}
				if u.Streams != len(models) {
					t.Fatalf("%d streams, want %d", u.Streams, len(models))
				}
				for id, m := range models {
					if _, err := r.Find(id); err != nil && (!m.ended() || now.Sub(m.endedAt) < retention) {
						t.Fatal(err)
					}
				}
			},
		})
	})
}

// Guards against data races and lost wake-ups when writing, reading and eviction run concurrently.
func TestConcurrentUse(t *testing.T) {
	const streams, events = 16, 200
	r := recorder.New(recorder.Config{MaxBytes: streams * events * 200, Retention: time.Nanosecond})
	var wg sync.WaitGroup
	for i := range streams {
		s := r.Open(streamID(i), "acme", 0)
		for range 3 {
			wg.Go(func() {
				n := 0
				err := s.ReadFrom(t.Context(), 0, func(encoder.Event) error {
					n++
					return nil
				})
				// With a retention of 1 ns, ended streams are evicted at once, so that a late reader may find its stream
				// evicted.
				if err == nil && n != events+1 {
					t.Errorf("complete answer with %d events, want %d", n, events+1)
				}
				if err != nil && judge.ReasonOf(err) != judge.ReasonStreamLost {
					t.Error(err)
				}
			})
		}
		wg.Go(func() {
			for j := range events {
				if err := s.Append(chunk(j)); err != nil {
					t.Error(err)
				}
			}
			if err := s.Append(encoder.DoneEvent("")); err != nil {
				t.Error(err)
			}
			_, _ = r.Find(streamID(i))
		})
	}
	wg.Wait()
	r.Expire()
	require.Equal(t, recorder.Usage{MaxBytes: streams * events * 200}, r.Usage())
}
