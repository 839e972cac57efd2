package encoder

import (
	"fmt"
	"time"
)

// maxDigestBytes bounds the text of a digest.
const maxDigestBytes = 64

// FleetHistory is what a process knows of the past of its fleet.
type FleetHistory struct {
	// Sender is the name of the process that tells; empty means that it tells nothing.
	Sender string `json:"n,omitempty"`
	// AgeMS is the time since the first known start of a process of the fleet, in milliseconds.
	AgeMS int64 `json:"a,omitempty"`
	// FirstVersion and FirstDigest name the smallest configuration that was in force in the fleet.
	FirstVersion uint64 `json:"v,omitempty"`
	FirstDigest  string `json:"d,omitempty"`
}

// Age returns the time since the first known start of a process of the fleet.
func (f FleetHistory) Age() time.Duration {
	return time.Duration(f.AgeMS) * time.Millisecond
}

// Check says which field is out of range.
func (f FleetHistory) Check() error {
	if f.AgeMS < 0 || len(f.Sender) > maxNameBytes || len(f.FirstDigest) > maxDigestBytes {
		return fmt.Errorf("history of the fleet is out of range")
	}
	return nil
}
