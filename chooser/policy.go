package chooser

import "fmt"

// Policy selects how candidates are ordered.
type Policy int

const (
	// Rendezvous is weighted rendezvous hashing with a load bound, the policy in production. All other policies are
	// baselines for measurements.
	Rendezvous Policy = iota
	// Hashing is weighted rendezvous hashing without a load bound.
	Hashing
	// Random shuffles the candidates for each choice.
	Random
	// RoundRobin starts one position further in the list for each choice.
	RoundRobin
	// LeastLoad orders candidates by running and queued work; an unknown load counts as the mean.
	LeastLoad
)

var policyNames = [...]string{
	Rendezvous: "rendezvous",
	Hashing:    "hashing",
	Random:     "random",
	RoundRobin: "round_robin",
	LeastLoad:  "least_load",
}

// Policies returns all policies; Rendezvous, which production uses, comes first.
func Policies() []Policy {
	return []Policy{Rendezvous, Hashing, Random, RoundRobin, LeastLoad}
}

// String returns the name of the policy in settings and logs.
func (p Policy) String() string {
	if p < 0 || int(p) >= len(policyNames) {
		return fmt.Sprintf("policy(%d)", int(p))
	}
	return policyNames[p]
}

// MarshalText encodes the policy as its name.
func (p Policy) MarshalText() ([]byte, error) {
	return []byte(p.String()), nil
}

// UnmarshalText decodes the name of a policy and returns an error for any other text.
func (p *Policy) UnmarshalText(text []byte) error {
	for i, name := range policyNames {
		if name == string(text) {
			*p = Policy(i)
			return nil
		}
	}
	return fmt.Errorf("unknown policy %q", text)
}
