package encoder

import (
	"fmt"
	"time"
)

// maxDigestBytes is the maximum length of a digest in text form.
const maxDigestBytes = 64

// FleetHistory is the history of the fleet as known to one process.
type FleetHistory struct {
	// Sender is the name of the process that reports the history; empty means that there is no report.
	Sender string `json:"n,omitempty"`
	// AgeMS is the time since the first known start of a process of the fleet, in milliseconds.
	AgeMS int64 `json:"a,omitempty"`
	// FirstVersion and FirstDigest identify the first configuration of the fleet: of those that have been current, the
	// smallest by version and digest. Version 0 means that none is known.
	FirstVersion uint64 `json:"v,omitempty"`
	FirstDigest  string `json:"d,omitempty"`
}

// Age returns the time since the first known start of a process of the fleet.
func (f FleetHistory) Age() time.Duration {
	return time.Duration(f.AgeMS) * time.Millisecond
}

// Check returns an error if the age is negative or a text is too long.
func (f FleetHistory) Check() error {
	if f.AgeMS < 0 || len(f.Sender) > maxNameBytes || len(f.FirstDigest) > maxDigestBytes {
		return fmt.Errorf("history of the fleet is out of range")
	}
	return nil
}
