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

// Protocol is the version of the exchange that this build announces.
const Protocol = 1

const (
	// maxEntries bounds the load entries and the marks of a received message.
	maxEntries = 256
	// maxMarkLifetime bounds the lifetime of a received mark; convictions last 5 minutes.
	maxMarkLifetime = time.Hour
	// maxNameBytes bounds a name in a received message.
	maxNameBytes = 256
	digestDigits = 32
)

// Mark is what is known of a request that was in flight when an engine crashed.
type Mark struct {
	Fingerprint uint64 `json:"f"`
	// Count is the number of crashes in which the request was in flight.
	Count int `json:"c"`
	// Blocked says that the request is refused everywhere.
	Blocked bool `json:"v,omitempty"`
	// RemainingMS is the time until the mark lapses, in milliseconds.
	RemainingMS int64 `json:"r"`
}

// State is what one side of an exchange knows.
type State struct {
	// Protocol is the newest version of the exchange that the sender speaks.
	Protocol int    `json:"p"`
	Name     string `json:"n"`
	// Control is the sender's address for gossip; empty means that it cannot be called back.
	Control string `json:"a,omitempty"`
	// Brief asks for an answer without load entries; absent means that the sender has room for some.
	Brief bool                `json:"b,omitempty"`
	Load  []encoder.LoadEntry `json:"l,omitempty"`
	Marks []Mark              `json:"m,omitempty"`
	// Fleet is what the sender knows of the past of the fleet.
	Fleet encoder.Fleet `json:"f"`
	// Current is the configuration in force at the sender; the zero pair means none.
	Current configurer.ID `json:"c"`
}

// DigestRequest asks for a manifest or part.
type DigestRequest struct {
	Digest configurer.Digest `json:"d"`
}

// Content is a manifest or part.
type Content struct {
	Data []byte `json:"b"`
}

// message is a wire type that checks itself after it is decoded.
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
