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
	// root is the type of the settings.
	root     reflect.Type
	file     string
	data     []byte
	problems Problems
	// at holds the byte offset of each field that the file sets.
	at map[string]int
	// bad marks the fields with a fault, so that no check builds on their values.
	bad map[string]bool
}

// fault records a fault of a field at its place, or at the place of the nearest enclosing object that the file has.
func (d *decoder) fault(path, message, allowed string) {
	d.bad[path] = true
	d.faultAt(d.offset(path), path, message, allowed)
}

func (d *decoder) faultAt(offset int, path, message, allowed string) {
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

func (d *decoder) offset(path string) int {
	for {
		if n, ok := d.at[path]; ok {
			return n
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return d.at[""]
		}
		path = path[:i]
	}
}

// set reports whether the file sets the field to a valid value.
func (d *decoder) set(path string) bool {
	_, ok := d.at[path]
	return ok && !d.bad[path]
}

// object decodes an object whose fields are those of the struct out.
func (d *decoder) object(path string, node hujson.Value, out reflect.Value) {
	obj, ok := node.Value.(*hujson.Object)
	if !ok {
		d.fault(path, "is "+kindName(node.Value.Kind()), "an object")
		return
	}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		f, ok := fieldNamed(out.Type(), name)
		if !ok {
			d.unknown(path, name, m.Name.StartOffset, out.Type())
			continue
		}
		p := join(path, name)
		if _, twice := d.at[p]; twice {
			d.faultAt(m.Name.StartOffset, p, "is set twice", "")
			continue
		}
		d.at[p] = m.Value.StartOffset
		d.value(p, m.Value, f.Tag, out.FieldByIndex(f.Index))
	}
	d.required(path, out.Type())
}

// value decodes the value of one field.
func (d *decoder) value(path string, node hujson.Value, tag reflect.StructTag, out reflect.Value) {
	t := out.Type()
	switch {
	case t.Kind() == reflect.Pointer:
		out.Set(reflect.New(t.Elem()))
		applyDefaults(out.Elem())
		d.object(path, node, out.Elem())
		return
	case t.Kind() == reflect.Struct && t != typeAddress:
		d.object(path, node, out)
		return
	case t.Kind() == reflect.Slice:
		d.list(path, node, tag, out)
		return
	}
	lit, ok := node.Value.(hujson.Literal)
	if !ok {
		d.fault(path, "is "+kindName(node.Value.Kind()), allowed(t, tag))
		return
	}
	if err := parseScalar(lit, tag, out); err != nil {
		d.fault(path, err.Error(), allowed(t, tag))
	}
}

// list decodes a list without repeated elements.
func (d *decoder) list(path string, node hujson.Value, tag reflect.StructTag, out reflect.Value) {
	arr, ok := node.Value.(*hujson.Array)
	if !ok {
		d.fault(path, "is "+kindName(node.Value.Kind()), allowed(out.Type(), tag))
		return
	}
	if len(arr.Elements) == 0 && tag.Get("required") != "" {
		d.fault(path, "is empty", "at least one element")
		return
	}
	seen := map[any]int{}
	for i, e := range arr.Elements {
		p := fmt.Sprintf("%s[%d]", path, i)
		d.at[p] = e.StartOffset
		v := reflect.New(out.Type().Elem()).Elem()
		d.value(p, e, tag, v)
		if d.bad[p] {
			d.bad[path] = true
			continue
		}
		if first, twice := seen[v.Interface()]; twice {
			d.fault(p, fmt.Sprintf("repeats %s[%d]", path, first), "")
			continue
		}
		seen[v.Interface()] = i
		out.Set(reflect.Append(out, v))
	}
}

// required records the fields of an object that the file must set and does not.
func (d *decoder) required(path string, t reflect.Type) {
	for f := range fields(t) {
		p := join(path, nameOf(f))
		if _, ok := d.at[p]; !ok && f.Tag.Get("required") != "" {
			d.fault(p, "is missing", allowed(f.Type, f.Tag))
		}
	}
}

// unknown records a field that no struct field matches.
func (d *decoder) unknown(path, name string, offset int, t reflect.Type) {
	var names []string
	for f := range fields(t) {
		names = append(names, nameOf(f))
	}
	hint := fmt.Sprintf("did you mean %s?", join(path, nearest(name, names)))
	if elsewhere := d.pathsOf(name); len(elsewhere) > 0 {
		hint = fmt.Sprintf("it belongs at %s", strings.Join(elsewhere, " or "))
	}
	sort.Strings(names)
	d.faultAt(offset, join(path, printable(name)), "is an unknown field; "+hint, strings.Join(names, ", "))
}

// printable returns a field name as it stands, or quoted when it holds anything but letters, digits and marks.
func printable(name string) string {
	if forms["name"].pattern.MatchString(name) {
		return name
	}
	return quote(name)
}

func nearest(name string, names []string) string {
	best := names[0]
	for _, n := range names[1:] {
		if levenshtein.ComputeDistance(clip(name), n) < levenshtein.ComputeDistance(clip(name), best) {
			best = n
		}
	}
	return best
}

// pathsOf returns the paths of all known fields with a name.
func (d *decoder) pathsOf(name string) []string {
	var paths []string
	walk("", d.root, func(path string, f reflect.StructField) {
		if nameOf(f) == name {
			paths = append(paths, path)
		}
	})
	return paths
}

// walk calls visit for each field of t and of the structs in it.
func walk(path string, t reflect.Type, visit func(path string, f reflect.StructField)) {
	for f := range fields(t) {
		p := join(path, nameOf(f))
		visit(p, f)
		ft := f.Type
		if ft.Kind() == reflect.Pointer {
			ft = ft.Elem()
		}
		if ft.Kind() == reflect.Struct && ft != typeAddress {
			walk(p, ft, visit)
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

func fieldNamed(t reflect.Type, name string) (reflect.StructField, bool) {
	for f := range fields(t) {
		if nameOf(f) == name {
			return f, true
		}
	}
	return reflect.StructField{}, false
}

func nameOf(f reflect.StructField) string {
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
