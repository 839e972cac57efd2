package compiler

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // Makes the same time zones available on every machine.
	"unicode"
)

const (
	dateLayout     = "2006-01-02"
	dateTimeLayout = "2006-01-02 15:04"
)

// row is a data row; cells is keyed by column name.
type row struct {
	c       *compilation
	at      location
	cells   map[string]string
	invalid bool
}

type location struct {
	file string
	line int
}

func (r *row) fail(field, format string, args ...any) {
	r.invalid = true
	r.c.fail(r.at, field, format, args...)
}

// nonEmpty returns the text of a cell, and reports an error if it is empty.
func (r *row) nonEmpty(field string) string {
	s := r.cells[field]
	if s == "" {
		r.fail(field, "missing")
	}
	return s
}

// word returns a non-empty cell. White space in it is an error, since lists separate their words by spaces.
func (r *row) word(field string) string {
	s := r.nonEmpty(field)
	if strings.ContainsFunc(s, unicode.IsSpace) {
		r.fail(field, "%q contains white space", s)
	}
	return s
}

func (r *row) words(field string) []string {
	var out []string
	seen := map[string]bool{}
	for _, w := range strings.Fields(r.cells[field]) {
		if seen[w] {
			r.fail(field, "%q is listed twice", w)
			continue
		}
		seen[w] = true
		out = append(out, w)
	}
	return out
}

// decimal returns a number from 0 to high. A number that a float64 cannot represent with all its digits is an error.
func (r *row) decimal(field string, high float64) float64 {
	s := r.nonEmpty(field)
	if s == "" {
		return 0
	}
	v, err := parseDecimal(s)
	if err != nil {
		r.fail(field, "%v", err)
		return 0
	}
	if strings.HasPrefix(s, "-") || v > high {
		r.fail(field, "%s, want %s", s, describeRange(high))
	}
	return v
}

func describeRange(high float64) string {
	if high == math.MaxFloat64 {
		return "0 or more"
	}
	return fmt.Sprintf("0 to %v", high)
}

// positive returns a decimal greater than 0.
func (r *row) positive(field string) float64 {
	s := r.cells[field]
	v := r.decimal(field, math.MaxFloat64)
	if v == 0 && s != "" && strings.Trim(s, "0.") == "" {
		r.fail(field, "%s, want more than 0", s)
	}
	return v
}

func parseDecimal(s string) (float64, error) {
	digits := strings.TrimPrefix(s, "-")
	whole, fraction, hasPoint := strings.Cut(digits, ".")
	if !allDigits(whole) || hasPoint && !allDigits(fraction) {
		return 0, fmt.Errorf("%q is not a number, want digits with an optional decimal point, as in 1250.75", s)
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is out of range", s)
	}
	shortest := strconv.FormatFloat(v, 'f', -1, 64)
	if strings.TrimPrefix(shortest, "-") != canonicalDecimal(whole, fraction) {
		return 0, fmt.Errorf("%q has more digits than a 64-bit floating-point number preserves; the nearest such number is %s", s, shortest)
	}
	return v, nil
}

func allDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

func canonicalDecimal(whole, fraction string) string {
	whole = strings.TrimLeft(whole, "0")
	if whole == "" {
		whole = "0"
	}
	fraction = strings.TrimRight(fraction, "0")
	if fraction == "" {
		return whole
	}
	return whole + "." + fraction
}

// millis returns a positive duration in milliseconds; a fraction of a millisecond is an error.
func (r *row) millis(field string) int64 {
	s := r.nonEmpty(field)
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		r.fail(field, "%q is not a duration, want a number with a unit, as in 440ms, 2s or 10m", s)
		return 0
	}
	if d <= 0 || d%time.Millisecond != 0 {
		r.fail(field, "%s, want whole milliseconds above 0", s)
	}
	return d.Milliseconds()
}

// keyHash returns a SHA-256 hash in lower case. The error does not quote an invalid value, since this may be the API
// key itself.
func (r *row) keyHash(field string) string {
	s := strings.ToLower(r.nonEmpty(field))
	raw, err := hex.DecodeString(s)
	if s != "" && (err != nil || len(raw) != sha256.Size) {
		r.fail(field, "want the SHA-256 of the API key in %d hexadecimal digits", 2*sha256.Size)
	}
	return s
}

// timestamp returns a time; a date without a time of day means the start of the day, or its end if endOfDay.
func (r *row) timestamp(field string, endOfDay bool) time.Time {
	s := r.nonEmpty(field)
	if s == "" {
		return time.Time{}
	}
	t, err := parseTimestamp(s, endOfDay)
	if err != nil {
		r.fail(field, "%v", err)
	}
	return t
}

func parseTimestamp(s string, endOfDay bool) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339, s); err == nil {
		return checkYear(t)
	}
	i := strings.LastIndexByte(s, ' ')
	if i < 0 {
		return time.Time{}, fmt.Errorf("%q has no time zone, want for example 2027-01-31 Europe/Stockholm or 2027-01-31T18:00:00+01:00", s)
	}
	text, zone := strings.TrimSpace(s[:i]), s[i+1:]
	// "Local" would depend on the machine that compiles the sheet.
	loc, err := time.LoadLocation(zone)
	if err != nil || zone == "" || zone == "Local" {
		return time.Time{}, fmt.Errorf("time zone %q is unknown, want a name such as Europe/Stockholm, Asia/Taipei or UTC", zone)
	}
	if t, err := time.ParseInLocation(dateTimeLayout, text, loc); err == nil {
		return checkYear(t)
	}
	t, err := time.ParseInLocation(dateLayout, text, loc)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is not a time, want %s or %s before the time zone", text, dateLayout, dateTimeLayout)
	}
	if endOfDay {
		t = t.AddDate(0, 0, 1)
	}
	return checkYear(t)
}

// checkYear converts a time to UTC and rejects years that JSON cannot represent.
func checkYear(t time.Time) (time.Time, error) {
	t = t.UTC()
	if t.Year() < 1970 || t.Year() > 9999 {
		return time.Time{}, fmt.Errorf("year %d, want 1970 to 9999", t.Year())
	}
	return t, nil
}
