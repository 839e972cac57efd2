package ticketer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"
	"time"
)

const (
	// ticketPrefix distinguishes a ticket from a caller's own key and names the version of the encoding.
	ticketPrefix = "cr1-"
	// macBytes is the length of the truncated HMAC-SHA-256; 128 bits cannot be guessed within a ticket's lifetime.
	macBytes = 16
	// maxNameBytes bounds the names of the service and of the agent; the encoding holds each length in one byte.
	maxNameBytes = 128
	// maxTicketBytes bounds the text of a ticket before it is decoded.
	maxTicketBytes = 512
)

// Ticket is an idempotency key for one order, accepted only by the incarnation of the agent that issued it.
type Ticket struct {
	Service     string
	Agent       string
	Incarnation uint64
	Serial      uint64
	// Issued is the time from the start of the incarnation to the issue, in whole milliseconds.
	Issued time.Duration
	MAC    []byte
}

// IsTicket reports whether a key has the prefix of a ticket; the ticket may still be invalid.
func IsTicket(key string) bool {
	return strings.HasPrefix(key, ticketPrefix)
}

// ParseTicket decodes the text of a ticket. It checks the format but not the MAC, which only the issuer can check.
func ParseTicket(text string) (Ticket, error) {
	var t Ticket
	err := t.UnmarshalText([]byte(text))
	return t, err
}

// String returns the text of the ticket, which is safe in URLs and headers.
func (t Ticket) String() string {
	return ticketPrefix + base64.RawURLEncoding.EncodeToString(append(t.payload(), t.MAC...))
}

// MarshalText returns the text of String, or an error if a field is missing or out of range.
func (t Ticket) MarshalText() ([]byte, error) {
	if err := t.check(); err != nil {
		return nil, err
	}
	return []byte(t.String()), nil
}

// UnmarshalText decodes a ticket with the checks of ParseTicket; it leaves t unchanged on an error.
func (t *Ticket) UnmarshalText(text []byte) error {
	if len(text) > maxTicketBytes {
		return fmt.Errorf("ticket has %d bytes, want at most %d", len(text), maxTicketBytes)
	}
	encoded, ok := strings.CutPrefix(string(text), ticketPrefix)
	if !ok {
		return fmt.Errorf("ticket does not start with %s", ticketPrefix)
	}
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("ticket is not base64url: %w", err)
	}
	got, err := decodePayload(raw)
	if err != nil {
		return err
	}
	if err := got.check(); err != nil {
		return err
	}
	// Two texts of the same ticket would be two different keys, so only the canonical text is accepted.
	if got.String() != string(text) {
		return fmt.Errorf("ticket is not in canonical form")
	}
	*t = got
	return nil
}

func decodePayload(raw []byte) (Ticket, error) {
	var t Ticket
	var err error
	if t.Service, raw, err = cutName(raw, "service"); err != nil {
		return Ticket{}, err
	}
	if t.Agent, raw, err = cutName(raw, "agent"); err != nil {
		return Ticket{}, err
	}
	if t.Incarnation, raw, err = cutNumber(raw, "incarnation"); err != nil {
		return Ticket{}, err
	}
	if t.Serial, raw, err = cutNumber(raw, "serial"); err != nil {
		return Ticket{}, err
	}
	issued, raw, err := cutNumber(raw, "issue time")
	if err != nil {
		return Ticket{}, err
	}
	if issued > uint64(maxIssued/time.Millisecond) {
		return Ticket{}, fmt.Errorf("ticket: issue time is out of range")
	}
	t.Issued = time.Duration(issued) * time.Millisecond
	t.MAC = raw
	return t, nil
}

// maxIssued bounds the issue time, so that its sum with a lifetime cannot overflow.
const maxIssued = 100 * 365 * 24 * time.Hour

func cutName(raw []byte, field string) (name string, rest []byte, err error) {
	if len(raw) == 0 || len(raw) < 1+int(raw[0]) {
		return "", nil, fmt.Errorf("ticket: field %s is cut off", field)
	}
	n := 1 + int(raw[0])
	return string(raw[1:n]), raw[n:], nil
}

func cutNumber(raw []byte, field string) (v uint64, rest []byte, err error) {
	v, n := binary.Uvarint(raw)
	if n <= 0 {
		return 0, nil, fmt.Errorf("ticket: field %s is cut off or out of range", field)
	}
	return v, raw[n:], nil
}

func (t Ticket) check() error {
	switch {
	case t.Service == "" || len(t.Service) > maxNameBytes:
		return fmt.Errorf("ticket: service has %d bytes, want 1 to %d", len(t.Service), maxNameBytes)
	case t.Agent == "" || len(t.Agent) > maxNameBytes:
		return fmt.Errorf("ticket: agent has %d bytes, want 1 to %d", len(t.Agent), maxNameBytes)
	case t.Issued < 0 || t.Issued > maxIssued || t.Issued%time.Millisecond != 0:
		return fmt.Errorf("ticket: issue time %v is out of range", t.Issued)
	case len(t.MAC) != macBytes:
		return fmt.Errorf("ticket: MAC has %d bytes, want %d", len(t.MAC), macBytes)
	}
	return nil
}

// payload returns the encoding of the fields that the MAC covers.
func (t Ticket) payload() []byte {
	b := make([]byte, 0, 2+len(t.Service)+len(t.Agent)+3*binary.MaxVarintLen64+macBytes)
	b = append(b, byte(len(t.Service)))
	b = append(b, t.Service...)
	b = append(b, byte(len(t.Agent)))
	b = append(b, t.Agent...)
	b = binary.AppendUvarint(b, t.Incarnation)
	b = binary.AppendUvarint(b, t.Serial)
	return binary.AppendUvarint(b, uint64(t.Issued/time.Millisecond))
}

// sign returns the truncated HMAC-SHA-256 of the payload.
func (t Ticket) sign(secret []byte) []byte {
	h := hmac.New(sha256.New, secret)
	_, _ = h.Write(t.payload())
	return h.Sum(nil)[:macBytes]
}

// authentic reports whether the MAC was made with the secret.
func (t Ticket) authentic(secret []byte) bool {
	return hmac.Equal(t.MAC, t.sign(secret))
}
