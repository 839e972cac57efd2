package measurer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/measurer"
)

// Guards against a meter that overlooks a broken bound, or counts what the rounding to whole requests allows.
func TestMeter(t *testing.T) {
	type adm = measurer.Admission
	tests := []struct {
		name     string
		returned []string
		list     []adm
		want     int
	}{
		{"idle engines take any request", nil, []adm{{"a", 100}, {"b", 1}, {"c", 1}}, 0},
		{"at the mean one more whole request", nil, []adm{{"a", 10}, {"b", 10}, {"c", 10}, {"a", 10}}, 0},
		{"above the mean and the bound", nil, []adm{{"a", 10}, {"b", 10}, {"c", 10}, {"a", 10}, {"a", 1}}, 1},
		{"within the bound", nil, []adm{{"a", 105}, {"b", 100}, {"c", 100}, {"a", 20}}, 0},
		{"unused engines count", nil, []adm{{"a", 10}, {"b", 10}, {"a", 10}}, 1},
		{"returned engines do not count yet", []string{"c"}, []adm{{"a", 10}, {"b", 10}, {"a", 10}}, 0},
		{"returned engines count from their first request", []string{"c"}, []adm{{"c", 1}, {"a", 10}, {"b", 10}, {"a", 10}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violations, checked := measurer.CountViolations(1.25, []string{"a", "b", "c"}, tt.returned, tt.list)
			require.Equal(t, tt.want, violations)
			require.Equal(t, len(tt.list), checked)
		})
	}
}
