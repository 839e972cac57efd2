package timekeeper_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/timekeeper"
)

// Guards against a message that counts as new because it waited while this process was paused, whether the end of the pause has
// been noticed yet or not, and against new messages that count as old for long after one.
func TestArrivalDuringAPause(t *testing.T) {
	var p timekeeper.Pulse
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	require.Equal(t, at(0), p.Arrived(at(0)), "before the first beat")
	for ms := 0; ms <= 1000; ms += 50 {
		p.Beat(at(ms), at(ms+50))
	}
	require.Equal(t, at(1249), p.Arrived(at(1249)), "a beat that is a little late")
	require.Equal(t, at(1000), p.Arrived(at(6000)), "the pause has not been noticed")
	p.Beat(at(6001), at(6051))
	for ms := 6051; ms < 6500; ms += 50 {
		require.Equal(t, at(1000), p.Arrived(at(ms)), "messages from the pause may still be unread")
		p.Beat(at(ms), at(ms+50))
	}
	p.Beat(at(6501), at(6551))
	require.Equal(t, at(6502), p.Arrived(at(6502)))
}
