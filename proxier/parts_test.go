package proxier_test

import (
	"fmt"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/blocker"
	"clementineramp/platform/imitator"
	"clementineramp/registrar"
)

// crashBeforeEvent answers with the headers of a stream and breaks the connection before the first event.
func crashBeforeEvent(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(imitator.HeaderSignature, "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// crashAfterEvent breaks the connection after the first event.
func crashAfterEvent(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(imitator.HeaderSignature, "signed")
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// crashInAnswer breaks the connection in the middle of an answer, too late for the parts of the prompt to be suspected.
func crashInAnswer(w http.ResponseWriter, r *http.Request) {
	crashAfter(blocker.LateSpan+100*time.Millisecond)(w, r)
}

// crashAfter returns a handler that breaks the connection after a time from the first event.
func crashAfter(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(imitator.HeaderSignature, "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(d):
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
}

// useUpstream makes one upstream the only one, since the choice among several depends on the prompt.
func (f *fixture) useUpstream(i int) {
	u := f.upstreams[i]
	f.view.ByService["s"] = []registrar.Upstream{{ID: u.ID, Service: "s", Address: u.Address(), Slots: 8}}
}

func (f *fixture) suspect(part string, crashes int) {
	now := time.Now()
	for i := range crashes {
		f.crashes.RecordCrash(blocker.Fingerprint(i), fmt.Sprint("earlier-", part, i), now.Add(-10*time.Second+time.Duration(i)*time.Second), blocker.PartOf(part))
	}
}

// Guards against the incident: requests that have only a part of their prompts in common crash one upstream after the other,
// and none is like another.
func TestRequestsWithPartThatCrashesUpstreamsAreRefused(t *testing.T) {
	f := newFixture(t, crashBeforeEvent, imitator.ResetConnection, crashBeforeEvent, nil)
	for n := range 3 {
		f.useUpstream(n)
		prompt := fmt.Sprintf("a%d:100,bad:50,%d:20", n, n)
		require.NotEqual(t, 200, f.do("POST", fmt.Sprint("/stream/", n), fmt.Sprint("body", n), imitator.HeaderPrompt, prompt).status)
	}
	f.useUpstream(3)
	time.Sleep(2600 * time.Millisecond) // Three crashes within 0.2 s settle after 2.5 s.
	runs := f.runs()
	r := f.do("POST", "/stream/4", "body4", imitator.HeaderPrompt, "a4:100,bad:50,4:20")
	require.Equal(t, 503, r.status)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Equal(t, runs, f.runs())
	require.Contains(t, f.log.String(), "crashes_upstream")
	require.Contains(t, f.log.String(), "part bad of the prompt")
	require.Equal(t, 200, f.do("POST", "/stream/5", "body5", imitator.HeaderPrompt, "a4:100,4:20").status, "the last part of a prompt is not suspected")
	require.Equal(t, 200, f.do("POST", "/stream/6", "body6", imitator.HeaderPrompt, "a1:100,good:50,bad:20").status)
}

// Guards against sound parts that are suspected because their streams were running at an upstream that crashed.
func TestPartsOfStreamWithEventsAreNotSuspected(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		blocked bool
	}{
		{"before the first event", crashBeforeEvent, true},
		{"right after the first event", crashAfterEvent, true},
		{"in the middle of the answer", crashInAnswer, false},
		{"complete", nil, false},
		{"not signed", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Del(imitator.HeaderSignature)
			w.WriteHeader(http.StatusOK)
		}, false},
		{"turned away", imitator.Shed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.handler)
			f.suspect("bad", 2)
			f.do("POST", "/stream/1", "body", imitator.HeaderPrompt, "a:100,bad:50,1:20")
			_, _, blocked := f.crashes.BlockedPart([]blocker.Part{blocker.PartOf("bad")}, time.Now().Add(time.Second))
			require.Equal(t, c.blocked, blocked, f.log.String())
		})
	}
}

// Guards against a part that crashes one upstream after the other in the middle of an answer and is never refused, and against
// sound parts in the same answers.
func TestPartThatCrashesInAnswersIsRefused(t *testing.T) {
	late := crashAfter(blocker.AnswerStart + 150*time.Millisecond)
	for _, c := range []struct {
		name, path string
		// bad is the handler of requests with the part that crashes upstreams, and sound that of another one.
		bad, sound http.HandlerFunc
	}{
		{"answer that is no stream", "/order/", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(imitator.HeaderSignature, "signed")
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "a part")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(400 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}, nil},
		{"whole answer", "/stream/", late, nil},
		{"long answer", "/stream/", late, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(imitator.HeaderSignature, "signed")
			w.Header().Set("Content-Type", "text/event-stream")
			for n := range 15 {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: a\n\n", n)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(blocker.LateSpan / 10)
			}
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, c.bad, c.bad, c.bad, c.sound, nil)
			for n := range 3 {
				f.useUpstream(n)
				f.do("POST", fmt.Sprint(c.path, n), fmt.Sprint("body", n), imitator.HeaderPrompt, fmt.Sprintf("a:100,bad:50,%d:20", n))
			}
			f.useUpstream(3)
			f.do("POST", c.path+"3", "body3", imitator.HeaderPrompt, "a:100,good:50,3:20")
			f.useUpstream(4)
			time.Sleep(2500 * time.Millisecond)
			runs := f.runs()
			require.Equal(t, 503, f.do("POST", c.path+"4", "body4", imitator.HeaderPrompt, "a:100,bad:50,4:20").status)
			require.Equal(t, runs, f.runs())
			require.Equal(t, 200, f.do("POST", c.path+"5", "body5", imitator.HeaderPrompt, "a:100,good:50,5:20").status)
		})
	}
}

// Guards against parts that are suspected because hosts have lost their power or network, in which nothing crashes.
func TestPartsOfLostHostAreNotSuspected(t *testing.T) {
	for _, handler := range []http.HandlerFunc{imitator.ResetConnection, crashBeforeEvent} {
		for err, want := range map[error]bool{
			syscall.ECONNRESET: true, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false, syscall.ENETUNREACH: false,
		} {
			f := newFixture(t, handler)
			f.readErr = err
			f.suspect("bad", 2)
			f.do("POST", "/stream/1", "body", imitator.HeaderPrompt, "a:100,bad:50,1:20")
			require.Equal(t, 1, f.runs())
			_, _, blocked := f.crashes.BlockedPart([]blocker.Part{blocker.PartOf("bad")}, time.Now().Add(time.Second))
			require.Equal(t, want, blocked, err)
		}
	}
}

// Guards against a block that a sound part does not leave: the first event of any request with it ends the block.
func TestFirstEventEndsBlock(t *testing.T) {
	release := make(chan struct{})
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
			crashInAnswer(w, r)
		case <-r.Context().Done():
		}
	})
	f.suspect("good", 2)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		f.do("POST", "/stream/1", "body", imitator.HeaderPrompt, "a:100,good:50,1:20")
	}()
	require.Eventually(t, func() bool { return f.runs() == 1 }, time.Second, time.Millisecond)
	f.crashes.RecordCrash(9, "other", time.Now(), blocker.PartOf("good"))
	require.Equal(t, 503, f.do("POST", "/stream/2", "body", imitator.HeaderPrompt, "a:100,good:50,2:20").status)
	close(release)
	<-answered
	require.Eventually(t, func() bool { return f.crashes.BlockedParts(time.Now()) == 0 }, time.Second, time.Millisecond)
	_, _, blocked := f.crashes.BlockedPart([]blocker.Part{blocker.PartOf("good")}, time.Now().Add(time.Second))
	require.False(t, blocked)
}

// Guards against repeats: a request whose part becomes blocked during its first attempt is not sent to another upstream.
func TestBlockedPartIsNotRepeated(t *testing.T) {
	for _, path := range []string{"/resume/1", "/read/1"} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t, imitator.ResetConnection, nil)
			f.suspect("bad", 2)
			require.Equal(t, 502, f.do("POST", path, "body", imitator.HeaderPrompt, "a:100,bad:50,1:20").status)
			require.Equal(t, 1, f.runs())
			f = newFixture(t, imitator.ResetConnection, nil)
			f.suspect("bad", 1)
			require.Equal(t, 200, f.do("POST", path, "body", imitator.HeaderPrompt, "a:100,bad:50,1:20").status)
		})
	}
}

// Guards against a trial of a part that ends at an upstream that turns it away: it takes the place of others, and its
// repeat must not be refused as one of these.
func TestTrialIsRepeated(t *testing.T) {
	f := newFixture(t, imitator.Shed, nil)
	for i := range 3 {
		f.crashes.RecordCrash(blocker.Fingerprint(i), fmt.Sprint("earlier-", i), time.Now().Add(-3*time.Minute), blocker.PartOf("bad"))
	}
	require.Equal(t, 200, f.do("POST", "/read/1", "body", imitator.HeaderPrompt, "a:100,bad:50,1:20").status)
	require.Equal(t, 2, f.runs())
}
