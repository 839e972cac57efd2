package examples_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementineramp/commander"
	"clementineramp/compiler"
	"clementineramp/configurer"
	"clementineramp/explainer"
	"clementineramp/loader"
	"clementineramp/subscriber"
)

// example describes the size of a deployment, as given in section 1.1 of docs/design.md.
type example struct {
	name, region, pool, service string
	engines                     int
}

var examples = []example{
	{name: "vassmattan", region: "svealand", pool: "vavrad", service: "bestall", engines: 20},
	{name: "gridleaf", region: "tw-north", pool: "clementine-pool", service: "storefront-api", engines: 12},
}

const (
	routers       = 2
	workers       = 3
	domains       = 3
	organisations = 10
)

// files are the parsed files of an example.
type files struct {
	sheet    *compiler.Sheet
	snapshot *configurer.Snapshot
	hosts    []subscriber.Host
	settings []*loader.Settings
}

// clementinectl runs a command that must succeed and print nothing to standard error.
func clementinectl(t *testing.T, args ...string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := commander.Run(t.Context(), append([]string{"clementinectl"}, args...), &stdout, &stderr)
	require.Equal(t, commander.ExitOK, code, "%v: %s", args, stderr.String())
	require.Empty(t, stderr.String(), "%v", args)
}

// readExample checks the files of an example with clementinectl and parses them.
func readExample(t *testing.T, ex example) files {
	t.Helper()
	var f files
	sheet := filepath.Join(ex.name, "sheet.csv")
	clementinectl(t, "sheet", "check", sheet)
	data, err := os.ReadFile(sheet)
	require.NoError(t, err)
	f.sheet, err = compiler.Compile(compiler.Source{Name: sheet, Data: data})
	require.NoError(t, err)
	f.snapshot, err = configurer.Load(f.sheet.Manifest, f.sheet.Part)
	require.NoError(t, err)

	data, err = os.ReadFile(filepath.Join(ex.name, "hosts.json"))
	require.NoError(t, err)
	list, err := subscriber.DecodeHostList(data)
	require.NoError(t, err)
	f.hosts = list.Hosts

	paths, err := filepath.Glob(filepath.Join(ex.name, "settings", "*"))
	require.NoError(t, err)
	for _, path := range paths {
		clementinectl(t, "settings", "check", path)
		s, err := loader.Check(path)
		require.NoError(t, err)
		require.Equal(t, s.Name+".json", filepath.Base(path))
		f.settings = append(f.settings, s)
	}
	return f
}

// Guards against an example that a daemon or the platform would refuse, and against inconsistent files.
func TestExamples(t *testing.T) {
	for _, ex := range examples {
		t.Run(ex.name, func(t *testing.T) {
			f := readExample(t, ex)
			require.Empty(t, explainer.Mismatches(f.snapshot, f.hosts))
			checkSize(t, ex, f)
			checkHosts(t, ex, f)
		})
	}
}

func checkSize(t *testing.T, ex example, f files) {
	t.Helper()
	require.Len(t, f.settings, routers+ex.engines+workers)
	require.Len(t, f.hosts, len(f.settings))
	count, domainCount := map[string]int{}, map[string]int{}
	for _, h := range f.hosts {
		count[h.Role+"/"+h.Upstream]++
		domainCount[h.Domain]++
	}
	require.Equal(t, map[string]int{"router/": routers, "agent/" + ex.pool: ex.engines, "agent/" + ex.service: workers}, count)
	require.Len(t, domainCount, domains)
	service, ok := f.snapshot.Service(ex.service)
	require.True(t, ok)
	require.Len(t, service.Workers, workers)
	_, ok = f.snapshot.Pool(ex.pool)
	require.True(t, ok)
}

// checkHosts compares each settings file with the host list.
func checkHosts(t *testing.T, ex example, f files) {
	t.Helper()
	hosts := map[string]subscriber.Host{}
	for _, h := range f.hosts {
		hosts[h.Name] = h
	}
	for _, s := range f.settings {
		want := subscriber.Host{
			Name: s.Name, Address: s.Listen.String(), Control: s.ControlListen.String(), Domain: s.FailureDomain,
			Role: string(s.Role), State: subscriber.StateLive,
		}
		if s.Upstream != nil {
			want.Upstream = s.Upstream.Name
			_, isPool := f.snapshot.Pool(s.Upstream.Name)
			require.Equal(t, isPool, s.Upstream.Kind == loader.KindEngine, s.Name)
			checkQueueTime(t, f, s)
		}
		require.Equal(t, want, hosts[s.Name])
		require.Equal(t, ex.region, s.Region, s.Name)
		require.Equal(t, f.settings[0].Platform, s.Platform, s.Name)
		for _, p := range s.Peers {
			require.True(t, isControlAddress(f, p), "%s: peer %v", s.Name, p)
		}
	}
}

// checkQueueTime guards against a queue time of an engine that drops requests before the target of their rank.
func checkQueueTime(t *testing.T, f files, s *loader.Settings) {
	t.Helper()
	if s.Upstream.Kind != loader.KindEngine {
		return
	}
	for _, r := range f.snapshot.Ranks {
		require.Greater(t, s.Upstream.QueueTime, r.Target(), "%s: rank %s", s.Name, r.Name)
	}
}

func isControlAddress(f files, address netip.AddrPort) bool {
	for _, s := range f.settings {
		if s.ControlListen == address {
			return true
		}
	}
	return false
}

// Guards against two processes that use the same address. Both examples may run at the same time.
func TestAddressesAreDistinct(t *testing.T) {
	owner := map[netip.AddrPort]string{}
	claim := func(address netip.AddrPort, name string) {
		require.True(t, address.Addr().IsLoopback(), "%s: %v", name, address)
		require.Empty(t, owner[address], "%s: %v", name, address)
		owner[address] = name
	}
	for _, ex := range examples {
		f := readExample(t, ex)
		claim(f.settings[0].Platform[0], ex.name)
		for _, s := range f.settings {
			name := ex.name + "/" + s.Name
			claim(s.Listen, name)
			claim(s.ControlListen, name)
			claim(s.OperatorListen, name)
			if s.Upstream != nil {
				claim(s.Upstream.Address, name)
			}
		}
	}
	// Each example has one platform, three addresses for each process, and one address for each upstream.
	want := 0
	for _, ex := range examples {
		want += 1 + 3*routers + 4*(ex.engines+workers)
	}
	require.Len(t, owner, want)
}

// Guards against ranks whose targets and worths are too similar to show an effect, and against credits that are valid
// for a year or more.
func TestSheetContent(t *testing.T) {
	for _, ex := range examples {
		t.Run(ex.name, func(t *testing.T) {
			f := readExample(t, ex)
			ranks := f.snapshot.Ranks
			require.Len(t, ranks, 3)
			for i := 1; i < len(ranks); i++ {
				require.GreaterOrEqual(t, ranks[i].Target(), 4*ranks[i-1].Target())
				require.LessOrEqual(t, 10*ranks[i].Worth, ranks[i-1].Worth)
				require.Less(t, ranks[i].Share, ranks[i-1].Share)
			}
			require.Equal(t, organisations, f.snapshot.OrganisationCount())
			large := 0
			for _, o := range f.sheet.Rows.Organisations {
				if o.Weight > 1 {
					large++
				}
			}
			require.Equal(t, 3, large)
			require.Len(t, f.snapshot.Accounts, 1)
			account := f.snapshot.Accounts[0]
			require.Equal(t, account.Name, f.snapshot.Pools[0].Account)
			require.Less(t, account.Lapses.Sub(account.AsOf), 365*24*time.Hour)
			data, err := os.ReadFile(filepath.Join(ex.name, "sheet.csv"))
			require.NoError(t, err)
			require.Regexp(t, regexp.MustCompile(`(?m)^account,.*,[^,]+ [A-Z]\w+/\w+,[0-9.]+$`), string(data))
		})
	}
}

// Guards against an API key in the README that the sheet does not contain, and against a shared key that is too short.
func TestKeys(t *testing.T) {
	row := regexp.MustCompile("(?m)^\\| ([^|]+) \\| `([^`]+)` \\|$")
	shared := regexp.MustCompile(`(?m)^    export CLEMENTINE_SHARED_KEY=(\S+)$`)
	for _, ex := range examples {
		t.Run(ex.name, func(t *testing.T) {
			f := readExample(t, ex)
			data, err := os.ReadFile(filepath.Join(ex.name, "README.md"))
			require.NoError(t, err)
			listed := map[string]bool{}
			for _, m := range row.FindAllStringSubmatch(string(data), -1) {
				if !strings.HasPrefix(m[2], "example-key-") {
					continue
				}
				o, ok := f.snapshot.Authenticate(m[2])
				require.True(t, ok, m[2])
				require.Equal(t, m[1], o.Name)
				listed[o.Name] = true
			}
			require.Len(t, listed, organisations)
			for _, m := range regexp.MustCompile(`Bearer ([\w-]+)`).FindAllStringSubmatch(string(data), -1) {
				_, ok := f.snapshot.Authenticate(m[1])
				require.True(t, ok, m[1])
			}
			m := shared.FindStringSubmatch(string(data))
			require.NotNil(t, m)
			path := filepath.Join(ex.name, "settings", "router-1.json")
			settings, err := os.ReadFile(path)
			require.NoError(t, err)
			_, err = loader.Parse(path, settings, func(name string) (string, bool) { return m[1], name == "CLEMENTINE_SHARED_KEY" })
			require.NoError(t, err)
		})
	}
}

// Guards against a README whose ports differ from the settings, or whose clementinectl explain command fails.
func TestReadme(t *testing.T) {
	for _, ex := range examples {
		t.Run(ex.name, func(t *testing.T) {
			f := readExample(t, ex)
			data, err := os.ReadFile(filepath.Join(ex.name, "README.md"))
			require.NoError(t, err)
			for _, s := range f.settings {
				if s.Role == loader.RoleRouter {
					require.Contains(t, string(data), fmt.Sprintf("http://%v/v1/", s.Listen))
				}
			}
			require.Contains(t, string(data), fmt.Sprintf("The platform listens on %d.", f.settings[0].Platform[0].Port()))
			_, text, ok := strings.Cut(string(data), "./clementinectl explain ")
			require.True(t, ok)
			text, _, _ = strings.Cut(text, "\n\n")
			t.Chdir("..")
			clementinectl(t, append([]string{"explain"}, commandWords(text)...)...)
		})
	}
}

// commandWords splits a command line of a README at spaces outside single quotes.
func commandWords(text string) []string {
	var out []string
	for _, w := range regexp.MustCompile(`'[^']*'|[^\s\\]+`).FindAllString(text, -1) {
		out = append(out, strings.Trim(w, "'"))
	}
	return out
}
