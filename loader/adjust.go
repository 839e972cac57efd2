package loader

import (
	"fmt"
	"math"
	"reflect"
	"regexp"
	"strconv"
	"time"

	"github.com/tailscale/hujson"
)

// Adjustment is a setting that the platform filled in and that was brought to the nearest usable value.
type Adjustment struct {
	// Problem says where the setting is and why it is not usable, and Used is the value in effect.
	Problem Problem
	Used    string
}

// numberWithUnit splits a value into its number, which may have a fraction or an exponent, and its unit.
var numberWithUnit = regexp.MustCompile(`^([+-]?[0-9]+(?:\.[0-9]*)?(?:[eE][+-]?[0-9]+)?)([A-Za-z]*)$`)

// parseAdjustable decodes a number, a duration or a size, like parseScalar. A fraction of the smallest unit is cut off,
// and a value that is out of range is replaced by the nearest one in range; adjusted then is true.
func parseAdjustable(lit hujson.Literal, tag reflect.StructTag, out reflect.Value) (adjusted bool, err error) {
	t := out.Type()
	if want := literalKind(t); lit.Kind() != want {
		return false, fmt.Errorf("is %s", kindName(lit.Kind()))
	}
	var v, lowest, highest float64
	switch t {
	case typeDuration:
		v, err = parseQuantity(lit.String(), "a duration", parseDurationUnit)
		lowest, highest = bounds(tag, time.ParseDuration)
	case typeSize:
		v, err = parseQuantity(lit.String(), "a size", parseSizeUnit)
		lowest, highest = bounds(tag, ParseSize)
	default:
		v, err = strconv.ParseFloat(string(lit), 64)
		if math.IsInf(v, 0) {
			err = nil // An overflow is out of range like any other large number.
		}
		lowest, highest = bounds(tag, parseFloat)
	}
	if err != nil {
		return false, err
	}
	used := min(max(v, lowest), highest)
	if t.Kind() == reflect.Float64 {
		out.SetFloat(used)
	} else {
		out.SetInt(int64(used))
	}
	return used != v, nil
}

// parseQuantity returns a number with a unit as a multiple of the smallest unit; kind names the value in the error.
func parseQuantity(s, kind string, unit func(string) (float64, bool)) (float64, error) {
	m := numberWithUnit.FindStringSubmatch(s)
	if m == nil {
		return 0, fmt.Errorf("%s is not %s", quote(s), kind)
	}
	scale, ok := unit(m[2])
	if !ok {
		return 0, fmt.Errorf("%s is not %s", quote(s), kind)
	}
	n, err := strconv.ParseFloat(m[1], 64)
	if err != nil && !math.IsInf(n, 0) {
		return 0, fmt.Errorf("%s is not %s", quote(s), kind)
	}
	return n * scale, nil
}

func parseDurationUnit(unit string) (float64, bool) {
	d, err := time.ParseDuration("1" + unit)
	return float64(d), err == nil
}

func parseSizeUnit(unit string) (float64, bool) {
	n, err := ParseSize("1" + unit)
	return float64(n), err == nil
}

// bounds returns the range in the tags min and max. An invalid tag is a bug in this package.
func bounds[T float64 | Size | time.Duration](tag reflect.StructTag, parse func(string) (T, error)) (lowest, highest float64) {
	low, err := parse(tag.Get("min"))
	if err != nil {
		panic(fmt.Sprintf("struct tag min: %v", err))
	}
	high, err := parse(tag.Get("max"))
	if err != nil {
		panic(fmt.Sprintf("struct tag max: %v", err))
	}
	return float64(low), float64(high)
}
