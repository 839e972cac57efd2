package loader_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/loader"
)

const gatewayFile = `{
  "name": "edge-1", "region": "r", "failure_domain": "d",
  "listen": "10.0.0.1:1", "ready_listen": "10.0.0.1:2", "peer_listen": "10.0.0.1:3", "metrics_listen": "10.0.0.1:4",
  "store": "10.0.0.2:1", "peers": ["10.0.0.3:3"],
  "memory": "284MB", "link": 1000.0, "propagation": "2000ms", "grace": "8s", "heartbeat": "1200ms",
  "retries": {"ratio": 0.2, "window": "10s", "extra": 56},
  "cold": {"overshoot": 1.5, "tolerance": 5}
}`

// Guards against a gateway that does not start because the platform filled in a number that is not whole, or that is
// larger or smaller than this product can use.
func TestGatewayValuesOfThePlatform(t *testing.T) {
	for _, c := range []struct {
		old, new string
		check    func(*loader.Gateway) any
		want     any
		adjusted string
	}{
		{`"extra": 56`, `"extra": 36.1764705882353`, func(g *loader.Gateway) any { return g.Retries.Extra }, 36.1764705882353, ""},
		{`"extra": 56`, `"extra": 0`, func(g *loader.Gateway) any { return g.Retries.Extra }, 0.0, ""},
		{`"extra": 56`, `"extra": -3`, func(g *loader.Gateway) any { return g.Retries.Extra }, 0.0, "retries.extra: -3 is out of range, 0 is used"},
		{`"extra": 56`, `"extra": 1e300`, func(g *loader.Gateway) any { return g.Retries.Extra }, 1e6, "retries.extra: 1e300 is out of range, 1e+06 is used"},
		{`"extra": 56`, `"extra": 1e999`, func(g *loader.Gateway) any { return g.Retries.Extra }, 1e6, "retries.extra: 1e999 is out of range, 1e+06 is used"},
		{`"ratio": 0.2`, `"ratio": 1.5`, func(g *loader.Gateway) any { return g.Retries.Ratio }, 1.0, "retries.ratio: 1.5 is out of range, 1 is used"},
		{`284MB`, `183.52MB`, func(g *loader.Gateway) any { return g.Memory }, loader.Size(183520000), ""},
		{`284MB`, `1.6e+02MB`, func(g *loader.Gateway) any { return g.Memory }, loader.Size(160000000), ""},
		{`284MB`, `12MB`, func(g *loader.Gateway) any { return g.Memory }, loader.Size(16e6), "memory: 12MB is out of range, 16MB is used"},
		{`284MB`, `1000000MB`, func(g *loader.Gateway) any { return g.Memory }, loader.Size(64e9), "memory: 1000000MB is out of range, 64GB is used"},
		{`1000.0`, `0.5`, func(g *loader.Gateway) any { return g.Link }, 0.5, ""},
		{`2000ms`, `1333.25ms`, func(g *loader.Gateway) any { return g.Propagation }, 1333250 * time.Microsecond, ""},
		{`2000ms`, `0ms`, func(g *loader.Gateway) any { return g.Propagation }, 100 * time.Millisecond, "propagation: 0ms is out of range, 100ms is used"},
		{`1200ms`, `333.5ms`, func(g *loader.Gateway) any { return g.Heartbeat }, 333500 * time.Microsecond, ""},
		{`1200ms`, `1ms`, func(g *loader.Gateway) any { return g.Heartbeat }, 100 * time.Millisecond, "heartbeat: 1ms is out of range, 100ms is used"},
		{`8s`, `0.5s`, func(g *loader.Gateway) any { return g.Grace }, 500 * time.Millisecond, ""},
		{`8s`, `0s`, func(g *loader.Gateway) any { return g.Grace }, time.Duration(0), ""},
		{`8s`, `-1s`, func(g *loader.Gateway) any { return g.Grace }, time.Duration(0), "grace: -1s is out of range, 0s is used"},
		{`8s`, `16m`, func(g *loader.Gateway) any { return g.Grace }, 15 * time.Minute, "grace: 16m is out of range, 15m0s is used"},
		{`"overshoot": 1.5`, `"overshoot": 1.25`, func(g *loader.Gateway) any { return g.Cold }, loader.Cold{Overshoot: 1.25, Tolerance: 5}, ""},
		{`"overshoot": 1.5`, `"overshoot": -1`, func(g *loader.Gateway) any { return g.Cold.Overshoot }, 0.0, "cold.overshoot: -1 is out of range, 0 is used"},
		{`"overshoot": 1.5`, `"overshoot": 1e9`, func(g *loader.Gateway) any { return g.Cold.Overshoot }, 1000.0, "cold.overshoot: 1e9 is out of range, 1000 is used"},
		{`"tolerance": 5`, `"tolerance": 2.5`, func(g *loader.Gateway) any { return g.Cold.Tolerance }, 2.5, ""},
		{`"tolerance": 5`, `"tolerance": -0.1`, func(g *loader.Gateway) any { return g.Cold.Tolerance }, 0.0, "cold.tolerance: -0.1 is out of range, 0 is used"},
		{`"tolerance": 5`, `"tolerance": 1e999`, func(g *loader.Gateway) any { return g.Cold.Tolerance }, 1e6, "cold.tolerance: 1e999 is out of range, 1e+06 is used"},
		{",\n  \"cold\": {\"overshoot\": 1.5, \"tolerance\": 5}", "", func(g *loader.Gateway) any { return g.Cold }, loader.Cold{Overshoot: 1}, ""},
		{`10s"`, `2.5s"`, func(g *loader.Gateway) any { return g.Retries.Window }, 2500 * time.Millisecond, ""},
	} {
		t.Run(c.new, func(t *testing.T) {
			g, adjustments, err := loader.ParseGateway("g.json", []byte(strings.Replace(gatewayFile, c.old, c.new, 1)))
			require.NoError(t, err)
			require.Equal(t, c.want, c.check(g))
			text := ""
			for _, a := range adjustments {
				text += a.Problem.Field + ": " + a.Problem.Message + ", " + a.Used + " is used"
			}
			require.Equal(t, c.adjusted, text)
		})
	}
}

// Guards against a gateway that starts with a setting of the wrong type or without one that it needs.
func TestGatewayRefusesWrongSettings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"extra": 56`, `"extra": "56"`, "g.json:6:55: retries.extra: is a string"},
		{`"extra": 56`, `"extra": null`, "g.json:6:55: retries.extra: is null"},
		{`"284MB"`, `284`, "g.json:5:13: memory: is a number"},
		{`"284MB"`, `"MB"`, `g.json:5:13: memory: "MB" is not a size`},
		{`"284MB"`, `"NaNMB"`, `g.json:5:13: memory: "NaNMB" is not a size`},
		{`"284MB"`, `"284"`, `g.json:5:13: memory: "284" is not a size`},
		{`"2000ms"`, `"2000 parsecs"`, `g.json:5:53: propagation: "2000 parsecs" is not a duration`},
		{`"name": "edge-1", `, ``, "name: is missing"},
	} {
		t.Run(c.new, func(t *testing.T) {
			_, _, err := loader.ParseGateway("g.json", []byte(strings.Replace(gatewayFile, c.old, c.new, 1)))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzParseGateway(f *testing.F) {
	f.Add(gatewayFile)
	f.Add(strings.Replace(gatewayFile, `56`, `36.1764705882353`, 1))
	f.Add(strings.Replace(gatewayFile, `284MB`, `1e999MB`, 1))
	f.Add(`{"memory": "-1e9MB", "retries": {"ratio": -0.0}}`)
	f.Add(`{`)
	f.Fuzz(func(t *testing.T, text string) {
		g, _, err := loader.ParseGateway("g.json", []byte(text))
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, g.Memory, loader.Size(16e6))
		require.LessOrEqual(t, g.Retries.Extra, 1e6)
		again, adjustments, err := loader.ParseGateway("g.json", []byte(g.Effective()))
		require.NoError(t, err)
		require.Empty(t, adjustments)
		require.Equal(t, g, again)
	})
}
