package ticketer_test

import (
	"fmt"
	"time"

	"clementineramp/ticketer"
)

func ExampleLedger() {
	now := time.Unix(0, 0)
	l, err := ticketer.New(ticketer.Config{
		Service: "bestall", Agent: "bestall-1", Incarnation: 1, Secret: []byte("sixteen random b"), Started: now,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	ticket, _ := l.Issue(now)
	key := ticketer.Key{Organisation: "acme", Text: ticket.String()}
	digest := ticketer.DigestOf([]byte("POST"), []byte("/orders"), []byte(`{"seats":2}`))

	first, _ := l.Begin(now, key, digest, ticketer.ConfigurationState{})
	fmt.Println("run:", first.Action == ticketer.Run)
	_ = l.Finish(now, key, ticketer.Response{Status: 201, Body: []byte("booked")})

	retry, _ := l.Begin(now.Add(time.Second), key, digest, ticketer.ConfigurationState{})
	fmt.Println("replay:", retry.Action == ticketer.Replay, string(retry.Response.Body))

	_, err = l.Begin(now.Add(time.Hour), key, digest, ticketer.ConfigurationState{})
	fmt.Println(err)
	// Output:
	// run: true
	// replay: true booked
	// ticket_expired (may_have_run): the ticket is older than 2m0s
}
