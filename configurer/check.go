package configurer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// shareTolerance allows for the floating-point rounding of sums such as 0.7 + 0.2 + 0.1.
const shareTolerance = 1e-9

// FieldError reports an invalid field of a row.
type FieldError struct {
	Field string
	Err   error
}

// Error returns the field's name and the cause in one line.
func (e *FieldError) Error() string {
	return "field " + e.Field + ": " + e.Err.Error()
}

// Unwrap returns the cause without the field's name.
func (e *FieldError) Unwrap() error {
	return e.Err
}

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

func fieldOf(err error) string {
	var e *FieldError
	if errors.As(err, &e) {
		return e.Field
	}
	return ""
}

func causeOf(err error) error {
	var e *FieldError
	if errors.As(err, &e) {
		return e.Err
	}
	return err
}

func jsonField(err error) string {
	var e *json.UnmarshalTypeError
	if errors.As(err, &e) {
		return e.Field
	}
	return ""
}

func checkName(field, value string) error {
	if value == "" {
		return fieldErrorf(field, "missing")
	}
	if strings.ContainsAny(value, "\n\r\x00") {
		return fieldErrorf(field, "%q contains a control character", value)
	}
	return nil
}

func checkRange(field string, value, low, high float64) error {
	if math.IsNaN(value) || value < low || value > high {
		return fieldErrorf(field, "%v, want %v to %v", value, low, high)
	}
	return nil
}

func checkPositive(field string, value float64) error {
	if math.IsNaN(value) || math.IsInf(value, 0) || value <= 0 {
		return fieldErrorf(field, "%v, want more than 0", value)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Check returns a *FieldError for the first field of the rank that is missing or out of range.
func (r Rank) Check() error {
	return firstError(
		checkName("name", r.Name),
		checkPositive("target_ms", float64(r.TargetMS)),
		checkPositive("worth", r.Worth),
		checkRange("share", r.Share, 0, 1),
	)
}

// Check returns a *FieldError for the first field of the pool that is missing or out of range.
func (p Pool) Check() error {
	return firstError(
		checkName("name", p.Name),
		checkName("model", p.Model),
		checkName("version", p.Version),
		checkRange("floor", p.Floor, 0, 1),
	)
}

// Check returns a *FieldError for the first field of the service that is missing, out of range or listed twice.
func (s Service) Check() error {
	if err := firstError(checkName("name", s.Name), checkPositive("horizon_ms", float64(s.HorizonMS))); err != nil {
		return err
	}
	if len(s.Workers) == 0 {
		return fieldErrorf("workers", "missing")
	}
	seen := make(map[string]bool, len(s.Workers))
	for _, w := range s.Workers {
		if err := checkName("workers", w); err != nil {
			return err
		}
		if seen[w] {
			return fieldErrorf("workers", "%q is listed twice", w)
		}
		seen[w] = true
	}
	return nil
}

// Check returns a *FieldError for the first field of the organisation that is missing, malformed or out of range.
func (o Organisation) Check() error {
	if err := firstError(checkName("name", o.Name), checkName("rank", o.Rank)); err != nil {
		return err
	}
	// Snapshot.Authenticate compares the hash in lower case.
	if raw, err := hex.DecodeString(o.KeyHash); err != nil || len(raw) != sha256.Size || strings.ToLower(o.KeyHash) != o.KeyHash {
		return fieldErrorf("key_hash", "want a SHA-256 in %d hexadecimal digits in lower case", 2*sha256.Size)
	}
	for _, r := range o.Ranks {
		if err := checkName("ranks", r); err != nil {
			return err
		}
	}
	if math.IsInf(o.Weight, 0) || math.IsNaN(o.Weight) || o.Weight < 0 {
		return fieldErrorf("weight", "%v, want 0 or more", o.Weight)
	}
	return nil
}

// Check returns a *FieldError for the first field of the account that is missing or out of range.
func (a Account) Check() error {
	if err := firstError(
		checkName("name", a.Name),
		checkRange("amount", a.Amount, 0, math.MaxFloat64),
		checkPositive("credits_per_token", a.CreditsPerToken),
	); err != nil {
		return err
	}
	if a.AsOf.IsZero() {
		return fieldErrorf("as_of", "missing")
	}
	if !a.Lapses.After(a.AsOf) {
		return fieldErrorf("lapses", "%v is not after as_of", a.Lapses)
	}
	return nil
}

// namedPart is a decoded part with its name in the manifest.
type namedPart struct {
	name string
	*decodedPart
}

func (n namedPart) errorf(line int, field, format string, args ...any) error {
	return &PartError{Part: n.name, Line: line, Field: field, Err: fmt.Errorf(format, args...)}
}

// checkAcrossParts checks the rules that span several parts, except the uniqueness of organisations, which
// addOrganisations checks.
func checkAcrossParts(parts []namedPart) error {
	ranks, err := checkRanks(parts)
	if err != nil {
		return err
	}
	accounts := map[string]bool{}
	for _, p := range parts {
		for i, a := range p.Accounts {
			if accounts[a.Name] {
				return p.errorf(p.lines.accounts[i], "name", "account %q is listed twice", a.Name)
			}
			accounts[a.Name] = true
		}
	}
	if err := checkUpstreams(parts, accounts); err != nil {
		return err
	}
	for _, p := range parts {
		for rank, ref := range p.rankRefs {
			if !ranks[rank] {
				return p.errorf(ref.line, ref.field, "rank %q is unknown", rank)
			}
		}
	}
	return nil
}

func checkRanks(parts []namedPart) (map[string]bool, error) {
	ranks := map[string]bool{}
	var sum float64
	for _, p := range parts {
		for i, r := range p.Ranks {
			if ranks[r.Name] {
				return nil, p.errorf(p.lines.ranks[i], "name", "rank %q is listed twice", r.Name)
			}
			ranks[r.Name] = true
			sum += r.Share
			if sum > 1+shareTolerance {
				return nil, p.errorf(p.lines.ranks[i], "share", "the shares up to this rank sum to %.6g, want at most 1", sum)
			}
		}
	}
	if len(ranks) == 0 {
		return nil, &PartError{Part: sectionRanks, Err: fmt.Errorf("no part lists a rank")}
	}
	return ranks, nil
}

// checkUpstreams checks pools and services. They share one namespace, since hosts refer to their upstream by this name.
func checkUpstreams(parts []namedPart, accounts map[string]bool) error {
	names, models := map[string]bool{}, map[string]bool{}
	for _, p := range parts {
		for i, pool := range p.Pools {
			line := p.lines.pools[i]
			switch {
			case names[pool.Name]:
				return p.errorf(line, "name", "pool or service %q is listed twice", pool.Name)
			case models[pool.Model]:
				return p.errorf(line, "model", "model %q is served by two pools", pool.Model)
			case pool.Account != "" && !accounts[pool.Account]:
				return p.errorf(line, "account", "account %q is unknown", pool.Account)
			}
			names[pool.Name], models[pool.Model] = true, true
		}
		for i, s := range p.Services {
			if names[s.Name] {
				return p.errorf(p.lines.services[i], "name", "pool or service %q is listed twice", s.Name)
			}
			names[s.Name] = true
		}
	}
	return nil
}
