package compiler

import (
	"bytes"
	"cmp"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"clementineramp/configurer"
)

// organisationsPerShard keeps each part at a few KB. 14,000 organisations give 128 shards; above 20,480 organisations,
// there are 256.
const organisationsPerShard = 160

// Source is one CSV file of a sheet; errors quote its name.
type Source struct {
	Name string
	Data []byte
}

// Part is an encoded part with its digest, ready for publication.
type Part struct {
	Name   string
	Digest configurer.Digest
	Data   []byte
}

// Sheet is a compiled sheet; Digest is that of the manifest.
type Sheet struct {
	Version  uint64
	Manifest []byte
	Digest   configurer.Digest
	Parts    []Part
	// Rows holds all rows. Ranks are ordered from the most to the least urgent, other rows by name.
	Rows configurer.Part
}

// Compile checks the files of a sheet and returns its manifest and parts. The error is of type Errors and lists
// everything that is wrong.
func Compile(files ...Source) (*Sheet, error) {
	c := newCompilation()
	for _, f := range files {
		c.readFile(f)
	}
	c.checkReferences()
	if len(c.errs) > 0 {
		c.errs.sort(files)
		return nil, c.errs
	}
	return c.buildSheet()
}

// Shards returns the number of parts into which a number of organisations is divided. It is a power of two.
func Shards(organisations int) int {
	if organisations <= organisationsPerShard {
		return 1
	}
	return 1 << bits.Len(uint((organisations-1)/organisationsPerShard))
}

type compilation struct {
	errs     Errors
	version  uint64
	versions int
	rows     configurer.Part
	// names holds the location of each name by kind. It includes the names of invalid rows, so that one error does not
	// cause others.
	names map[string]map[string]location
	// namesInOrder holds the names of each kind in the order of the sheet.
	namesInOrder map[string][]string
	refs         []reference
	// keys maps a key hash to the location of its first use, and models does the same for the models of pools.
	keys   map[string]location
	models map[string]location
}

// reference is a cell that names a row of another kind.
type reference struct {
	at                location
	field, kind, name string
}

func newCompilation() *compilation {
	return &compilation{
		names: map[string]map[string]location{}, namesInOrder: map[string][]string{},
		keys: map[string]location{}, models: map[string]location{},
	}
}

func (c *compilation) fail(at location, field, format string, args ...any) {
	c.errs = append(c.errs, Error{File: at.file, Line: at.line, Field: field, Message: fmt.Sprintf(format, args...)})
}

// readFile reads the records of a file. A byte order mark at its start is ignored.
func (c *compilation) readFile(f Source) {
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(f.Data, []byte("\xef\xbb\xbf"))))
	r.FieldsPerRecord = -1
	r.Comment = '#'
	headers := map[string][]string{}
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			c.failCSV(f.Name, err)
			continue
		}
		line, _ := r.FieldPos(0)
		for i := range record {
			record[i] = strings.TrimSpace(record[i])
		}
		if strings.Join(record, "") == "" {
			continue
		}
		c.readRecord(location{f.Name, line}, record, headers)
	}
}

func (c *compilation) failCSV(file string, err error) {
	var e *csv.ParseError
	if errors.As(err, &e) {
		c.fail(location{file, e.Line}, "", "column %d: %v", e.Column, e.Err)
		return
	}
	c.fail(location{file, 0}, "", "%v", err)
}

// readRecord reads a record, which is the header of a kind or a data row. headers holds the columns by kind.
func (c *compilation) readRecord(at location, record []string, headers map[string][]string) {
	k, ok := kindOf(record[0])
	if !ok {
		c.fail(at, "", "%s", unknown("kind of row", record[0], kindNames()))
		return
	}
	header, ok := headers[k.name]
	if !ok {
		headers[k.name] = c.parseHeader(at, k, record[1:])
		return
	}
	cells := record[1:]
	// Concatenated files repeat their headers.
	if header == nil || slices.Equal(header, cells) {
		return
	}
	r := &row{c: c, at: at, cells: map[string]string{}}
	for i, cell := range cells {
		switch {
		case i < len(header):
			r.cells[header[i]] = cell
		case cell != "":
			r.fail("", "%d cells, but the header of %s has %d columns", len(cells), k.name, len(header))
			return
		}
	}
	k.add(c, r)
}

// parseHeader checks the columns of a kind. It returns nil after an error; the rows of the kind are then not read.
func (c *compilation) parseHeader(at location, k kind, columns []string) []string {
	before := len(c.errs)
	// Spreadsheets pad each row to the width of the widest one.
	for len(columns) > 0 && columns[len(columns)-1] == "" {
		columns = columns[:len(columns)-1]
	}
	known := append(slices.Clone(k.required), k.optional...)
	for i, col := range columns {
		switch {
		case !slices.Contains(known, col):
			c.fail(at, "", "header of %s: %s", k.name, unknown("column", col, known))
		case slices.Contains(columns[:i], col):
			c.fail(at, "", "header of %s: column %q is listed twice", k.name, col)
		}
	}
	for _, col := range k.required {
		if !slices.Contains(columns, col) {
			c.fail(at, "", "header of %s: column %q is missing; the first row of a kind names its columns: %s", k.name, col, strings.Join(known, ","))
		}
	}
	if len(c.errs) > before {
		return nil
	}
	return slices.Clone(columns)
}

// registerName records the name of a row and reports an error if an earlier row of the kind has the same name.
func (c *compilation) registerName(r *row, kind, name string) {
	if name == "" {
		return
	}
	if c.names[kind] == nil {
		c.names[kind] = map[string]location{}
	}
	if first, ok := c.names[kind][name]; ok {
		r.fail("name", "%s %q is already listed in %s:%d", kind, name, first.file, first.line)
		return
	}
	c.names[kind][name] = r.at
	c.namesInOrder[kind] = append(c.namesInOrder[kind], name)
}

func (c *compilation) addReferences(r *row, field, kind string, names ...string) {
	for _, n := range names {
		if n != "" {
			c.refs = append(c.refs, reference{r.at, field, kind, n})
		}
	}
}

func (c *compilation) checkReferences() {
	for _, ref := range c.refs {
		if _, ok := c.names[ref.kind][ref.name]; !ok {
			c.fail(ref.at, ref.field, "%s", unknown(ref.kind, ref.name, c.namesInOrder[ref.kind]))
		}
	}
	for name, at := range c.names[kindService] {
		if _, ok := c.names[kindPool][name]; ok {
			c.fail(at, "name", "%q is also the name of a pool", name)
		}
	}
	if c.versions == 0 && len(c.errs) == 0 {
		c.fail(location{}, "", "the sheet has no version row")
	}
	if len(c.namesInOrder[kindRank]) == 0 && len(c.errs) == 0 {
		c.fail(location{}, "", "the sheet has no rank row")
	}
}

// buildSheet sorts and encodes the checked rows.
func (c *compilation) buildSheet() (*Sheet, error) {
	slices.SortFunc(c.rows.Pools, func(a, b configurer.Pool) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.rows.Services, func(a, b configurer.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.rows.Accounts, func(a, b configurer.Account) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.rows.Organisations, func(a, b configurer.Organisation) int { return cmp.Compare(a.Name, b.Name) })
	s := &Sheet{Version: c.version, Rows: c.rows}
	s.addPart("ranks", configurer.Part{Ranks: c.rows.Ranks})
	s.addPart("pools", configurer.Part{Pools: c.rows.Pools})
	s.addPart("services", configurer.Part{Services: c.rows.Services})
	s.addPart("accounts", configurer.Part{Accounts: c.rows.Accounts})
	for i, shard := range shard(c.rows.Organisations) {
		s.addPart(fmt.Sprintf("organisations-%03d", i), configurer.Part{Organisations: shard})
	}
	m := configurer.Manifest{Version: s.Version}
	for _, p := range s.Parts {
		m.Parts = append(m.Parts, configurer.PartRef{Name: p.Name, Digest: p.Digest})
	}
	data, err := json.Marshal(m)
	if err != nil {
		return nil, Errors{{Message: err.Error()}}
	}
	s.Manifest, s.Digest = data, configurer.DigestOf(data)
	// Every process applies this check before it adopts a configuration, so a sheet that fails it must not be published.
	if _, err := configurer.Load(s.Manifest, s.Part); err != nil {
		return nil, Errors{{Message: err.Error()}}
	}
	return s, nil
}

func shard(organisations []configurer.Organisation) [][]configurer.Organisation {
	shards := make([][]configurer.Organisation, Shards(len(organisations)))
	for _, o := range organisations {
		i := xxhash.Sum64String(o.Name) % uint64(len(shards))
		shards[i] = append(shards[i], o)
	}
	return shards
}

func (s *Sheet) addPart(name string, p configurer.Part) {
	data := configurer.EncodePart(p)
	if bytes.Equal(data, configurer.EncodePart(configurer.Part{})) {
		return
	}
	s.Parts = append(s.Parts, Part{Name: name, Digest: configurer.DigestOf(data), Data: data})
}

// Part returns the content of the part with a digest, or false if the sheet has none.
func (s *Sheet) Part(d configurer.Digest) ([]byte, bool) {
	for _, p := range s.Parts {
		if p.Digest == d {
			return p.Data, true
		}
	}
	return nil, false
}
