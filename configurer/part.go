package configurer

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
)

// maxPartBytes bounds an encoded part; the platform stores no larger value.
const maxPartBytes = 1 << 20

// Names of the sections of a part.
const (
	sectionRanks         = "ranks"
	sectionPools         = "pools"
	sectionServices      = "services"
	sectionOrganisations = "organisations"
	sectionAccounts      = "accounts"
)

// PartError reports an invalid part with the line and field at fault.
type PartError struct {
	Part string
	// Line counts from 1; 0 means that the error concerns the whole part.
	Line  int
	Field string
	Err   error
}

// Error returns the part, the line, the field and the cause in one line.
func (e *PartError) Error() string {
	s := fmt.Sprintf("part %q", e.Part)
	if e.Line > 0 {
		s += fmt.Sprintf(", line %d", e.Line)
	}
	if e.Field != "" {
		s += fmt.Sprintf(", field %s", e.Field)
	}
	return s + ": " + e.Err.Error()
}

// Unwrap returns the cause without its location.
func (e *PartError) Unwrap() error {
	return e.Err
}

// decodedPart is a decoded part with the data needed to check it against other parts. It is not modified once built.
type decodedPart struct {
	Part
	data   []byte
	digest Digest
	lines  partLines
	// keys holds the decoded key hash of each organisation.
	keys []keyHash
	// rankRefs holds the first reference to each rank that an organisation names.
	rankRefs map[string]rankRef
}

type partLines struct {
	ranks, pools, services, organisations, accounts []int
}

type rankRef struct {
	line  int
	field string
}

// EncodePart encodes a part as JSON with one row per line and omits empty sections.
func EncodePart(p Part) []byte {
	var b bytes.Buffer
	b.WriteString("{")
	first := true
	writeSection(&b, &first, sectionRanks, p.Ranks)
	writeSection(&b, &first, sectionPools, p.Pools)
	writeSection(&b, &first, sectionServices, p.Services)
	writeSection(&b, &first, sectionOrganisations, p.Organisations)
	writeSection(&b, &first, sectionAccounts, p.Accounts)
	b.WriteString("}\n")
	return b.Bytes()
}

func writeSection[T any](b *bytes.Buffer, first *bool, name string, rows []T) {
	if len(rows) == 0 {
		return
	}
	if !*first {
		b.WriteString(",")
	}
	*first = false
	fmt.Fprintf(b, "%q:[\n", name)
	for i, row := range rows {
		// Rows contain only strings, times and finite numbers, so encoding cannot fail.
		line, _ := json.Marshal(row)
		b.Write(line)
		if i < len(rows)-1 {
			b.WriteString(",")
		}
		b.WriteString("\n")
	}
	b.WriteString("]")
}

// DecodePart decodes a part and checks each row separately; the error is a *PartError.
func DecodePart(name string, data []byte) (Part, error) {
	c, err := decodePart(name, data)
	if err != nil {
		return Part{}, err
	}
	return c.Part, nil
}

func decodePart(name string, data []byte) (*decodedPart, error) {
	if len(data) > maxPartBytes {
		return nil, &PartError{Part: name, Err: fmt.Errorf("%d bytes, want at most %d", len(data), maxPartBytes)}
	}
	d := &partDecoder{name: name, data: data, json: json.NewDecoder(bytes.NewReader(data)), line: 1}
	c := &decodedPart{data: data, rankRefs: map[string]rankRef{}}
	if err := d.decode(c); err != nil {
		return nil, err
	}
	for i, o := range c.Organisations {
		raw, err := hex.DecodeString(o.KeyHash)
		if err != nil || len(raw) != sha256.Size {
			return nil, d.errorAt(c.lines.organisations[i], "key_hash", fmt.Errorf("want %d hexadecimal digits", 2*sha256.Size))
		}
		c.keys = append(c.keys, keyHash(raw))
		c.addRankRefs(o, c.lines.organisations[i])
	}
	return c, nil
}

func (c *decodedPart) addRankRefs(o Organisation, line int) {
	if _, ok := c.rankRefs[o.Rank]; !ok {
		c.rankRefs[o.Rank] = rankRef{line, "rank"}
	}
	for _, r := range o.Ranks {
		if _, ok := c.rankRefs[r]; !ok {
			c.rankRefs[r] = rankRef{line, "ranks"}
		}
	}
}

// partDecoder reads a part token by token, because json.Unmarshal does not report the line of a row.
type partDecoder struct {
	name string
	data []byte
	json *json.Decoder
	// line is the line number at offset.
	line   int
	offset int
}

func (d *partDecoder) errorAt(line int, field string, err error) error {
	return &PartError{Part: d.name, Line: line, Field: field, Err: err}
}

// lineOfNextValue skips white space and separators and returns the line of the next value.
func (d *partDecoder) lineOfNextValue() int {
	end := int(d.json.InputOffset())
	for end < len(d.data) && bytes.IndexByte([]byte(" \t\r\n,:"), d.data[end]) >= 0 {
		end++
	}
	d.line += bytes.Count(d.data[d.offset:end], []byte{'\n'})
	d.offset = end
	return d.line
}

func (d *partDecoder) expectDelim(want json.Delim) error {
	line := d.lineOfNextValue()
	t, err := d.json.Token()
	if err != nil {
		return d.errorAt(line, "", err)
	}
	if t != want {
		return d.errorAt(line, "", fmt.Errorf("found %v, want %v", t, want))
	}
	return nil
}

func (d *partDecoder) decode(c *decodedPart) error {
	if err := d.expectDelim('{'); err != nil {
		return err
	}
	for d.json.More() {
		line := d.lineOfNextValue()
		t, err := d.json.Token()
		if err != nil {
			return d.errorAt(line, "", err)
		}
		if err := d.decodeSection(c, t); err != nil {
			return err
		}
	}
	if err := d.expectDelim('}'); err != nil {
		return err
	}
	if _, err := d.json.Token(); err != io.EOF {
		return d.errorAt(d.lineOfNextValue(), "", fmt.Errorf("text follows the end of the part"))
	}
	return nil
}

func (d *partDecoder) decodeSection(c *decodedPart, name json.Token) error {
	switch name {
	case sectionRanks:
		return decodeRows(d, &c.Ranks, &c.lines.ranks, Rank.Check)
	case sectionPools:
		return decodeRows(d, &c.Pools, &c.lines.pools, Pool.Check)
	case sectionServices:
		return decodeRows(d, &c.Services, &c.lines.services, Service.Check)
	case sectionOrganisations:
		return decodeRows(d, &c.Organisations, &c.lines.organisations, Organisation.Check)
	case sectionAccounts:
		return decodeRows(d, &c.Accounts, &c.lines.accounts, Account.Check)
	}
	// Sections that a later version introduced are skipped.
	line := d.lineOfNextValue()
	var skipped json.RawMessage
	if err := d.json.Decode(&skipped); err != nil {
		return d.errorAt(line, "", err)
	}
	return nil
}

func decodeRows[T any](d *partDecoder, rows *[]T, lines *[]int, check func(T) error) error {
	if err := d.expectDelim('['); err != nil {
		return err
	}
	for d.json.More() {
		line := d.lineOfNextValue()
		var row T
		if err := d.json.Decode(&row); err != nil {
			return d.errorAt(line, jsonField(err), err)
		}
		if err := check(row); err != nil {
			return d.errorAt(line, fieldOf(err), causeOf(err))
		}
		*rows = append(*rows, row)
		*lines = append(*lines, line)
	}
	return d.expectDelim(']')
}
