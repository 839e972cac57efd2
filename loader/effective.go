package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"time"

	"github.com/tailscale/hujson"
)

// Effective returns the settings, defaults included, as indented JSON. A shared key appears only as "(set)", or not at
// all if it comes from the environment.
func (s *Settings) Effective() string {
	public := *s
	if public.SharedKeyEnv != "" {
		public.SharedKey = ""
	}
	return effective(public)
}

// Effective returns the settings, defaults included, as indented JSON.
func (s *Gateway) Effective() string {
	return effective(*s)
}

// effective returns a struct of settings as indented JSON.
func effective(settings any) string {
	v := hujson.Value{Value: effectiveObject(reflect.ValueOf(settings))}
	var b bytes.Buffer
	if err := json.Indent(&b, v.Pack(), "", "  "); err != nil {
		// Unreachable: every value in the tree has a JSON form.
		panic(fmt.Sprintf("effective settings: %v", err))
	}
	return b.String()
}

// effectiveObject returns the fields of a struct in their order, without optional fields that are not set.
func effectiveObject(v reflect.Value) *hujson.Object {
	obj := &hujson.Object{}
	for f := range fields(v.Type()) {
		value := effectiveValue(v.FieldByIndex(f.Index))
		if value == nil {
			continue
		}
		obj.Members = append(obj.Members, hujson.ObjectMember{
			Name:  hujson.Value{Value: hujson.String(jsonName(f))},
			Value: hujson.Value{Value: value},
		})
	}
	return obj
}

// effectiveValue returns the syntax tree of a value, or nil for an optional field that is not set.
func effectiveValue(v reflect.Value) hujson.ValueTrimmed {
	switch x := v.Interface().(type) {
	case Secret:
		if x == "" {
			return nil
		}
		return hujson.String(x.String())
	case Size:
		return hujson.String(x.String())
	case time.Duration:
		return hujson.String(x.String())
	case netip.AddrPort:
		return hujson.String(x.String())
	case []netip.AddrPort:
		arr := &hujson.Array{}
		for _, a := range x {
			arr.Elements = append(arr.Elements, hujson.Value{Value: hujson.String(a.String())})
		}
		return arr
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return nil
		}
		return effectiveObject(v.Elem())
	case reflect.Struct:
		return effectiveObject(v)
	case reflect.Bool:
		return hujson.Bool(v.Bool())
	case reflect.Int:
		return hujson.Int(v.Int())
	case reflect.Float64:
		return hujson.Float(v.Float())
	default:
		if v.String() == "" {
			return nil
		}
		return hujson.String(v.String())
	}
}
