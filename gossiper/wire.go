package gossiper

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"time"

	"clementineramp/configurer"
	"clementineramp/encoder"
)

// Protocol is the version of the gossip protocol that this build announces.
const Protocol = 1

const (
	// maxEntries is the maximum number of load entries and of crash marks in a received message.
	maxEntries = 256
	// maxMarkLifetime is the maximum remaining lifetime of a received mark; blocks last 5 minutes.
	maxMarkLifetime = time.Hour
	// maxNameBytes is the maximum length of a name in a received message.
	maxNameBytes = 256
	digestDigits = 32
)

// Mark is a crash mark: the record of a request that was in flight when an engine crashed.
type Mark struct {
	Fingerprint uint64 `json:"f"`
	// Count is the number of crashes in which the request was in flight.
	Count int `json:"c"`
	// Blocked is true if all agents refuse the request.
	Blocked bool `json:"v,omitempty"`
	// RemainingMS is the time until the mark expires, in milliseconds.
	RemainingMS int64 `json:"r"`
}

// State is the message that each side of an exchange sends.
type State struct {
	// Protocol is the highest protocol version that the sender supports.
	Protocol int    `json:"p"`
	Name     string `json:"n"`
	// Control is the sender's address for gossip; empty means that the sender cannot be called.
	Control string `json:"a,omitempty"`
	// Brief asks for a reply without load entries and marks; absent means that the sender accepts them.
	Brief bool                `json:"b,omitempty"`
	Load  []encoder.LoadEntry `json:"l,omitempty"`
	Marks []Mark              `json:"m,omitempty"`
	// Fleet is the history of the fleet as known to the sender.
	Fleet encoder.FleetHistory `json:"f"`
	// Current is the sender's current configuration; the zero ID means none.
	Current configurer.ID `json:"c"`
}

// DigestRequest is a request for the manifest or part with a digest.
type DigestRequest struct {
	Digest configurer.Digest `json:"d"`
}

// Content is the reply with a manifest, a part or a list of hosts, in its encoded form.
type Content struct {
	Data []byte `json:"b"`
}

// message is a wire type that can be checked after it has been decoded.
type message interface {
	check() error
}

func (s *State) check() error {
	if s.Name == "" || len(s.Name) > maxNameBytes {
		return fmt.Errorf("field n (name) is missing or longer than %d bytes", maxNameBytes)
	}
	if _, err := netip.ParseAddrPort(s.Control); s.Control != "" && err != nil {
		return fmt.Errorf("field a (control) is not an IP number and port")
	}
	if err := s.Fleet.Check(); err != nil {
		return err
	}
	if len(s.Load) > maxEntries || len(s.Marks) > maxEntries {
		return fmt.Errorf("%d load entries and %d marks, want at most %d", len(s.Load), len(s.Marks), maxEntries)
	}
	if (s.Current.Version == 0) != (s.Current.Digest == "") {
		return fmt.Errorf("field c (configuration) has a version or a digest only")
	}
	if s.Current.Digest != "" {
		if err := checkDigest(s.Current.Digest); err != nil {
			return err
		}
	}
	for _, e := range s.Load {
		if err := checkLoad(e); err != nil {
			return err
		}
	}
	for _, m := range s.Marks {
		if m.Count < 0 || m.RemainingMS < 0 || m.RemainingMS > maxMarkLifetime.Milliseconds() {
			return fmt.Errorf("mark %x is out of range", m.Fingerprint)
		}
	}
	return nil
}

func checkLoad(e encoder.LoadEntry) error {
	if e.Upstream == "" || len(e.Upstream) > maxNameBytes || len(e.Version) > maxNameBytes {
		return fmt.Errorf("load entry without a name, or with one longer than %d bytes", maxNameBytes)
	}
	if !finite(e.Work) || !finite(e.Queued) || e.AgeMS < 0 || e.UptimeMS < 0 {
		return fmt.Errorf("load entry %q is out of range", e.Upstream)
	}
	return nil
}

func finite(v float64) bool {
	return v >= 0 && !math.IsInf(v, 1)
}

func checkDigest(d configurer.Digest) error {
	raw, err := hex.DecodeString(string(d))
	if err != nil || len(raw)*2 != digestDigits {
		return fmt.Errorf("digest is not %d hexadecimal digits", digestDigits)
	}
	return nil
}

func (r *DigestRequest) check() error {
	return checkDigest(r.Digest)
}

func (c *Content) check() error {
	return nil
}
