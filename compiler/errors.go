package compiler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Error is a single error in a sheet.
type Error struct {
	File string
	// Line counts from 1; 0 means that the error concerns the whole file or sheet.
	Line    int
	Field   string
	Message string
}

// Error returns the file, line, field and message in one line.
func (e Error) Error() string {
	s := e.File
	if e.Line > 0 {
		s += fmt.Sprintf(":%d", e.Line)
	}
	if s != "" {
		s += ": "
	}
	if e.Field != "" {
		s += "field " + e.Field + ": "
	}
	return s + e.Message
}

// Errors lists all errors of a sheet, sorted by file and line.
type Errors []Error

// Error returns one line per error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, one := range e {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

func (e Errors) sort(files []Source) {
	position := func(name string) int {
		return slices.IndexFunc(files, func(s Source) bool { return s.Name == name })
	}
	slices.SortStableFunc(e, func(a, b Error) int {
		return cmp.Or(cmp.Compare(position(a.File), position(b.File)), cmp.Compare(a.Line, b.Line))
	})
}

const (
	// maxListed is the number of known words that an error lists.
	maxListed = 12
	// maxSuggestDistance is the maximum edit distance of a suggested word; a higher limit suggests unrelated words.
	maxSuggestDistance = 2
)

// unknown returns the message for a word that is not among the known ones. It suggests a similar one.
func unknown(what, word string, known []string) string {
	s := fmt.Sprintf("%s %q is unknown", what, word)
	if near := nearest(word, known); near != "" {
		s += fmt.Sprintf("; did you mean %q?", near)
	}
	switch {
	case len(known) == 0:
		return s + " (the sheet has none)"
	case len(known) > maxListed:
		return s + fmt.Sprintf(" (known: %s and %d more)", strings.Join(known[:maxListed], ", "), len(known)-maxListed)
	default:
		return s + fmt.Sprintf(" (known: %s)", strings.Join(known, ", "))
	}
}

func nearest(word string, known []string) string {
	best, bestDistance := "", maxSuggestDistance+1
	for _, k := range known {
		d := levenshtein.ComputeDistance(strings.ToLower(word), strings.ToLower(k))
		if d < bestDistance && d < len(k) {
			best, bestDistance = k, d
		}
	}
	return best
}
