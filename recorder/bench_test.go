package recorder_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"clementineramp/encoder"
	"clementineramp/recorder"
)

// tokenEvent has the usual size of a chat-completions chunk.
var tokenEvent = encoder.Event{Data: strings.Repeat("x", 230), Text: "word"}

// streamEvents is the number of events of an answer in the benchmarks.
const streamEvents = 256

func BenchmarkAppend(b *testing.B) {
	r := recorder.New(recorder.Config{})
	b.ReportAllocs()
	var s *recorder.Stream
	for i := 0; b.Loop(); i++ {
		if i%streamEvents == 0 {
			if s != nil {
				s.Close(nil)
			}
			s = r.Open(streamID(i), "acme", 0)
		}
		if err := s.Append(tokenEvent); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppendParallel(b *testing.B) {
	r := recorder.New(recorder.Config{})
	var serial atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var s *recorder.Stream
		for i := 0; pb.Next(); i++ {
			if i%streamEvents == 0 {
				if s != nil {
					s.Close(nil)
				}
				s = r.Open(streamID(int(serial.Add(1))), "acme", 0)
			}
			if err := s.Append(tokenEvent); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkFollow measures the time of an event from the writer to a reader that follows the running stream.
func BenchmarkFollow(b *testing.B) {
	r := recorder.New(recorder.Config{MaxBytes: 1 << 40})
	s := r.Open(streamID(1), "acme", 0)
	got := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		_ = s.ReadFrom(context.Background(), 0, func(encoder.Event) error {
			got <- struct{}{}
			return nil
		})
	})
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Append(tokenEvent); err != nil {
			b.Fatal(err)
		}
		<-got
	}
	s.Close(nil)
	wg.Wait()
}

func BenchmarkReadFrom(b *testing.B) {
	s := recorder.New(recorder.Config{}).Open(streamID(1), "acme", 0)
	for range streamEvents - 1 {
		if err := s.Append(tokenEvent); err != nil {
			b.Fatal(err)
		}
	}
	if err := s.Append(encoder.DoneEvent("")); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		err := s.ReadFrom(context.Background(), 0, func(encoder.Event) error {
			n++
			return nil
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/event")
}
