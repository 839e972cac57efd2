package quarantiner_test

import (
	"testing"
	"time"

	"clementineramp/quarantiner"
)

// fullQuarantine returns a quarantine that holds the default maximum of 4096 marks, all gossiped.
func fullQuarantine() *quarantiner.Quarantine {
	q := quarantiner.New(quarantiner.Config{})
	for fp := range quarantiner.Fingerprint(4096) {
		q.Merge(at(0), []quarantiner.Entry{{Fingerprint: fp + 1, Mark: 1, Remaining: time.Minute}})
	}
	return q
}

func BenchmarkOrdinaryRequest(b *testing.B) {
	q := fullQuarantine()
	for i := range 256 {
		_, _ = q.Begin(at(0), quarantiner.Fingerprint(10_000+i), false)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		fp := quarantiner.Fingerprint(20_000 + i)
		suspect, _ := q.Admit(at(1), fp, 0)
		run, _ := q.Begin(at(1), fp, suspect)
		q.Finish(at(1), run)
	}
}

func BenchmarkSuspectRequest(b *testing.B) {
	q := quarantiner.New(quarantiner.Config{})
	for i := range 256 {
		_, _ = q.Begin(at(0), quarantiner.Fingerprint(10_000+i), false)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		fp := quarantiner.Fingerprint(20_000 + i)
		suspect, _ := q.Admit(at(1), fp, 1)
		run, _ := q.Begin(at(1), fp, suspect)
		q.Finish(at(1), run)
	}
}

func BenchmarkCrash(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		q := quarantiner.New(quarantiner.Config{})
		for i := range 256 {
			_, _ = q.Begin(at(0), quarantiner.Fingerprint(i+1), false)
		}
		q.Crash(at(1))
	}
}

// BenchmarkCrashFull measures a crash with 256 ordinary running requests while MaxMarks is reached.
func BenchmarkCrashFull(b *testing.B) {
	q := fullQuarantine()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for j := range 256 {
			_, _ = q.Begin(at(0), quarantiner.Fingerprint(100_000+256*i+j), false)
		}
		q.Crash(at(1))
	}
}

func BenchmarkMarks(b *testing.B) {
	q := fullQuarantine()
	b.ReportAllocs()
	for b.Loop() {
		q.Marks(64, at(1))
	}
}

// BenchmarkMergeFull measures the worst case: 64 entries for unknown requests while MaxMarks is reached.
func BenchmarkMergeFull(b *testing.B) {
	q := fullQuarantine()
	entries := make([]quarantiner.Entry, 64)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for j := range entries {
			entries[j] = quarantiner.Entry{Fingerprint: quarantiner.Fingerprint(100_000 + i*len(entries) + j), Mark: 1, Remaining: time.Minute}
		}
		q.Merge(at(1), entries)
	}
}
