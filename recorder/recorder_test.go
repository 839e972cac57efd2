package recorder_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/encoder"
	"clementineramp/judge"
	"clementineramp/recorder"
)

var (
	id    = encoder.StreamID{Agent: "a", Incarnation: 1, Serial: 2}
	epoch = time.Unix(1_000_000, 0)
)

func event(n int) encoder.Event {
	return encoder.Event{Data: fmt.Sprint(n), Text: fmt.Sprint(n)}
}

// read returns the texts after an offset and the error of ReadFrom.
func read(ctx context.Context, s *recorder.Stream, offset int) (texts []string, err error) {
	err = s.ReadFrom(ctx, offset, func(ev encoder.Event) error {
		texts = append(texts, ev.Text)
		return nil
	})
	return texts, err
}

// Guards against a reader that gets an event twice, misses one, or is told a wrong end.
func TestReadFrom(t *testing.T) {
	tests := []struct {
		name   string
		base   int
		done   bool
		close  error
		offset int
		want   []string
		err    error
	}{
		{"whole", 0, true, nil, 0, []string{"1", "2", "3", ""}, nil},
		{"resumed", 0, true, nil, 2, []string{"3", ""}, nil},
		{"after the last event", 0, true, nil, 4, nil, nil},
		{"continued answer", 10, true, nil, 11, []string{"2", "3", ""}, nil},
		{"truncated", 0, false, nil, 0, []string{"1", "2", "3"}, encoder.ErrTruncated},
		{"failed", 0, false, context.DeadlineExceeded, 1, []string{"2", "3"}, context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := recorder.New(recorder.Config{}).Open(id, tt.base)
			for n := 1; n <= 3; n++ {
				require.NoError(t, s.Append(event(n)))
			}
			if tt.done {
				require.NoError(t, s.Append(encoder.DoneEvent("")))
			}
			s.Close(tt.close)
			s.Close(errors.New("later"))
			got, err := read(t.Context(), s, tt.offset)
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.want, got)
			require.ErrorIs(t, s.Append(event(5)), recorder.ErrClosed)
		})
	}
}

// Guards against offsets that differ from those in the identifiers of the events.
func TestEventIDs(t *testing.T) {
	s := recorder.New(recorder.Config{}).Open(id, 7)
	require.NoError(t, s.Append(event(1)))
	require.NoError(t, s.Append(encoder.DoneEvent("")))
	require.ErrorIs(t, s.Append(event(2)), recorder.ErrClosed)
	s.Close(nil)
	var ids []string
	require.NoError(t, s.ReadFrom(t.Context(), 7, func(ev encoder.Event) error {
		ids = append(ids, ev.ID)
		return nil
	}))
	require.Equal(t, []string{"a.1.2:8", "a.1.2:9"}, ids)
	require.Equal(t, 9, s.Offset())
	require.Equal(t, id, s.ID())
}

func TestReadFromRefusesOffset(t *testing.T) {
	s := recorder.New(recorder.Config{}).Open(id, 5)
	_, err := read(t.Context(), s, 6)
	require.Equal(t, judge.ReasonInvalid, judge.ReasonOf(err))
	_, err = read(t.Context(), s, 4)
	require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
}

func TestReadFromStops(t *testing.T) {
	s := recorder.New(recorder.Config{}).Open(id, 0)
	require.NoError(t, s.Append(event(1)))
	stop := errors.New("stop")
	require.ErrorIs(t, s.ReadFrom(t.Context(), 0, func(encoder.Event) error { return stop }), stop)
	ctx, cancel := context.WithCancel(t.Context())
	err := s.ReadFrom(ctx, 0, func(encoder.Event) error {
		cancel()
		return nil
	})
	require.ErrorIs(t, err, context.Canceled)
	_, err = read(ctx, s, 0)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against readers that see a different answer than was written while they follow it.
func TestReadersFollowWriter(t *testing.T) {
	const events = 500
	s := recorder.New(recorder.Config{}).Open(id, 0)
	var want []string
	for n := 1; n <= events; n++ {
		want = append(want, fmt.Sprint(n))
	}
	want = append(want, "")
	var wg sync.WaitGroup
	got := make([][]string, 8)
	errs := make([]error, len(got))
	for i := range got {
		wg.Go(func() { got[i], errs[i] = read(t.Context(), s, 0) })
	}
	for n := 1; n <= events; n++ {
		require.NoError(t, s.Append(event(n)))
	}
	require.NoError(t, s.Append(encoder.DoneEvent("")))
	s.Close(nil)
	wg.Wait()
	for i := range got {
		require.NoError(t, errs[i])
		require.Equal(t, want, got[i])
	}
}

// Guards against a stuck reader that holds up the writer; the reader is told that it lost events.
func TestSlowReaderLosesEvents(t *testing.T) {
	r := recorder.New(recorder.Config{MaxStreamBytes: 2000})
	s := r.Open(id, 0)
	require.NoError(t, s.Append(event(1)))
	release := make(chan struct{})
	entered := make(chan struct{})
	result := make(chan error)
	go func() {
		first := true
		result <- s.ReadFrom(t.Context(), 0, func(encoder.Event) error {
			if first {
				first = false
				close(entered)
				<-release
			}
			return nil
		})
	}()
	<-entered
	for n := 2; n <= 1000; n++ {
		require.NoError(t, s.Append(event(n)))
	}
	require.NoError(t, s.Append(encoder.DoneEvent("")))
	s.Close(nil)
	require.LessOrEqual(t, r.Bytes(), 2000)
	close(release)
	require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(<-result))
	tail, err := read(t.Context(), s, 995)
	require.NoError(t, err)
	require.Equal(t, []string{"996", "997", "998", "999", "1000", ""}, tail)
}

// Guards against memory beyond the bound, and against an evicted answer that looks finished.
func TestBounds(t *testing.T) {
	r := recorder.New(recorder.Config{MaxBytes: 10_000})
	streams := make([]*recorder.Stream, 12)
	for i := range streams {
		streams[i] = r.Open(encoder.StreamID{Agent: "a", Serial: uint64(i)}, 0)
		for range 8 {
			require.NoError(t, streams[i].Append(encoder.Event{Data: strings.Repeat("x", 100)}))
		}
		require.NoError(t, streams[i].Append(encoder.DoneEvent("")))
		streams[i].Close(nil)
		require.LessOrEqual(t, r.Bytes(), 10_000)
	}
	_, err := read(t.Context(), streams[0], 0)
	require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
	_, err = read(t.Context(), streams[0], 9)
	require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
	_, err = r.Find(streams[0].ID())
	require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
	_, err = read(t.Context(), streams[11], 0)
	require.NoError(t, err)
	require.Less(t, r.Len(), len(streams))
}

// Guards against running streams that exceed the bound together, and against losing the end of a running stream.
func TestRunningStreamsAreTrimmed(t *testing.T) {
	r := recorder.New(recorder.Config{MaxBytes: 8000})
	small := r.Open(encoder.StreamID{Agent: "a", Serial: 1}, 0)
	large := r.Open(encoder.StreamID{Agent: "a", Serial: 2}, 0)
	require.NoError(t, small.Append(event(1)))
	for n := 1; n <= 500; n++ {
		require.NoError(t, large.Append(event(n)))
		require.LessOrEqual(t, r.Bytes(), 8000)
	}
	require.NoError(t, small.Append(encoder.DoneEvent("")))
	small.Close(nil)
	got, err := read(t.Context(), small, 0)
	require.NoError(t, err)
	require.Len(t, got, 2)
	large.Close(nil)
	_, err = read(t.Context(), large, 0)
	require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
	got, err = read(t.Context(), large, 498)
	require.ErrorIs(t, err, encoder.ErrTruncated)
	require.Equal(t, []string{"499", "500"}, got)
}

// Guards against a bound so small that not even an empty stream fits.
func TestTinyBound(t *testing.T) {
	r := recorder.New(recorder.Config{MaxBytes: 1})
	s := r.Open(id, 0)
	require.NoError(t, s.Append(event(1)))
	_, err := read(t.Context(), s, 0)
	require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
	s.Close(nil)
	_, err = read(t.Context(), s, 1)
	require.ErrorIs(t, err, encoder.ErrTruncated)
}

func TestExpire(t *testing.T) {
	r := recorder.New(recorder.Config{Linger: time.Minute})
	running := r.Open(encoder.StreamID{Agent: "a", Serial: 1}, 0)
	ended := r.Open(encoder.StreamID{Agent: "a", Serial: 2}, 0)
	ended.Close(nil)
	r.Expire(epoch)
	r.Expire(epoch.Add(59 * time.Second))
	_, err := r.Find(ended.ID())
	require.NoError(t, err)
	r.Expire(epoch.Add(time.Minute))
	_, err = r.Find(ended.ID())
	require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
	r.Expire(epoch.Add(time.Hour))
	_, err = r.Find(running.ID())
	require.NoError(t, err)
	ended.Close(nil)
}

// Guards against two answers mixed in one buffer when an identity is opened again.
func TestOpenAgainEvicts(t *testing.T) {
	r := recorder.New(recorder.Config{})
	old := r.Open(id, 0)
	require.NoError(t, old.Append(event(1)))
	fresh := r.Open(id, 0)
	require.NoError(t, old.Append(event(2)))
	old.Close(nil)
	_, err := read(t.Context(), old, 2)
	require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
	found, err := r.Find(id)
	require.NoError(t, err)
	require.Same(t, fresh, found)
	require.Zero(t, fresh.Offset())
	require.Equal(t, 1, r.Len())
}

// Guards against any order of operations that loses an event silently or miscounts memory.
func TestStreamProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := recorder.New(recorder.Config{MaxBytes: 6000, MaxStreamBytes: 3000})
		base := rapid.IntRange(0, 5).Draw(t, "base")
		s := r.Open(id, base)
		n := rapid.IntRange(0, 60).Draw(t, "events")
		for i := 1; i <= n; i++ {
			text := strings.Repeat("x", rapid.IntRange(0, 200).Draw(t, "length"))
			require.NoError(t, s.Append(encoder.Event{Text: text, Data: fmt.Sprint(base + i)}))
			require.LessOrEqual(t, r.Bytes(), 3000)
		}
		whole := rapid.Bool().Draw(t, "whole")
		if whole {
			require.NoError(t, s.Append(encoder.DoneEvent("")))
		}
		s.Close(nil)
		offset := rapid.IntRange(base, s.Offset()).Draw(t, "offset")
		next := offset
		err := s.ReadFrom(context.Background(), offset, func(ev encoder.Event) error {
			next++
			require.Equal(t, encoder.EventID(id.String(), next), ev.ID)
			if !ev.Done {
				require.Equal(t, fmt.Sprint(next), ev.Data)
			}
			return nil
		})
		switch {
		case err == nil:
			require.True(t, whole)
			require.Equal(t, s.Offset(), next)
		case errors.Is(err, encoder.ErrTruncated):
			require.False(t, whole)
			require.Equal(t, s.Offset(), next)
		default:
			require.Equal(t, judge.ReasonStreamLost, judge.ReasonOf(err))
			require.Equal(t, offset, next)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	s := recorder.New(recorder.Config{MaxStreamBytes: 1 << 20}).Open(id, 0)
	ev := encoder.Event{Data: strings.Repeat("x", 200), Text: "word"}
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Append(ev); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReadFrom(b *testing.B) {
	s := recorder.New(recorder.Config{}).Open(id, 0)
	for range 1000 {
		_ = s.Append(encoder.Event{Data: "x"})
	}
	_ = s.Append(encoder.DoneEvent(""))
	s.Close(nil)
	b.ReportAllocs()
	for b.Loop() {
		if err := s.ReadFrom(context.Background(), 0, func(encoder.Event) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
