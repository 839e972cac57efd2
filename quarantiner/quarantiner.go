// Package quarantiner isolates requests that may crash an engine.
package quarantiner

import "time"

// Fingerprint identifies a request by its content.
type Fingerprint uint64

// Quarantine knows the crash suspects of an agent.
type Quarantine struct{}

// New returns an empty quarantine.
func New() *Quarantine { return &Quarantine{} }

// Mark returns the mark of a request.
func (q *Quarantine) Mark(now time.Time, fp Fingerprint) int { return 0 }

// Admit decides whether a request may run.
func (q *Quarantine) Admit(now time.Time, fp Fingerprint, mark int) (int, error) { return mark, nil }

// Leave forgets a request that did not run.
func (q *Quarantine) Leave(fp Fingerprint) {}

// Finish clears a request that completed.
func (q *Quarantine) Finish(now time.Time, fp Fingerprint) {}
