package loader

import (
	"bytes"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"
)

// decoder fills settings from a syntax tree and collects the problems.
type decoder struct {
	// settingsType is the type of the complete settings. It is searched for the correct path of a misplaced field.
	settingsType reflect.Type
	file         string
	data         []byte
	problems     Problems
	// offsets holds the byte offset of each field that the file sets, by path; the path of the whole file is empty.
	offsets map[string]int
	// invalid holds the paths of fields with a problem, so that no later check relies on their values.
	invalid map[string]bool
	// strict makes values out of range problems; otherwise adjustments holds those that were brought into range.
	strict      bool
	adjustments []Adjustment
}

// addProblem records a problem of a field at its position, or at that of the nearest enclosing object in the file.
func (d *decoder) addProblem(path, message, allowed string) {
	d.invalid[path] = true
	d.addProblemAt(d.offsetOf(path), path, message, allowed)
}

// addProblemAt records a problem at a byte offset of the file and does not mark the field as invalid.
func (d *decoder) addProblemAt(offset int, path, message, allowed string) {
	d.problems = append(d.problems, d.problemAt(offset, path, message, allowed))
}

func (d *decoder) problemAt(offset int, path, message, allowed string) Problem {
	before := d.data[:offset]
	return Problem{
		File:    d.file,
		Line:    1 + bytes.Count(before, []byte("\n")),
		Column:  offset - bytes.LastIndexByte(before, '\n'),
		Field:   path,
		Message: message,
		Allowed: allowed,
	}
}

// offsetOf returns the offset of a field, or of the nearest enclosing object in the file.
func (d *decoder) offsetOf(path string) int {
	for {
		if n, ok := d.offsets[path]; ok {
			return n
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return d.offsets[""]
		}
		path = path[:i]
	}
}

// hasValid reports whether the file sets the field to a valid value.
func (d *decoder) hasValid(path string) bool {
	_, ok := d.offsets[path]
	return ok && !d.invalid[path]
}

// decodeObject decodes an object into the struct out.
func (d *decoder) decodeObject(path string, node hujson.Value, out reflect.Value) {
	obj, ok := node.Value.(*hujson.Object)
	if !ok {
		d.addProblem(path, "is "+kindName(node.Value.Kind()), "an object")
		return
	}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		f, ok := fieldByName(out.Type(), name)
		if !ok {
			d.addUnknownField(path, name, m.Name.StartOffset, out.Type())
			continue
		}
		p := join(path, name)
		if _, duplicate := d.offsets[p]; duplicate {
			d.addProblemAt(m.Name.StartOffset, p, "is set twice", "")
			continue
		}
		d.offsets[p] = m.Value.StartOffset
		d.decodeValue(p, m.Value, f.Tag, out.FieldByIndex(f.Index))
	}
	d.checkRequired(path, out.Type())
}

// decodeValue decodes the value of one field or list element; tag is the tag of the field.
func (d *decoder) decodeValue(path string, node hujson.Value, tag reflect.StructTag, out reflect.Value) {
	t := out.Type()
	switch {
	case t.Kind() == reflect.Pointer:
		out.Set(reflect.New(t.Elem()))
		applyDefaults(out.Elem())
		d.decodeObject(path, node, out.Elem())
		return
	case t.Kind() == reflect.Struct && t != typeAddress:
		d.decodeObject(path, node, out)
		return
	case t.Kind() == reflect.Slice:
		d.decodeList(path, node, tag, out)
		return
	}
	lit, ok := node.Value.(hujson.Literal)
	if !ok {
		d.addProblem(path, "is "+kindName(node.Value.Kind()), allowed(t, tag))
		return
	}
	if tag.Get("adjust") == "" {
		if err := parseScalar(lit, tag, out); err != nil {
			d.addProblem(path, err.Error(), allowed(t, tag))
		}
		return
	}
	adjusted, err := parseAdjustable(lit, tag, out)
	if err != nil {
		d.addProblem(path, err.Error(), allowed(t, tag))
	}
	if !adjusted {
		return
	}
	message := truncate(lit.String()) + " is out of range"
	if d.strict {
		d.addProblem(path, message, allowed(t, tag))
		return
	}
	problem := d.problemAt(d.offsetOf(path), path, message, allowed(t, tag))
	d.adjustments = append(d.adjustments, Adjustment{Problem: problem, Used: fmt.Sprint(out.Interface())})
}

// decodeList decodes a list, whose elements must be distinct.
func (d *decoder) decodeList(path string, node hujson.Value, tag reflect.StructTag, out reflect.Value) {
	arr, ok := node.Value.(*hujson.Array)
	if !ok {
		d.addProblem(path, "is "+kindName(node.Value.Kind()), allowed(out.Type(), tag))
		return
	}
	if len(arr.Elements) == 0 && tag.Get("required") != "" {
		d.addProblem(path, "is empty", "at least one element")
		return
	}
	seen := map[any]int{}
	for i, e := range arr.Elements {
		p := fmt.Sprintf("%s[%d]", path, i)
		d.offsets[p] = e.StartOffset
		v := reflect.New(out.Type().Elem()).Elem()
		d.decodeValue(p, e, tag, v)
		if d.invalid[p] {
			d.invalid[path] = true
			continue
		}
		if first, duplicate := seen[v.Interface()]; duplicate {
			d.addProblem(p, fmt.Sprintf("repeats %s[%d]", path, first), "")
			continue
		}
		seen[v.Interface()] = i
		out.Set(reflect.Append(out, v))
	}
}

// checkRequired records the required fields that an object lacks.
func (d *decoder) checkRequired(path string, t reflect.Type) {
	for f := range fields(t) {
		p := join(path, jsonName(f))
		if _, ok := d.offsets[p]; !ok && f.Tag.Get("required") != "" {
			d.addProblem(p, "is missing", allowed(f.Type, f.Tag))
		}
	}
}

// addUnknownField records a field that the struct t lacks, with a hint at the field that was probably meant.
func (d *decoder) addUnknownField(path, name string, offset int, t reflect.Type) {
	var names []string
	for f := range fields(t) {
		names = append(names, jsonName(f))
	}
	hint := fmt.Sprintf("did you mean %s?", join(path, closestName(name, names)))
	if elsewhere := d.pathsOf(name); len(elsewhere) > 0 {
		hint = fmt.Sprintf("it belongs at %s", strings.Join(elsewhere, " or "))
	}
	sort.Strings(names)
	d.addProblemAt(offset, join(path, quoteUnlessName(name)), "is an unknown field; "+hint, strings.Join(names, ", "))
}

// quoteUnlessName returns a field name unchanged if it has the form of a name, and quoted otherwise.
func quoteUnlessName(name string) string {
	if forms["name"].pattern.MatchString(name) {
		return name
	}
	return quote(name)
}

// closestName returns the name with the smallest edit distance to name; names must not be empty.
func closestName(name string, names []string) string {
	best := names[0]
	for _, n := range names[1:] {
		if levenshtein.ComputeDistance(truncate(name), n) < levenshtein.ComputeDistance(truncate(name), best) {
			best = n
		}
	}
	return best
}

// pathsOf returns the paths of all fields of the settings that have a name.
func (d *decoder) pathsOf(name string) []string {
	var paths []string
	walkFields("", d.settingsType, func(path string, f reflect.StructField) {
		if jsonName(f) == name {
			paths = append(paths, path)
		}
	})
	return paths
}

// walkFields calls visit for each field of t and of its nested structs.
func walkFields(path string, t reflect.Type, visit func(path string, f reflect.StructField)) {
	for f := range fields(t) {
		p := join(path, jsonName(f))
		visit(p, f)
		ft := f.Type
		if ft.Kind() == reflect.Pointer {
			ft = ft.Elem()
		}
		if ft.Kind() == reflect.Struct && ft != typeAddress {
			walkFields(p, ft, visit)
		}
	}
}

// fields iterates over the fields of a struct type.
func fields(t reflect.Type) func(yield func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for f := range fields(t) {
		if jsonName(f) == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func jsonName(f reflect.StructField) string {
	return f.Tag.Get("json")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// applyDefaults sets the fields of a struct and of its nested structs to their defaults; pointers stay nil.
func applyDefaults(out reflect.Value) {
	for f := range fields(out.Type()) {
		v := out.FieldByIndex(f.Index)
		if f.Type.Kind() == reflect.Struct && f.Type != typeAddress {
			applyDefaults(v)
			continue
		}
		text, ok := f.Tag.Lookup("default")
		if !ok {
			continue
		}
		lit := hujson.Literal(text)
		if literalKind(f.Type) == '"' {
			lit = hujson.String(text)
		}
		if err := parseScalar(lit, f.Tag, v); err != nil {
			// An invalid tag is a bug in this package, which every call that decodes settings would hit.
			panic(fmt.Sprintf("default of %s: %v", f.Name, err))
		}
	}
}
