package recorder_test

import (
	"context"
	"fmt"

	"clementineramp/encoder"
	"clementineramp/recorder"
)

func ExampleStream_ReadFrom() {
	r := recorder.New(recorder.Config{})
	id := encoder.StreamID{Agent: "agent-1", Incarnation: 10, Serial: 1}
	// The caller has received two events of the answer from an earlier agent.
	s := r.Open(id, "acme", 2)
	_ = s.Append(encoder.Event{Data: `{"text":"sun"}`})
	_ = s.Append(encoder.Event{Data: `{"text":"rise"}`})
	_ = s.Append(encoder.DoneEvent(""))

	// The caller's connection broke after the third event.
	found, err := r.Find(id)
	if err != nil {
		fmt.Println(err)
		return
	}
	err = found.ReadFrom(context.Background(), 3, func(ev encoder.Event) error {
		fmt.Println(ev.ID, ev.Data)
		return nil
	})
	fmt.Println(err)
	_, err = r.Find(encoder.StreamID{Agent: "agent-1", Incarnation: 9, Serial: 4})
	fmt.Println(err)
	// Output:
	// agent-1.a.1:4 {"text":"rise"}
	// agent-1.a.1:5 [DONE]
	// <nil>
	// stream_lost (may_have_run): stream agent-1.9.4 is not recorded here: it was evicted or is of another incarnation
}
