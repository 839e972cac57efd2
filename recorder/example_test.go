package recorder_test

import (
	"context"
	"fmt"

	"clementineramp/encoder"
	"clementineramp/recorder"
)

func ExampleStream_ReadFrom() {
	r := recorder.New(recorder.Config{})
	s := r.Open(encoder.StreamID{Agent: "vavrad-1", Incarnation: 1, Serial: 1}, 0)
	for _, text := range []string{"Hello", ", ", "world"} {
		_ = s.Append(encoder.Event{Text: text})
	}
	_ = s.Append(encoder.DoneEvent(""))
	s.Close(nil)

	err := s.ReadFrom(context.Background(), 2, func(ev encoder.Event) error {
		fmt.Printf("%s %q\n", ev.ID, ev.Text)
		return nil
	})
	fmt.Println(err)
	// Output:
	// vavrad-1.1.1:3 "world"
	// vavrad-1.1.1:4 ""
	// <nil>
}
