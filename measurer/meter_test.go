package measurer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"clementineramp/measurer"
)

// Guards against a meter that misses an exceeded load limit, or that counts an admission which is allowed because load
// consists of whole requests.
func TestMeter(t *testing.T) {
	type adm = measurer.Admission
	tests := []struct {
		name     string
		returned []string
		list     []adm
		want     int
	}{
		{"idle engines accept any request", nil, []adm{{"a", 100}, {"b", 1}, {"c", 1}}, 0},
		{"an engine at the mean accepts one more request", nil, []adm{{"a", 10}, {"b", 10}, {"c", 10}, {"a", 10}}, 0},
		{"above the mean and the limit", nil, []adm{{"a", 10}, {"b", 10}, {"c", 10}, {"a", 10}, {"a", 1}}, 1},
		{"within the limit", nil, []adm{{"a", 105}, {"b", 100}, {"c", 100}, {"a", 20}}, 0},
		{"idle engines count in the mean", nil, []adm{{"a", 10}, {"b", 10}, {"a", 10}}, 1},
		{"returned engines do not count in the mean yet", []string{"c"}, []adm{{"a", 10}, {"b", 10}, {"a", 10}}, 0},
		{"returned engines count in the mean from their first request", []string{"c"}, []adm{{"c", 1}, {"a", 10}, {"b", 10}, {"a", 10}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violations, checked := measurer.CountViolations(1.25, []string{"a", "b", "c"}, tt.returned, tt.list)
			require.Equal(t, tt.want, violations)
			require.Equal(t, len(tt.list), checked)
		})
	}
}
