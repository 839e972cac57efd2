package loader

import (
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Size is a number of bytes, written with a unit: B, KB, MB and GB are powers of 1000, KiB, MiB and GiB powers of 1024.
type Size int64

type sizeUnit struct {
	name  string
	bytes int64
}

// sizeUnits is ordered so that no unit precedes one that it is a suffix of: B comes last.
var sizeUnits = []sizeUnit{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
	{"KB", 1e3},
	{"MB", 1e6},
	{"GB", 1e9},
	{"B", 1},
}

// ParseSize decodes a non-negative integer with a unit, such as 8KB. The unit is required and case-sensitive.
func ParseSize(s string) (Size, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(s, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || int64(n) > math.MaxInt64/u.bytes {
			return 0, fmt.Errorf("%q is not a size", s)
		}
		return Size(int64(n) * u.bytes), nil
	}
	return 0, fmt.Errorf("%q has no unit", s)
}

// String returns the size in the largest unit in which it is an integer.
func (s Size) String() string {
	best := sizeUnit{"B", 1}
	for _, u := range sizeUnits {
		if s != 0 && int64(s)%u.bytes == 0 && u.bytes > best.bytes {
			best = u
		}
	}
	return strconv.FormatInt(int64(s)/best.bytes, 10) + best.name
}

// redacted replaces a secret in output.
const redacted = "(set)"

// minSecretBytes is the minimum length of the shared key; shorter keys can be guessed from recorded traffic.
const minSecretBytes = 16

// Secret is a string that formatting verbs and text encoders print only as "(set)".
type Secret string

// Reveal returns the secret in plain text; the result must not be logged.
func (s Secret) Reveal() string {
	return string(s)
}

// String returns "(set)", or an empty string if there is no secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return redacted
}

// GoString returns the quoted result of String, so that %#v does not print the secret.
func (s Secret) GoString() string {
	return strconv.Quote(s.String())
}

// MarshalText returns the result of String, so that encoders such as encoding/json do not write the secret.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

var (
	typeDuration = reflect.TypeFor[time.Duration]()
	typeSize     = reflect.TypeFor[Size]()
	typeAddress  = reflect.TypeFor[netip.AddrPort]()
	typeSecret   = reflect.TypeFor[Secret]()
)

// forms holds the patterns that string fields name in their form tag, with the description for error messages.
var forms = map[string]struct {
	pattern *regexp.Regexp
	allowed string
}{
	"name":     {regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`), "1 to 63 letters, digits, '.', '_' or '-', first a letter or digit"},
	"variable": {regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]{0,127}$`), "the name of an environment variable"},
}

// allowed describes the values that a field of type t with a tag accepts.
func allowed(t reflect.Type, tag reflect.StructTag) string {
	bounds := fmt.Sprintf("from %s to %s", tag.Get("min"), tag.Get("max"))
	switch {
	case tag.Get("oneof") != "":
		return "one of " + strings.Join(strings.Split(tag.Get("oneof"), ","), ", ")
	case tag.Get("form") != "":
		return forms[tag.Get("form")].allowed
	case t == typeDuration:
		return "a duration with a unit " + bounds + `, such as "` + tag.Get("default") + `"`
	case t == typeSize:
		return "a size with a unit " + bounds + `, such as "` + tag.Get("default") + `"`
	case t == typeAddress:
		return `an IP address and a port from 1 to 65535, such as "10.0.0.1:8080"`
	case t == typeSecret:
		return fmt.Sprintf("a string of at least %d bytes", minSecretBytes)
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int:
		return "a whole number " + bounds
	case reflect.Float64:
		return "a number " + bounds
	case reflect.Slice:
		return "a list of addresses, each " + allowed(t.Elem(), tag)
	case reflect.Struct, reflect.Pointer:
		return "an object"
	default:
		return "a string"
	}
}

// parseScalar decodes a literal into out, which is neither a list nor a struct other than an address. The text of the
// error is the message of a Problem.
func parseScalar(lit hujson.Literal, tag reflect.StructTag, out reflect.Value) error {
	t := out.Type()
	if want := literalKind(t); lit.Kind() != want && (want != 't' || lit.Kind() != 'f') {
		return fmt.Errorf("is %s", kindName(lit.Kind()))
	}
	switch t {
	case typeDuration:
		d, err := time.ParseDuration(lit.String())
		if err != nil {
			return fmt.Errorf("%s is not a duration", quote(lit.String()))
		}
		out.SetInt(int64(d))
		return checkRange(d, tag, time.ParseDuration)
	case typeSize:
		n, err := ParseSize(lit.String())
		if err != nil {
			return fmt.Errorf("%s is not a size", quote(lit.String()))
		}
		out.SetInt(int64(n))
		return checkRange(n, tag, ParseSize)
	case typeAddress:
		a, err := parseAddress(lit.String())
		out.Set(reflect.ValueOf(a))
		return err
	}
	switch t.Kind() {
	case reflect.Bool:
		out.SetBool(lit.Bool())
		return nil
	case reflect.Int:
		n, err := strconv.Atoi(string(lit))
		if err != nil {
			return fmt.Errorf("%s is not a whole number", truncate(string(lit)))
		}
		out.SetInt(int64(n))
		return checkRange(n, tag, strconv.Atoi)
	case reflect.Float64:
		x, err := parseFloat(string(lit))
		if err != nil {
			return fmt.Errorf("%s is out of range", truncate(string(lit)))
		}
		out.SetFloat(x)
		return checkRange(x, tag, parseFloat)
	default:
		out.SetString(lit.String())
		return checkString(lit.String(), tag, t)
	}
}

// literalKind returns the kind of the JSON literal that a value of type t is written as; 't' stands for both booleans.
func literalKind(t reflect.Type) hujson.Kind {
	switch {
	case t == typeDuration || t == typeSize || t == typeAddress:
		return '"'
	case t.Kind() == reflect.Bool:
		return 't'
	case t.Kind() == reflect.Int || t.Kind() == reflect.Float64:
		return '0'
	default:
		return '"'
	}
}

func kindName(k hujson.Kind) string {
	switch k {
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case '{':
		return "an object"
	default:
		return "a list"
	}
}

func parseFloat(s string) (float64, error) {
	return strconv.ParseFloat(s, 64)
}

// checkRange checks a value against the tags min and max, which parse decodes.
func checkRange[T int | float64 | Size | time.Duration](v T, tag reflect.StructTag, parse func(string) (T, error)) error {
	minimum, err := parse(tag.Get("min"))
	if err != nil {
		return fmt.Errorf("invalid struct tag min: %w", err)
	}
	maximum, err := parse(tag.Get("max"))
	if err != nil {
		return fmt.Errorf("invalid struct tag max: %w", err)
	}
	if v < minimum || v > maximum {
		return fmt.Errorf("%v is out of range", v)
	}
	return nil
}

// checkString checks a string against the tags oneof and form, and the minimum length of a secret.
func checkString(s string, tag reflect.StructTag, t reflect.Type) error {
	if t == typeSecret {
		if len(s) < minSecretBytes {
			return fmt.Errorf("has %d bytes", len(s))
		}
		return nil
	}
	if values := tag.Get("oneof"); values != "" {
		for v := range strings.SplitSeq(values, ",") {
			if v == s {
				return nil
			}
		}
		return fmt.Errorf("%s is unknown", quote(s))
	}
	form := tag.Get("form")
	if form == "" || forms[form].pattern.MatchString(s) {
		return nil
	}
	if tag.Get("hide") != "" {
		// The message leaves out the value, because an operator may have entered the secret itself.
		return fmt.Errorf("is malformed")
	}
	return fmt.Errorf("%s is malformed", quote(s))
}

// parseAddress decodes an IP address and port that identify a single process: wildcard and multicast addresses and
// port 0 are errors.
func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return a, fmt.Errorf("%s is not an IP address and a port", quote(s))
	}
	a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	switch {
	case a.Port() == 0:
		return a, fmt.Errorf("%s has port 0", quote(s))
	case a.Addr().IsUnspecified():
		return a, fmt.Errorf("%s names no single host", quote(s))
	case a.Addr().IsMulticast():
		return a, fmt.Errorf("%s is a multicast address", quote(s))
	}
	return a, nil
}

// maxQuotedBytes is the maximum number of bytes of a value that a message quotes.
const maxQuotedBytes = 64

func quote(s string) string {
	return strconv.Quote(truncate(s))
}

// truncate shortens s to maxQuotedBytes and marks the cut with three dots.
func truncate(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}
