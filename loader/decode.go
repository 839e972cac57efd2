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

// decoder fills settings from a syntax tree and collects the faults.
type decoder struct {
	// settingsType is the type of the settings.
	settingsType reflect.Type
	file         string
	data         []byte
	problems     Problems
	// offsets holds the byte offset of each field that the file sets.
	offsets map[string]int
	// invalid marks the fields with a fault, so that no check builds on their values.
	invalid map[string]bool
}

// addProblem records a fault of a field at its place, or at the place of the nearest enclosing object that the file has.
func (d *decoder) addProblem(path, message, allowed string) {
	d.invalid[path] = true
	d.addProblemAt(d.offsetOf(path), path, message, allowed)
}

func (d *decoder) addProblemAt(offset int, path, message, allowed string) {
	before := d.data[:offset]
	d.problems = append(d.problems, Problem{
		File:    d.file,
		Line:    1 + bytes.Count(before, []byte("\n")),
		Column:  offset - bytes.LastIndexByte(before, '\n'),
		Field:   path,
		Message: message,
		Allowed: allowed,
	})
}

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

// decodeObject decodes an object whose fields are those of the struct out.
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

// decodeValue decodes the value of one field.
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
	if err := parseScalar(lit, tag, out); err != nil {
		d.addProblem(path, err.Error(), allowed(t, tag))
	}
}

// decodeList decodes a list without repeated elements.
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

// checkRequired records the fields of an object that the file must set and does not.
func (d *decoder) checkRequired(path string, t reflect.Type) {
	for f := range fields(t) {
		p := join(path, jsonName(f))
		if _, ok := d.offsets[p]; !ok && f.Tag.Get("required") != "" {
			d.addProblem(p, "is missing", allowed(f.Type, f.Tag))
		}
	}
}

// addUnknownField records a field that no struct field matches.
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

// quoteUnlessName returns a field name as it stands, or quoted when it holds anything but letters, digits and marks.
func quoteUnlessName(name string) string {
	if forms["name"].pattern.MatchString(name) {
		return name
	}
	return quote(name)
}

func closestName(name string, names []string) string {
	best := names[0]
	for _, n := range names[1:] {
		if levenshtein.ComputeDistance(truncate(name), n) < levenshtein.ComputeDistance(truncate(name), best) {
			best = n
		}
	}
	return best
}

// pathsOf returns the paths of all known fields with a name.
func (d *decoder) pathsOf(name string) []string {
	var paths []string
	walkFields("", d.settingsType, func(path string, f reflect.StructField) {
		if jsonName(f) == name {
			paths = append(paths, path)
		}
	})
	return paths
}

// walkFields calls visit for each field of t and of the structs in it.
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

// applyDefaults sets the fields of a struct and of the structs in it to their defaults.
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
			// A wrong tag is a fault of this package, and each use of the package meets it.
			panic(fmt.Sprintf("default of %s: %v", f.Name, err))
		}
	}
}
