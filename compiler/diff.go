package compiler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"clementineramp/configurer"
)

// hashDigits is the number of leading digits of a key hash that Diff shows.
const hashDigits = 8

// cell is a cell of a row in the form that the sheet uses.
type cell struct {
	column, text string
}

// Diff describes the changes from sheet a to sheet b, one line per row, and the number and size of the parts to
// transfer. It warns if b differs but has no higher version.
func Diff(a, b *Sheet) string {
	var out strings.Builder
	if a.Version != b.Version {
		fmt.Fprintf(&out, "version %d -> %d\n", a.Version, b.Version)
	}
	diffRows(&out, kindRank, a.Rows.Ranks, b.Rows.Ranks, rankCells)
	diffRankOrder(&out, a.Rows.Ranks, b.Rows.Ranks)
	diffRows(&out, kindAccount, a.Rows.Accounts, b.Rows.Accounts, accountCells)
	diffRows(&out, kindPool, a.Rows.Pools, b.Rows.Pools, poolCells)
	diffRows(&out, kindService, a.Rows.Services, b.Rows.Services, serviceCells)
	diffRows(&out, kindOrganisation, a.Rows.Organisations, b.Rows.Organisations, organisationCells)
	count, size := 0, 0
	for _, p := range b.Parts {
		if _, ok := a.Part(p.Digest); !ok {
			count++
			size += len(p.Data)
		}
	}
	fmt.Fprintf(&out, "moves %d of %d parts with %d bytes, and a manifest of %d bytes\n", count, len(b.Parts), size, len(b.Manifest))
	if b.Version <= a.Version && a.Digest != b.Digest {
		fmt.Fprintf(&out, "warning: version %d is not above %d; processes keep the higher version\n", b.Version, a.Version)
	}
	return out.String()
}

func diffRows[T any](out *strings.Builder, kind string, a, b []T, cells func(T) (string, []cell)) {
	before := map[string][]cell{}
	for _, r := range a {
		name, c := cells(r)
		before[name] = c
	}
	after := map[string]bool{}
	for _, r := range b {
		name, c := cells(r)
		after[name] = true
		old, ok := before[name]
		if !ok {
			fmt.Fprintf(out, "+ %s %s: %s\n", kind, name, joinCells(c))
			continue
		}
		if changes := diffCells(old, c); changes != "" {
			fmt.Fprintf(out, "~ %s %s: %s\n", kind, name, changes)
		}
	}
	for _, r := range a {
		if name, _ := cells(r); !after[name] {
			fmt.Fprintf(out, "- %s %s\n", kind, name)
		}
	}
}

func joinCells(cells []cell) string {
	var parts []string
	for _, c := range cells {
		if c.text != "" {
			parts = append(parts, c.column+" "+c.display())
		}
	}
	return strings.Join(parts, ", ")
}

func diffCells(a, b []cell) string {
	var parts []string
	for i := range a {
		if a[i].text != b[i].text {
			parts = append(parts, fmt.Sprintf("%s %s -> %s", a[i].column, a[i].display(), b[i].display()))
		}
	}
	return strings.Join(parts, ", ")
}

// display returns the text of a cell for the output of Diff, with key hashes shortened.
func (c cell) display() string {
	switch {
	case c.text == "":
		return "(none)"
	case c.column == "key_hash":
		return c.text[:min(hashDigits, len(c.text))]
	}
	return c.text
}

// diffRankOrder reports a changed order of urgency among the ranks that both sheets list.
func diffRankOrder(out *strings.Builder, a, b []configurer.Rank) {
	common := func(x, y []configurer.Rank) []string {
		var names []string
		for _, r := range x {
			if slices.ContainsFunc(y, func(s configurer.Rank) bool { return s.Name == r.Name }) {
				names = append(names, r.Name)
			}
		}
		return names
	}
	before, after := common(a, b), common(b, a)
	if !slices.Equal(before, after) {
		fmt.Fprintf(out, "~ order of ranks: %s -> %s\n", strings.Join(before, " "), strings.Join(after, " "))
	}
}

func number(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

func rankCells(r configurer.Rank) (string, []cell) {
	return r.Name, []cell{{"target", r.Target().String()}, {"worth", number(r.Worth)}, {"share", number(r.Share)}}
}

func poolCells(p configurer.Pool) (string, []cell) {
	return p.Name, []cell{{"model", p.Model}, {"version", p.Version}, {"floor", number(p.Floor)}, {"account", p.Account}}
}

func serviceCells(s configurer.Service) (string, []cell) {
	horizon := time.Duration(s.HorizonMS) * time.Millisecond
	return s.Name, []cell{{"workers", strings.Join(s.Workers, " ")}, {"horizon", horizon.String()}}
}

func organisationCells(o configurer.Organisation) (string, []cell) {
	weight := o.Weight
	if weight == 0 {
		weight = 1
	}
	return o.Name, []cell{
		{"key_hash", o.KeyHash},
		{"rank", o.Rank},
		{"ranks", strings.Join(o.Ranks, " ")},
		{"weight", number(weight)},
	}
}

func accountCells(a configurer.Account) (string, []cell) {
	return a.Name, []cell{
		{"amount", number(a.Amount)},
		{"as_of", a.AsOf.Format(time.RFC3339)},
		{"lapses", a.Lapses.Format(time.RFC3339)},
		{"credits_per_token", number(a.CreditsPerToken)},
	}
}
