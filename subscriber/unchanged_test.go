package subscriber_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/standin"
	"clementineramp/subscriber"
)

// Guards against a watch that transfers the complete list of hosts again although nothing has changed.
func TestUnchangedHostsAreNotSentAgain(t *testing.T) {
	p := standin.NewPlatform()
	p.WatchTimeout = 10 * time.Millisecond
	p.SetHosts([]subscriber.Host{{Name: "a", Address: "127.0.0.1:1", Domain: "d", Role: subscriber.RoleRouter, State: subscriber.StateLive}})
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	received := 0
	c := subscriber.New(subscriber.Config{
		Addresses: []string{s.Listener.Addr().String()}, HTTP: &http.Client{},
		Count: func(_, n int) { received += n },
	})
	list, err := c.Hosts(t.Context())
	require.NoError(t, err)
	full := received
	_, err = c.WatchHosts(t.Context(), list.Revision)
	require.ErrorIs(t, err, subscriber.ErrUnchanged)
	require.Less(t, received-full, full)
}
