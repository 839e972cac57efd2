package loader

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Column counts bytes from 1.
	Column int `json:"column"`
	// Field is the path of the field, such as limits.body_size; it is empty when the fault concerns the whole file.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed,omitempty"`
}

// String describes the fault in one line that begins with its place.
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

// Problems are all faults of a settings file in the order of their places.
type Problems []Problem

// Error lists the faults, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
