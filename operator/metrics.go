package operator

import (
	"math"
)

// nonFiniteToNull replaces each value that JSON cannot express by null, so that one gauge without a value does not hide all others.
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
