package loader_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/loader"
)

const testKey = "a key for the tests only"

func testEnv(name string) (string, bool) {
	return testKey, name == "CLEMENTINE_SHARED_KEY"
}

func readTestdata(t testing.TB, name string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	require.NoError(t, err)
	return string(data)
}

// Guards against a field that is not decoded, and against a wrong default.
func TestParseRouter(t *testing.T) {
	s, err := loader.Parse("router.json", []byte(readTestdata(t, "router.json")), testEnv)
	require.NoError(t, err)
	require.Equal(t, &loader.Settings{
		Role: loader.RoleRouter, Name: "router-1", Region: "svealand", FailureDomain: "malaren",
		Listen:         netip.MustParseAddrPort("10.1.0.1:8080"),
		ControlListen:  netip.MustParseAddrPort("10.1.0.1:8081"),
		OperatorListen: netip.MustParseAddrPort("10.1.0.1:8082"),
		Platform:       []netip.AddrPort{netip.MustParseAddrPort("10.1.0.9:7000")},
		Peers:          []netip.AddrPort{netip.MustParseAddrPort("10.1.0.2:8081"), netip.MustParseAddrPort("10.1.0.3:8081")},
		SharedKey:      testKey, SharedKeyEnv: "CLEMENTINE_SHARED_KEY", LogLevel: "info",
		Limits: loader.Limits{
			HeaderTime: 10 * time.Second, HeaderSize: 32e3, BodyTime: 30 * time.Second, BodySize: 1e6,
			StreamTime: 5 * time.Minute, StreamSize: 16e6, StreamIdleTime: 30 * time.Second, IdleTime: 2 * time.Minute,
		},
		Routing: loader.Routing{
			Bound: 1.25, Attempts: 3, Ramp: 30 * time.Second, FirstByteTimeout: 3 * time.Second, RetryRatio: 0.1,
		},
		Budget: loader.Budget{ControlPerSecond: 8e3},
		Drain:  loader.Drain{Grace: 2 * time.Second, Limit: 15 * time.Minute},
	}, s)
}

func TestParseAgent(t *testing.T) {
	s, err := loader.Parse("agent.json", []byte(readTestdata(t, "agent.json")), nil)
	require.NoError(t, err)
	require.Equal(t, &loader.Upstream{
		Kind: loader.KindEngine, Name: "clementine-pool", Address: netip.MustParseAddrPort("127.0.0.1:9000"),
		Slots: 8, ChecksFencing: true, QueueWork: 100_000, QueueTime: 20 * time.Second, AnswerKeep: 90 * time.Second,
	}, s.Upstream)
	require.Equal(t, testKey, s.SharedKey.Reveal())
}

// Guards against missing defaults in the upstream object, which is behind a pointer and gets its defaults only when the
// file has the object.
func TestUpstreamDefaults(t *testing.T) {
	text := edit(t, "agent.json", `"slots": 8,`, "", `"checks_fencing": true,`, "", `"queue_work": 100000,`, "",
		`"queue_time": "20s",`, "", `"answer_keep": "90s",`, "")
	s, err := loader.Parse("agent.json", []byte(text), nil)
	require.NoError(t, err)
	require.Equal(t, &loader.Upstream{
		Kind: loader.KindEngine, Name: "clementine-pool", Address: netip.MustParseAddrPort("127.0.0.1:9000"),
		Slots: 16, QueueWork: 200_000, QueueTime: 30 * time.Second, AnswerKeep: time.Minute,
	}, s.Upstream)
}

// edit returns a file of testdata in which the first occurrence of each old text is replaced by the new one; pairs holds
// old and new texts in turn.
func edit(t testing.TB, name string, pairs ...string) string {
	t.Helper()
	text := readTestdata(t, name)
	for i := 0; i < len(pairs); i += 2 {
		require.Contains(t, text, pairs[i])
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

// Guards against a problem that is accepted, or that is reported without its position, field or allowed values.
func TestProblems(t *testing.T) {
	const router, agent = "router.json", "agent.json"
	tests := []struct {
		name     string
		file     string
		old, new string
		want     string
	}{
		{
			"unknown field", router, `"region"`, `"regoin"`,
			"5:3: regoin: is an unknown field; did you mean region?; allowed: budget, control_listen, drain, failure_domain, ",
		},
		{
			"unknown nested field", router, `"stream_time"`, `"stream_tme"`,
			"13:34: limits.stream_tme: is an unknown field; did you mean limits.stream_time?; allowed: body_size, ",
		},
		{"misplaced field", router, `"role"`, `"bound": 2, "role"`, "3:3: bound: is an unknown field; it belongs at routing.bound; "},
		{"field name with a line break", router, `"region"`, `"a\nb"`, `5:3: "a\nb": is an unknown field; `},
		{"duplicate field", router, `"region"`, `"role": "agent", "region"`, "5:3: role: is set twice"},
		{"missing field", router, `"region": "svealand",`, ``, "2:1: region: is missing; allowed: 1 to 63 letters"},
		{"wrong type", router, `"router-1"`, `7`, "4:11: name: is a number; allowed: 1 to 63 letters"},
		{"null", router, `"router-1"`, `null`, "4:11: name: is null; "},
		{"object expected", router, `{"body_size": "1MB", "stream_time": "5m"}`, `"1MB"`, "13:13: limits: is a string; allowed: an object"},
		{"list expected", router, `["10.1.0.9:7000"]`, `"10.1.0.9:7000"`, "10:15: platform: is a string; allowed: a list of addresses, "},
		{"empty list", router, `["10.1.0.9:7000"]`, `[]`, "10:15: platform: is empty; allowed: at least one element"},
		{"repeated element", router, `8081", "10.1.0.3`, `8081", "10.1.0.2`, "11:30: peers[1]: repeats peers[0]"},
		{"role", router, `"router"`, `"proxy"`, `3:11: role: "proxy" is unknown; allowed: one of router, agent`},
		{"name with a space", router, `router-1`, `router 1`, `4:11: name: "router 1" is malformed; `},
		{"host name", router, `10.1.0.1:8080`, `localhost:8080`, `7:13: listen: "localhost:8080" is not an IP address and a port; allowed: an IP address and a port from 1 to 65535, `},
		{"no port", router, `10.1.0.1:8080`, `10.1.0.1`, `listen: "10.1.0.1" is not an IP address and a port`},
		{"port 0", router, `10.1.0.1:8080`, `10.1.0.1:0`, `listen: "10.1.0.1:0" has port 0`},
		{"port too large", router, `10.1.0.1:8080`, `10.1.0.1:65536`, `listen: "10.1.0.1:65536" is not an IP address`},
		{"wildcard", router, `10.1.0.1:8080`, `0.0.0.0:8080`, `listen: "0.0.0.0:8080" names no single host`},
		{"multicast", router, `10.1.0.2:8081`, `224.0.0.1:8081`, `11:13: peers[0]: "224.0.0.1:8081" is a multicast address`},
		{"shared listener", router, `10.1.0.1:8081`, `10.1.0.1:8080`, "8:21: control_listen: repeats listen; "},
		{"shared listener in another notation", router, `10.1.0.1:8081`, `[::ffff:10.1.0.1]:8080`, "control_listen: repeats listen; "},
		{"size without unit", router, `"1MB"`, `"1000000"`, `13:27: limits.body_size: "1000000" is not a size; allowed: a size with a unit from 1KB to 64MB, such as "4MB"`},
		{"size as number", router, `"1MB"`, `1000000`, `limits.body_size: is a number; allowed: a size with a unit`},
		{"size out of range", router, `"1MB"`, `"1GB"`, `limits.body_size: 1GB is out of range; `},
		{"size overflow", router, `"1MB"`, `"9223372036854775807GB"`, `limits.body_size: "9223372036854775807GB" is not a size; `},
		{"negative size", router, `"1MB"`, `"-1MB"`, `limits.body_size: "-1MB" is not a size; `},
		{"duration without unit", router, `"5m"`, `"5"`, `limits.stream_time: "5" is not a duration; allowed: a duration with a unit from 1s to 24h, such as "10m"`},
		{"duration as number", router, `"5m"`, `300`, `limits.stream_time: is a number; `},
		{"negative duration", router, `"5m"`, `"-5m"`, `limits.stream_time: -5m0s is out of range; `},
		{"drain limit too short", agent, `"15m"`, `"10m"`, "15:37: drain.limit: 10m0s would cut running requests; allowed: at least 10m22s, "},
		{"stream time beyond default drain limit", router, `"5m"`, `"20m"`, "13:49: drain.limit: 15m0s would cut running requests; allowed: at least 20m2s, "},
		{"drain grace beyond 3 s", agent, `"2s"`, `"4s"`, "15:22: drain.grace: 4s is out of range; allowed: a duration with a unit from 0s to 3s, "},
		{"bound below 1", agent, `1.25`, `0.9`, "13:24: routing.bound: 0.9 is out of range; allowed: a number from 1.05 to 4"},
		{"bound overflow", agent, `1.25`, `1e999`, "routing.bound: 1e999 is out of range; "},
		{"fraction for an integer", agent, `"attempts": 3`, `"attempts": 2.5`, "routing.attempts: 2.5 is not a whole number; allowed: a whole number from 1 to 10"},
		{"boolean as string", agent, `true`, `"true"`, "21:23: upstream.checks_fencing: is a string; allowed: true or false"},
		{"log level", agent, `"debug"`, `"loud"`, `12:16: log_level: "loud" is unknown; allowed: one of trace, debug, info, warn, error`},
		{"agent without upstream", router, `"role": "router"`, `"role": "agent"`, "2:1: upstream: is missing; "},
		{"router with upstream", agent, `"role": "agent"`, `"role": "router"`, "16:15: upstream: is set at a router; "},
		{"fencing at a service", agent, `"kind": "engine"`, `"kind": "service"`, "21:23: upstream.checks_fencing: is set for a plain service; "},
		{"upstream is the agent itself", agent, `127.0.0.1:9000`, `[fd00::3]:8080`, "19:16: upstream.address: repeats listen; "},
		{"missing nested field", agent, `"kind": "engine",`, ``, "16:15: upstream.kind: is missing; allowed: one of engine, service"},
		{"no key", agent, `"shared_key": "a key for the tests only",`, ``, "2:1: shared_key: is missing; allowed: one of shared_key and shared_key_env"},
		{"two keys", agent, `"shared_key"`, `"shared_key_env": "K", "shared_key"`, "11:21: shared_key_env: is set together with shared_key; "},
		{"short key", agent, `"a key for the tests only"`, `"sekrit"`, "11:17: shared_key: has 6 bytes; allowed: a string of at least 16 bytes"},
		{"unset variable", router, `CLEMENTINE_SHARED_KEY`, `NO_SUCH_VARIABLE`, "12:21: shared_key_env: names an environment variable that is not set"},
		{"not an object", router, readTestdata(t, router), `[]`, "1:1: is a list; allowed: an object"},
		{"syntax", router, `"name": "router-1",`, `"name": "router-1"`, "5:3: invalid character '\"' after object value (expecting ',' or '}'); allowed: JSON, with comments"},
		{"empty file", router, readTestdata(t, router), ``, "1:1: parsing value: unexpected EOF; "},
		{"large file", router, readTestdata(t, router), strings.Repeat("[", 300<<10), "1:1: the file is too large; allowed: at most 262144 bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loader.Parse(tt.file, []byte(edit(t, tt.file, tt.old, tt.new)), testEnv)
			var problems loader.Problems
			require.ErrorAs(t, err, &problems)
			require.Contains(t, err.Error(), tt.want)
			for _, p := range problems {
				require.True(t, strings.HasPrefix(p.String(), fmt.Sprintf("%s:%d:%d: ", tt.file, p.Line, p.Column)))
			}
		})
	}
}

// Guards against reporting only the first problem, so that an operator has to fix a file one problem at a time.
func TestAllProblemsAreReported(t *testing.T) {
	text := edit(t, "agent.json", `"agent"`, `"proxy"`, `1.25`, `9`, `"2s"`, `"1h"`, `"slots": 8`, `"slots": 0`, `"region"`, `"regoin"`)
	_, err := loader.Parse("agent.json", []byte(text), nil)
	var problems loader.Problems
	require.ErrorAs(t, err, &problems)
	var fields []string
	for _, p := range problems {
		fields = append(fields, p.Field)
	}
	require.Equal(t, []string{"region", "role", "regoin", "routing.bound", "drain.grace", "upstream.slots"}, fields)
}

// Guards against the shared key reaching a terminal or log through an error or the effective settings.
func TestSecretsAreNotShown(t *testing.T) {
	const secret = "sekrit-0123456789"
	texts := []string{
		edit(t, "agent.json", `"a key for the tests only"`, `"`+secret+`"`),
		edit(t, "agent.json", `"a key for the tests only"`, `"`+secret+`\q"`),
		edit(t, "agent.json", `"a key for the tests only"`, secret),
		edit(t, "agent.json", `"a key for the tests only"`, `["`+secret+`"]`),
		edit(t, "agent.json", `"shared_key"`, `"shared_kye"`, `"a key for the tests only"`, `"`+secret+`"`),
		edit(t, "router.json", `CLEMENTINE_SHARED_KEY`, secret),
		edit(t, "router.json", `CLEMENTINE_SHARED_KEY`, strings.ReplaceAll(secret, "-", "_")),
	}
	for _, text := range texts {
		s, err := loader.Parse("x.json", []byte(text), testEnv)
		shown := fmt.Sprint(err)
		if err == nil {
			shown = s.Effective() + fmt.Sprintf("%v %+v %#v %s", *s, *s, *s, s.SharedKey)
		}
		require.NotContains(t, shown, "sekrit")
	}
	short := func(string) (string, bool) { return "sekrit", true }
	_, err := loader.Parse("x.json", []byte(readTestdata(t, "router.json")), short)
	require.ErrorContains(t, err, "holds 6 bytes; allowed: at least 16 bytes")
	require.NotContains(t, err.Error(), "sekrit")
}

// Guards against effective settings that a daemon would refuse or decode differently.
func TestEffectiveRoundTrip(t *testing.T) {
	for _, file := range []string{"router.json", "agent.json"} {
		s, err := loader.Parse(file, []byte(readTestdata(t, file)), testEnv)
		require.NoError(t, err)
		requireEffectiveRoundTrip(t, s)
	}
}

func requireEffectiveRoundTrip(t *testing.T, s *loader.Settings) {
	t.Helper()
	text := s.Effective()
	if s.SharedKeyEnv == "" {
		key, err := json.Marshal(s.SharedKey.Reveal())
		require.NoError(t, err)
		text = strings.Replace(text, `"shared_key": "(set)"`, `"shared_key": `+string(key), 1)
	}
	env := func(string) (string, bool) { return s.SharedKey.Reveal(), true }
	reparsed, err := loader.Parse("effective.json", []byte(text), env)
	require.NoError(t, err, text)
	require.Equal(t, s, reparsed)
}

// Guards against Check failing on an operator's machine, where the environment variables of the daemon are not set.
func TestCheckNeedsNoEnvironment(t *testing.T) {
	s, err := loader.Check(filepath.Join("testdata", "router.json"))
	require.NoError(t, err)
	require.Empty(t, s.SharedKey.Reveal())
	t.Setenv("CLEMENTINE_SHARED_KEY", testKey)
	s, err = loader.Load(filepath.Join("testdata", "router.json"))
	require.NoError(t, err)
	require.Equal(t, testKey, s.SharedKey.Reveal())
	_, err = loader.Load(filepath.Join("testdata", "absent.json"))
	require.ErrorContains(t, err, "absent.json")
	var problems loader.Problems
	require.False(t, errors.As(err, &problems))
}

func TestSizeText(t *testing.T) {
	for text, want := range map[string]loader.Size{
		"0B": 0, "1B": 1, "8KB": 8000, "8KiB": 8192, "1MB": 1e6, "3MiB": 3 << 20, "2GB": 2e9, "1GiB": 1 << 30, "1500B": 1500,
	} {
		got, err := loader.ParseSize(text)
		require.NoError(t, err)
		require.Equal(t, want, got, text)
		reparsed, err := loader.ParseSize(got.String())
		require.NoError(t, err)
		require.Equal(t, got, reparsed)
	}
	for _, text := range []string{"", "KB", "1", "1.5MB", "+1B", "1 KB", "1kb", "1KBB", "0x1B", "9223372036854775808B"} {
		_, err := loader.ParseSize(text)
		require.Error(t, err, text)
	}
}

// Guards against doc comments of the settings that disagree with the defaults and the required fields in the tags.
func TestDefaultsAreDocumented(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, parser.ParseComments)
	require.NoError(t, err)
	n := 0
	ast.Inspect(file, func(node ast.Node) bool {
		f, ok := node.(*ast.Field)
		if !ok || f.Tag == nil {
			return true
		}
		n++
		tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
		doc := f.Doc.Text()
		require.True(t, strings.HasPrefix(doc, f.Names[0].Name+" "), f.Names[0].Name)
		if text, ok := tag.Lookup("default"); ok {
			require.Contains(t, doc, "Default: "+text+".", f.Names[0].Name)
		}
		require.Equal(t, tag.Get("required") != "", strings.Contains(doc, " Required"), f.Names[0].Name)
		return true
	})
	require.Greater(t, n, 40)
}

// Guards against an example in the operators' documentation that a daemon would refuse.
func TestDocumentedExamples(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATIONS.md"))
	require.NoError(t, err)
	blocks := strings.Split(string(page), "```")
	require.GreaterOrEqual(t, len(blocks), 4)
	router := strings.TrimPrefix(blocks[1], "json")
	_, err = loader.Parse("router", []byte(router), testEnv)
	require.NoError(t, err)
	agent := strings.Replace(router, `"router",`, `"agent",`+strings.TrimPrefix(blocks[3], "json"), 1)
	s, err := loader.Parse("agent", []byte(agent), testEnv)
	require.NoError(t, err)
	require.Equal(t, loader.RoleAgent, s.Role)
	require.Equal(t, "vavrad", s.Upstream.Name)
}

// Guards against input that makes the decoder panic, and against accepted settings whose effective form decodes to
// other settings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(readTestdata(f, "router.json")))
	f.Add([]byte(readTestdata(f, "agent.json")))
	f.Add([]byte(edit(f, "agent.json", `"slots": 8`, `"slots": 1e9`, `"2s"`, `"-2s"`, `"routing"`, `"a\nb": [{}], "routing"`)))
	f.Add([]byte(edit(f, "router.json", `["10.1.0.9:7000"]`, `[[], {}, null, "::1", "[fe80::1%eth0]:1"]`)))
	f.Add([]byte(`{"limits": null, "upstream": {}, "role": "agent", /* unclosed`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := loader.Parse("fuzz.json", data, testEnv)
		if err == nil {
			requireEffectiveRoundTrip(t, s)
			return
		}
		var problems loader.Problems
		require.ErrorAs(t, err, &problems)
		require.NotEmpty(t, problems)
		for _, p := range problems {
			require.Positive(t, p.Line)
			require.Positive(t, p.Column)
			require.NotContains(t, p.String(), "\n")
		}
	})
}
