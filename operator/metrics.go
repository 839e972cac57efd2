package operator

import (
	"math"
)

// nonFiniteToNull replaces NaN and infinite values by nil in place and returns the map. JSON cannot represent these
// values, so a single gauge without a value would make the encoding of all metrics fail.
func nonFiniteToNull(all map[string]map[string]any) map[string]map[string]any {
	for _, values := range all {
		for name, v := range values {
			if x, ok := v.(float64); ok && (math.IsNaN(x) || math.IsInf(x, 0)) {
				values[name] = nil
			}
		}
	}
	return all
}
