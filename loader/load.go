package loader

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"github.com/tailscale/hujson"
)

// maxFileBytes is the maximum size of a settings file; 1,000 peers take about 25 KB.
const maxFileBytes = 256 << 10

// Env looks up an environment variable, as os.LookupEnv does.
type Env func(name string) (value string, ok bool)

// Load reads the settings of a daemon from a file and looks up the shared key in the environment if the file says so.
// Invalid settings give an error of type Problems.
func Load(file string) (*Settings, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, data, os.LookupEnv)
}

// Check reads settings from a file as Load does, but looks up no environment variable: the shared key is empty if the
// file names a variable for it.
func Check(file string) (*Settings, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return parse(file, data, nil)
}

// Parse decodes settings; error messages name the file as file. A nil env is an empty environment. Invalid settings give
// an error of type Problems.
func Parse(file string, data []byte, env Env) (*Settings, error) {
	if env == nil {
		env = func(string) (string, bool) { return "", false }
	}
	return parse(file, data, env)
}

// readFile reads at most one byte more than maxFileBytes, so that decode can detect a file that is too large.
func readFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return data, nil
}

// parse decodes settings as Parse does, but with a nil env it looks up no variable and reports no problem for it.
func parse(file string, data []byte, env Env) (*Settings, error) {
	s := &Settings{}
	if err := decode(file, data, s, true, func(d *decoder) { d.checkSettings(s, env) }); err != nil {
		return nil, err
	}
	return s, nil
}

// decode fills settings of any type from their text; check records the problems that concern more than one field. If
// strict is true, values that could be adjusted are problems.
func decode[T any](file string, data []byte, s *T, strict bool, check func(d *decoder)) error {
	if len(data) > maxFileBytes {
		return Problems{{
			File: file, Line: 1, Column: 1, Message: "the file is too large",
			Allowed: fmt.Sprintf("at most %d bytes", maxFileBytes),
		}}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return Problems{syntaxProblem(file, err)}
	}
	out := reflect.ValueOf(s).Elem()
	applyDefaults(out)
	d := &decoder{
		settingsType: reflect.TypeFor[T](), file: file, data: data, strict: strict,
		offsets: map[string]int{"": root.StartOffset}, invalid: map[string]bool{},
	}
	d.decodeObject("", root, out)
	if !d.invalid[""] {
		check(d)
	}
	if len(d.problems) > 0 {
		slices.SortStableFunc(d.problems, func(a, b Problem) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return d.problems
	}
	return nil
}

// syntaxProblem converts an error of the parser, whose text begins with the position.
func syntaxProblem(file string, err error) Problem {
	p := Problem{File: file, Line: 1, Column: 1}
	if _, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &p.Line, &p.Column); scanErr != nil {
		p.Line, p.Column = 1, 1
	}
	if cause := errors.Unwrap(err); cause != nil {
		err = cause
	}
	// The parser quotes an invalid literal, which may be the shared key, so the message is cut before it.
	message, _, _ := strings.Cut(err.Error(), "invalid literal:")
	if message != err.Error() {
		message += "invalid literal"
	}
	p.Message = message
	p.Allowed = "JSON, with comments and trailing commas"
	return p
}
