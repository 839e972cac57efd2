package loader

import (
	"fmt"
	"strings"
)

// Problem is one error in a settings file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Column counts bytes from 1.
	Column int `json:"column"`
	// Field is the path of the field, such as limits.body_size; it is empty if the problem concerns the whole file.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// Allowed describes the allowed values; it may be empty.
	Allowed string `json:"allowed,omitempty"`
}

// String describes the problem in one line that begins with file:line:column.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d:%d: ", p.File, p.Line, p.Column)
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	b.WriteString(p.Message)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

// Problems holds all errors in a settings file, in the order of their positions. It is the error returned for invalid
// settings.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
