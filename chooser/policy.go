package chooser

import "fmt"

// Policy selects how candidates are ordered.
type Policy int

const (
	// Rendezvous is weighted rendezvous hashing with a load bound; all other policies are baselines for measurements.
	Rendezvous Policy = iota
	// Hashing is weighted rendezvous hashing without a load bound.
	Hashing
	// Random orders candidates at random for each choice.
	Random
	// RoundRobin starts one place further in the list for each choice.
	RoundRobin
	// LeastLoad orders candidates by their known work.
	LeastLoad
)

var policyNames = [...]string{
	Rendezvous: "rendezvous",
	Hashing:    "hashing",
	Random:     "random",
	RoundRobin: "round_robin",
	LeastLoad:  "least_load",
}

// Policies returns all policies, the one in service first.
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

// UnmarshalText decodes the name of a policy and refuses any other text.
func (p *Policy) UnmarshalText(text []byte) error {
	for i, name := range policyNames {
		if name == string(text) {
			*p = Policy(i)
			return nil
		}
	}
	return fmt.Errorf("unknown policy %q", text)
}
