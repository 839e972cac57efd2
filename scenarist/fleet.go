package scenarist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"clementineramp/compiler"
	"clementineramp/configurer"
	"clementineramp/loader"
	"clementineramp/spawner"
	"clementineramp/subscriber"
)

const (
	// firstPort and the ports after it lie below the ephemeral range of the system, so that no outgoing connection uses
	// one of them.
	firstPort = 20000
	// sharedKey is the key with which the processes of a fleet authenticate to each other.
	sharedKey = "a-shared-key-of-the-scenarios"
	// sheetFile and hostsFile are files in the directory of a script; publishedDir is the directory that its platform
	// serves.
	sheetFile    = "sheet.csv"
	hostsFile    = "hosts.json"
	publishedDir = "published"
)

// domains are the failure domains over which a fleet is spread.
var domains = []string{"malaren", "hjalmaren", "vanern"}

type fleet struct {
	// dir is the directory of the script, and ip the loopback address that only this script uses.
	dir, ip      string
	port         int
	processes    []*process
	hosts        []subscriber.Host
	leavingSince map[string]time.Time
	mu           sync.Mutex
	// versions holds the model versions that were published, and models the model of each pool.
	versions map[string]bool
	models   map[string]string
}

func newFleet(dir, ip string) *fleet {
	return &fleet{
		dir: dir, ip: ip, port: firstPort, versions: map[string]bool{}, models: map[string]string{},
		leavingSince: map[string]time.Time{},
	}
}

func (f *fleet) path(name string) string {
	return filepath.Join(f.dir, name)
}

func (f *fleet) newAddress() string {
	f.port++
	return f.ip + ":" + strconv.Itoa(f.port)
}

// compile compiles a sheet, and records the models and model versions of its pools.
func (f *fleet) compile(name string) (*compiler.Sheet, *configurer.Snapshot, error) {
	data, err := os.ReadFile(f.path(name))
	if err != nil {
		return nil, nil, err
	}
	sheet, err := compiler.Compile(compiler.Source{Name: name, Data: data})
	if err != nil {
		return nil, nil, err
	}
	snapshot, err := configurer.Load(sheet.Manifest, sheet.Part)
	if err != nil {
		return nil, nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range snapshot.Pools {
		f.versions[p.Version] = true
		f.models[p.Name] = p.Model
	}
	return sheet, snapshot, nil
}

// fleetOptions are the arguments of the command fleet.
type fleetOptions struct {
	routers, engines, slots                       int
	token, load, grace, firstByte, silence, limit time.Duration
}

// build writes the settings and the host list for the script's sheet, and adds the processes of the fleet.
func (f *fleet) build(o fleetOptions) error {
	sheet, snapshot, err := f.compile(sheetFile)
	if err != nil {
		return err
	}
	if err := f.writeSheet(sheet); err != nil {
		return err
	}
	platformAddress := f.newAddress()
	f.processes = append(f.processes, f.newPlatform(platformAddress, "--values", f.path(publishedDir)))
	settings := map[string]any{
		"platform": []string{platformAddress}, "region": "svealand", "shared_key": sharedKey,
		"drain":   map[string]any{"grace": o.grace.String()},
		"limits":  map[string]any{"stream_idle_time": o.silence.String()},
		"routing": map[string]any{"first_byte_timeout": o.firstByte.String()},
	}
	peers := []string{}
	for i := range o.routers {
		name := fmt.Sprintf("router-%d", i+1)
		p := f.addHost(name, roleRouter, "", domains[i%len(domains)])
		peers = append(peers, f.hosts[len(f.hosts)-1].Control)
		f.processes = append(f.processes, p)
	}
	settings["peers"] = peers
	for _, pool := range snapshot.Pools {
		for i := range o.engines {
			name := fmt.Sprintf("%s-%d", pool.Name, i+1)
			f.addAgent(name, pool.Name, domains[i%len(domains)], "engine", "--model", pool.Model, "--version", pool.Version,
				"--slots", strconv.Itoa(o.slots), "--token-interval", o.token.String(), "--load-time", o.load.String())
		}
	}
	for _, service := range snapshot.Services {
		for i, name := range service.Workers {
			f.addAgent(name, service.Name, domains[i%len(domains)], "service")
		}
	}
	for _, p := range f.processes {
		p.timeout = o.limit
	}
	for _, h := range f.hosts {
		if err := f.writeSettings(settings, h, o.slots); err != nil {
			return err
		}
	}
	return f.writeHosts()
}

// addAgent adds an agent and the stand-in for its upstream.
func (f *fleet) addAgent(name, pool, domain, kind string, args ...string) {
	address := f.newAddress()
	f.processes = append(f.processes, &process{
		Process: spawner.Process{
			Name:    name + ".upstream",
			Command: append([]string{"clementinectl", "standin", kind, "--listen", address, "--name", name}, args...),
		},
		role: roleUpstream, pool: pool, address: address,
	}, f.addHost(name, roleAgent, pool, domain))
}

// addHost adds a router or agent to the host list and returns its process, which the caller adds to the fleet.
func (f *fleet) addHost(name, role, pool, domain string) *process {
	h := subscriber.Host{
		Name: name, Address: f.newAddress(), Control: f.newAddress(), Domain: domain, Role: role, Upstream: pool,
		State: subscriber.StateLive,
	}
	f.hosts = append(f.hosts, h)
	return &process{
		Process: spawner.Process{Name: name, Command: []string{"clementined", "--settings", f.path(name + ".json")}},
		role:    role, pool: pool, address: h.Address, operatorAddress: f.newAddress(),
	}
}

func (f *fleet) newPlatform(address string, args ...string) *process {
	return &process{
		Process: spawner.Process{
			Name:    "platform",
			Command: append([]string{"clementinectl", "standin", "platform", "--listen", address, "--hosts", f.path(hostsFile)}, args...),
		},
		role: rolePlatform, address: address,
	}
}

func (f *fleet) writeSettings(common map[string]any, h subscriber.Host, slots int) error {
	s := map[string]any{}
	for name, value := range common {
		s[name] = value
	}
	p, err := f.process(h.Name)
	if err != nil {
		return err
	}
	s["name"], s["role"], s["failure_domain"] = h.Name, h.Role, h.Domain
	s["listen"], s["control_listen"], s["operator_listen"] = h.Address, h.Control, p.operatorAddress
	if h.Role == roleAgent {
		up, err := f.process(h.Name + ".upstream")
		if err != nil {
			return err
		}
		s["upstream"] = map[string]any{"kind": up.Command[2], "name": h.Upstream, "address": up.address, "slots": slots}
	}
	return f.writeJSON(h.Name+".json", s)
}

func (f *fleet) writeHosts() error {
	return f.writeJSON(hostsFile, struct {
		Revision int               `json:"revision"`
		Hosts    []subscriber.Host `json:"hosts"`
	}{1, f.hosts})
}

func (f *fleet) writeJSON(name string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.path(name), append(data, '\n'), 0o600)
}

// writeSheet replaces the published files by those of a compiled sheet.
func (f *fleet) writeSheet(sheet *compiler.Sheet) error {
	for _, p := range sheet.Parts {
		if err := f.writeValue(configurer.PartKey(p.Digest), p.Data); err != nil {
			return err
		}
	}
	return f.writeValue(configurer.ManifestKey, sheet.Manifest)
}

func (f *fleet) writeValue(key string, data []byte) error {
	path := filepath.Join(f.path(publishedDir), filepath.FromSlash(key))
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// publish publishes a sheet and waits until the platform serves it. A platform that is down serves it after its start.
func (f *fleet) publish(name string) error {
	sheet, _, err := f.compile(name)
	if err != nil {
		return err
	}
	if err := f.writeSheet(sheet); err != nil {
		return err
	}
	return f.reload(sheet.Manifest)
}

// publishPart publishes a version in whose parts oldText is replaced by newText, without validation.
func (f *fleet) publishPart(oldText, newText string, version uint64) error {
	data, err := os.ReadFile(filepath.Join(f.path(publishedDir), filepath.FromSlash(configurer.ManifestKey)))
	if err != nil {
		return err
	}
	m, err := configurer.DecodeManifest(data)
	if err != nil {
		return err
	}
	found := false
	for i, ref := range m.Parts {
		part, err := os.ReadFile(filepath.Join(f.path(publishedDir), filepath.FromSlash(configurer.PartKey(ref.Digest))))
		if err != nil {
			return err
		}
		changed := bytes.ReplaceAll(part, []byte(oldText), []byte(newText))
		if bytes.Equal(part, changed) {
			continue
		}
		found = true
		m.Parts[i].Digest = configurer.DigestOf(changed)
		if err := f.writeValue(configurer.PartKey(m.Parts[i].Digest), changed); err != nil {
			return err
		}
	}
	if !found {
		return fmt.Errorf("no part contains %q", oldText)
	}
	m.Version = version
	if data, err = json.Marshal(m); err != nil {
		return err
	}
	if err := f.writeValue(configurer.ManifestKey, data); err != nil {
		return err
	}
	return f.reload(data)
}

// reload makes a running platform read its files and waits until it serves the manifest.
func (f *fleet) reload(manifest []byte) error {
	p, err := f.process("platform")
	if err != nil || !p.Running() {
		return err
	}
	if err := p.signal(syscall.SIGHUP); err != nil {
		return err
	}
	return p.await("the new manifest", func() error {
		data, err := get("http://" + p.address + "/v1/values/" + configurer.ManifestKey)
		if err == nil && !bytes.Equal(data, manifest) {
			err = fmt.Errorf("platform serves another manifest")
		}
		return err
	})
}

// markLeaving lists a host as leaving and makes the platform read the host list.
func (f *fleet) markLeaving(name string) error {
	found := false
	for i := range f.hosts {
		if f.hosts[i].Name == name {
			f.hosts[i].State, found = subscriber.StateLeaving, true
		}
	}
	if !found {
		return fmt.Errorf("no host %q", name)
	}
	if err := f.writeHosts(); err != nil {
		return err
	}
	p, err := f.process("platform")
	if err != nil {
		return err
	}
	f.leavingSince[name] = time.Now()
	return p.signal(syscall.SIGHUP)
}

// loadExample copies a deployment from a directory, with the script's address in place of 127.0.0.1, and adds its
// processes.
func (f *fleet) loadExample(dir string) error {
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(dir, path)
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return os.MkdirAll(f.path(name), 0o755)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(f.path(name), bytes.ReplaceAll(data, []byte("127.0.0.1"), []byte(f.ip)), 0o600)
	})
	if err != nil {
		return err
	}
	if _, _, err := f.compile(sheetFile); err != nil {
		return err
	}
	f.processes = append(f.processes, &process{
		Process: spawner.Process{Name: "platform", Command: []string{"clementinectl", "standin", "all", f.dir}},
		role:    rolePlatform, timeout: waitTimeout,
	})
	files, err := filepath.Glob(f.path("settings/*.json"))
	if err != nil {
		return err
	}
	for _, file := range files {
		if err := f.addDaemon(file); err != nil {
			return err
		}
	}
	return nil
}

// addDaemon adds the router or agent that a settings file of an example describes, and the upstream of an agent.
func (f *fleet) addDaemon(file string) error {
	s, err := loader.Check(file)
	if err != nil {
		return err
	}
	p := &process{
		Process: spawner.Process{
			Name: s.Name, Command: []string{"clementined", "--settings", file}, Env: []string{s.SharedKeyEnv + "=" + sharedKey},
		},
		role: string(s.Role), address: s.Listen.String(), operatorAddress: s.OperatorListen.String(),
		timeout: waitTimeout,
	}
	if s.Upstream != nil {
		p.pool = s.Upstream.Name
		f.processes = append(f.processes, &process{
			Process: spawner.Process{Name: s.Name + ".upstream"}, role: roleUpstream, pool: p.pool, address: s.Upstream.Address.String(),
		})
	}
	f.processes = append(f.processes, p)
	return nil
}

// process returns the process with a name, or an error if the fleet has none.
func (f *fleet) process(name string) (*process, error) {
	for _, p := range f.processes {
		if p.Name == name {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no process %q", name)
}

// lookup returns the processes that a process name or group name in a script stands for.
func (f *fleet) lookup(name string) ([]*process, error) {
	var list []*process
	for _, p := range f.processes {
		daemon := p.role == roleRouter || p.role == roleAgent
		if p.Name == name || name == "all" && daemon || name == p.role+"s" || name == p.pool && p.role == roleAgent {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("no process or group %q", name)
	}
	return list, nil
}

// lookupAll returns the processes that several names stand for, in the order of the names.
func (f *fleet) lookupAll(names []string) ([]*process, error) {
	var list []*process
	for _, name := range names {
		found, err := f.lookup(name)
		if err != nil {
			return nil, err
		}
		list = append(list, found...)
	}
	return list, nil
}

// upstreams returns the stand-ins for the upstreams of a pool or service, or of one agent.
func (f *fleet) upstreams(pool string) ([]*process, error) {
	var list []*process
	for _, p := range f.processes {
		if p.role == roleUpstream && (p.pool == pool || strings.TrimSuffix(p.Name, ".upstream") == pool) {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("no pool or service %q", pool)
	}
	return list, nil
}

// saveLogs writes the logs of all processes to the directory of the script, which go test -args -testwork keeps.
func (f *fleet) saveLogs() {
	_ = os.MkdirAll(f.path("logs"), 0o755)
	for _, p := range f.processes {
		_ = os.WriteFile(filepath.Join(f.path("logs"), p.Name+".log"), []byte(p.Log.String()), 0o600)
	}
}
