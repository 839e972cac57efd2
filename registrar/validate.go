package registrar

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// maxIDBytes bounds an ID, which is a part of a key of the store; the store allows 200 bytes for a key.
	maxIDBytes = 200
	// maxNameBytes bounds the name of a service or a failure domain, which goes into log lines and messages to peers.
	maxNameBytes = 256
	// maxSlots bounds the slots of an upstream, which are summed over a service. An upstream serves one request at a time on
	// a connection and accepts a few hundred connections; 4,096 leaves room for ten times as many.
	maxSlots = 4096
	// maxBorn is the start of the year 2100. The bound does not depend on the clock of this host: with a wrong clock, all
	// upstreams would be refused. Times in microseconds or nanoseconds are above it.
	maxBorn = 4_102_444_800_000
	// maxCold bounds the remaining cold time of an upstream; engines are warm within a minute.
	maxCold = 10 * time.Minute
	// maxAddressBytes is the length of the longest address without a zone: an IPv4 address mapped to IPv6, and a port.
	maxAddressBytes = len("[0000:0000:0000:0000:0000:ffff:255.255.255.255]:65535")
)

// Validate returns an error if the record cannot be used: its ID or a value of its upstream is out of bounds, or the
// upstream has another ID. The upstream of a removal is not examined, as it is not used.
func (r *Record) Validate() error {
	if err := ValidateID(r.ID); err != nil {
		return err
	}
	if r.Removed || r.Evacuation {
		return nil
	}
	if r.Upstream.ID != r.ID {
		return fmt.Errorf("the record of %.40q has an upstream with the ID %.40q", r.ID, r.Upstream.ID)
	}
	return r.Upstream.Validate()
}

// Validate returns an error if a value is out of bounds. An upstream that fails must not be used: its values go into sums,
// addresses, headers and log lines.
func (u *Upstream) Validate() error {
	if err := ValidateID(u.ID); err != nil {
		return err
	}
	if u.Service == "" {
		return errors.New("missing service")
	}
	if err := validateText("service", u.Service, maxNameBytes); err != nil {
		return err
	}
	if err := validateText("failure domain", u.FailureDomain, maxNameBytes); err != nil {
		return err
	}
	if err := validateAddress(u.Address); err != nil {
		return err
	}
	if u.Slots < 0 || u.Slots > maxSlots {
		return fmt.Errorf("number of slots %d is not between 0 and %d", u.Slots, maxSlots)
	}
	if u.Cold < 0 || u.Cold > maxCold {
		return fmt.Errorf("remaining cold time %v is not between 0 and %v", u.Cold, maxCold)
	}
	if u.Born < 0 || u.Born > maxBorn {
		return fmt.Errorf("start time %d is not between 0 and %d", u.Born, int64(maxBorn))
	}
	return nil
}

// ValidateID returns an error if an upstream cannot have the ID: it is empty, too long, or has control characters, which
// would be altered in the header that names the upstream.
func ValidateID(id string) error {
	if id == "" {
		return errors.New("missing ID")
	}
	return validateText("ID", id, maxIDBytes)
}

func validateText(what, s string, maxBytes int) error {
	switch {
	case len(s) > maxBytes:
		return fmt.Errorf("%s of %d bytes, at most %d are allowed", what, len(s), maxBytes)
	case !utf8.ValidString(s):
		return fmt.Errorf("%s %.40q is no UTF-8", what, s)
	case strings.ContainsFunc(s, unicode.IsControl):
		return fmt.Errorf("%s %.40q has a control character", what, s)
	}
	return nil
}

// validateAddress checks that an address is the IP address of one host, which may be this one, and a port. A zone names an
// interface of another host, and its text is arbitrary.
func validateAddress(s string) error {
	if len(s) > maxAddressBytes {
		return fmt.Errorf("address of %d bytes, at most %d are allowed", len(s), maxAddressBytes)
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Errorf("address %q is no IP address and port", s)
	}
	ip := a.Addr().Unmap()
	switch {
	case a.Port() == 0:
		return fmt.Errorf("address %q has port 0", s)
	case ip.Zone() != "":
		return fmt.Errorf("address %q has a zone", s)
	case ip.IsUnspecified(), ip.IsMulticast(), ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}):
		return fmt.Errorf("address %q is not that of one host", s)
	}
	return nil
}
