package ticketer_test

import (
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"clementineramp/ticketer"
)

func drawTicket(t *rapid.T) ticketer.Ticket {
	name := rapid.StringN(1, 20, 128)
	return ticketer.Ticket{
		Service: name.Draw(t, "service"), Agent: name.Draw(t, "agent"),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"), Serial: rapid.Uint64().Draw(t, "serial"),
		Issued: time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "issued")) * time.Millisecond,
		MAC:    rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "mac"),
	}
}

// Guards against a ticket that encoding for a URL or header changes.
func TestTicketRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawTicket(t)
		text := want.String()
		got, err := ticketer.ParseTicket(text)
		require.NoError(t, err)
		require.Equal(t, want, got)
		require.Equal(t, text, url.PathEscape(text))
		require.True(t, ticketer.IsTicket(text))
	})
}

// Guards against accepting a malformed ticket.
func TestParseTicketRefuses(t *testing.T) {
	valid := ticketer.Ticket{Service: "s", Agent: "a", Incarnation: 1, Serial: 1, MAC: make([]byte, 16)}
	tests := []struct{ name, text, want string }{
		{"other prefix", "k-1", "does not start with"},
		{"not base64", "cr1-%%", "not base64url"},
		{"cut off", valid.String()[:6], "cut off"},
		{"short MAC", valid.String()[:len(valid.String())-4], "MAC has 13 bytes"},
		{"too long", "cr1-" + strings.Repeat("A", 600), "want at most"},
		{"line break ignored by base64", valid.String()[:10] + "\n" + valid.String()[10:], "canonical"},
		{"no service", ticketer.Ticket{Agent: "a", MAC: make([]byte, 16)}.String(), "service has 0 bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ticketer.ParseTicket(tt.text)
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func TestMarshalTicketRefuses(t *testing.T) {
	_, err := ticketer.Ticket{Service: "s", Agent: "a"}.MarshalText()
	require.ErrorContains(t, err, "MAC")
}

// Guards against a panic of the decoder and against accepting two texts of the same ticket.
func FuzzParseTicket(f *testing.F) {
	f.Add("cr1-")
	f.Add(ticketer.Ticket{Service: "bestall", Agent: "b1", Incarnation: 9, Serial: 3, Issued: time.Second, MAC: make([]byte, 16)}.String())
	f.Fuzz(func(t *testing.T, text string) {
		got, err := ticketer.ParseTicket(text)
		if err != nil {
			return
		}
		require.Equal(t, text, got.String())
	})
}
