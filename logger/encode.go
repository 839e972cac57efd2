package logger

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/hashicorp/go-hclog"
)

// Size limits in bytes, before quoting.
const (
	// maxEventBytes bounds the name of an event and of a logger; the standard logger puts whole sentences there.
	maxEventBytes = 512
	// maxKeyBytes bounds the key of a field.
	maxKeyBytes = 64
	// maxValueBytes bounds a value; a longer one, such as a routing decision with 600 candidates, is truncated.
	maxValueBytes = 2048
	// maxLineBytes bounds a line; a line that exceeds it gets no further fields, only their count.
	maxLineBytes = 16 << 10
)

// redacted replaces a secret in the output.
const redacted = "(redacted)"

// secretKeys are the keys of fields whose values are never written.
var secretKeys = map[string]bool{
	"api_key":             true,
	"authorization":       true,
	"cookie":              true,
	"password":            true,
	"proxy_authorization": true,
	"secret":              true,
	"set_cookie":          true,
	"shared_key":          true,
	"token":               true,
}

// reservedKeys are the keys of the fields that each line begins with; other fields cannot use them.
var reservedKeys = map[string]bool{"time": true, "level": true, "logger": true, "event": true}

// credentials matches the scheme and credentials of an HTTP Authorization header in any text, such as an error that
// quotes the header.
var credentials = regexp.MustCompile(`(?i)\b(bearer|basic)[\s:=%"]+[^\s"]+`)

// encoder formats the fields of a line and redacts secrets.
type encoder struct {
	secrets []string
}

func newEncoder(secrets []string) *encoder {
	e := &encoder{}
	for _, s := range secrets {
		if s == "" {
			continue
		}
		e.secrets = append(e.secrets, s)
		// An error may contain the secret in quoted form, as %q writes it.
		if quoted := strings.Trim(strconv.Quote(s), `"`); quoted != s {
			e.secrets = append(e.secrets, quoted)
		}
	}
	// Longer secrets are replaced first. If a secret is a prefix of another one, replacing the shorter one first would
	// leave the rest of the longer one in the line.
	slices.SortFunc(e.secrets, func(a, b string) int { return len(b) - len(a) })
	return e
}

// appendFields appends args, which alternates keys and values, as fields. Once the line exceeds maxLineBytes, it appends
// the number of remaining fields instead.
func (e *encoder) appendFields(line []byte, args []any) []byte {
	for i := 0; i < len(args); i += 2 {
		if len(line) > maxLineBytes {
			return append(line, " fields_left_out="+strconv.Itoa((len(args)-i+1)/2)...)
		}
		if i+1 == len(args) {
			line = append(line, " field_without_key="...)
			return e.appendValue(line, text(args[i]), maxValueBytes)
		}
		k := e.sanitiseKey(text(args[i]))
		line = append(line, ' ')
		line = append(line, k...)
		line = append(line, '=')
		if isSecretKey(k) {
			line = append(line, redacted...)
			continue
		}
		line = e.appendValue(line, text(args[i+1]), maxValueBytes)
	}
	return line
}

// sanitiseKey returns k without secrets, truncated to maxKeyBytes, and with an underscore for each byte that isKeyByte
// rejects. A key that is empty or reserved gets the prefix "field_".
func (e *encoder) sanitiseKey(k string) string {
	k = e.redact(k)
	k = k[:min(len(k), maxKeyBytes)]
	clean := []byte(k)
	for i, c := range clean {
		if !isKeyByte(c) {
			clean[i] = '_'
		}
	}
	if len(clean) == 0 || reservedKeys[string(clean)] {
		return "field_" + string(clean)
	}
	return string(clean)
}

func isKeyByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' || c == '-' || c == '.'
}

func isSecretKey(key string) bool {
	return secretKeys[strings.ReplaceAll(strings.ToLower(key), "-", "_")]
}

// appendValue appends s without secrets, truncated to maxBytes, and quoted unless it is a single plain word.
func (e *encoder) appendValue(line []byte, s string, maxBytes int) []byte {
	// Secrets are removed before the truncation, which could leave a part of a secret that no longer matches.
	s = e.redact(s)
	if len(s) > maxBytes {
		total := len(s)
		s = strings.ToValidUTF8(s[:maxBytes], "") + "...(" + strconv.Itoa(total) + " bytes)"
	}
	if isPlain(s) {
		return append(line, s...)
	}
	return strconv.AppendQuote(line, s)
}

func (e *encoder) redact(s string) string {
	for _, secret := range e.secrets {
		s = strings.ReplaceAll(s, secret, redacted)
	}
	if !strings.ContainsAny(s, " \t\n\v\f\r:=%\"") {
		// The regular expression credentials cannot match a single word, as most values are. Matching would take most of
		// the time to encode a line.
		return s
	}
	return credentials.ReplaceAllString(s, "$1 "+redacted)
}

// isPlain reports whether s is a non-empty word of visible ASCII without the characters that separate or quote fields.
func isPlain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || c == '"' || c == '=' || c == '\\' || c == '\'' || c == '`' {
			return false
		}
	}
	return s != ""
}

// text formats a key or value as text.
func text(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case hclog.Format:
		if len(v) == 0 {
			return ""
		}
		return fmt.Sprintf(fmt.Sprint(v[0]), v[1:]...)
	case hclog.Quote:
		return string(v)
	default:
		// The package fmt recovers from a panic in a String or Error method.
		return fmt.Sprint(v)
	}
}
