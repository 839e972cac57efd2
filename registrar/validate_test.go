package registrar_test

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/registrar"
)

// Guards against records of peers of an older version that hold an odd entry, and against a sound one that is refused.
func TestValidate(t *testing.T) {
	sound := func() registrar.Record {
		r := record("i", 1)
		r.Upstream.FailureDomain, r.Upstream.Slots, r.Upstream.Born = "d", 8, 1_700_000_000_000
		return r
	}
	for name, change := range map[string]func(*registrar.Record){
		"sound":              func(*registrar.Record) {},
		"unknown":            func(r *registrar.Record) { r.Upstream.FailureDomain, r.Upstream.Slots, r.Upstream.Born = "", 0, 0 },
		"removal":            func(r *registrar.Record) { *r = removed("i", 1) },
		"removal of odd one": func(r *registrar.Record) { r.Removed, r.Upstream.Slots = true, math.MaxInt },
		"longest address": func(r *registrar.Record) {
			r.Upstream.Address = "[0000:0000:0000:0000:0000:ffff:255.255.255.254]:65535"
		},
	} {
		r := sound()
		change(&r)
		require.NoError(t, r.Validate(), name)
	}
	for name, change := range map[string]func(*registrar.Record){
		"no ID":            func(r *registrar.Record) { r.ID, r.Upstream.ID = "", "" },
		"removal, no ID":   func(r *registrar.Record) { *r = removed("", 1) },
		"other ID":         func(r *registrar.Record) { r.Upstream.ID = "j" },
		"no upstream":      func(r *registrar.Record) { r.Upstream = registrar.Upstream{} },
		"long ID":          func(r *registrar.Record) { r.ID = strings.Repeat("i", 201); r.Upstream.ID = r.ID },
		"ID is no UTF-8":   func(r *registrar.Record) { r.ID = "\xff"; r.Upstream.ID = r.ID },
		"no service":       func(r *registrar.Record) { r.Upstream.Service = "" },
		"service":          func(r *registrar.Record) { r.Upstream.Service = "a\x1bb" },
		"failure domain":   func(r *registrar.Record) { r.Upstream.FailureDomain = "a\u0085b" },
		"no address":       func(r *registrar.Record) { r.Upstream.Address = "" },
		"port 0":           func(r *registrar.Record) { r.Upstream.Address = "10.0.0.1:0" },
		"negative slots":   func(r *registrar.Record) { r.Upstream.Slots = -1 },
		"too many slots":   func(r *registrar.Record) { r.Upstream.Slots = math.MaxInt },
		"least born":       func(r *registrar.Record) { r.Upstream.Born = math.MinInt64 },
		"largest born":     func(r *registrar.Record) { r.Upstream.Born = math.MaxInt64 },
		"broadcast mapped": func(r *registrar.Record) { r.Upstream.Address = "[::ffff:255.255.255.255]:1" },
	} {
		r := sound()
		change(&r)
		require.Error(t, r.Validate(), name)
	}
}
