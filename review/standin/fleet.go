package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// heartbeat is HeartbeatIntervalMs of the settings; an entry expires after three of them.
	heartbeat = 1200 * time.Millisecond
	zones     = 3
)

// fleet is a small deployment: the gateways and the workers as processes, and the store in this process.
type fleet struct {
	root, dir string
	rec       *record
	store     *store
	gateways  []*gateway

	mu    sync.Mutex
	procs map[*exec.Cmd]bool
	ended bool
}

// gateway is a process of the project.
type gateway struct {
	name           string
	listen, ready  string
	peer, metrics  int
	settings, zone string
	stdout         string
	cmd            *exec.Cmd
}

// bounds are those of the pages for a small deployment.
var bounds = map[string]any{
	"ConfigPropagationMs": 2000, "GracePeriodS": 8, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetExtra": 54,
	"DrainMs": 2000, "ContactThresholdMs": 3000,
}

func newFleet(root string, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, rec: rec, store: newStore(), procs: make(map[*exec.Cmd]bool)}
	return f, nil
}

// The ports of a case are below those that the system gives to outgoing connections, which could take one before its process
// listens. Each case begins at a place of its own, so that cases can run beside each other.
const (
	firstPort, portCount = 20_000, 12_000
	portsPerCase         = 64
)

var nextPort = os.Getpid() * portsPerCase % portCount

// freePorts returns ports of the loopback address that are free now and were not returned before.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range portCount {
		port := firstPort + nextPort
		nextPort = (nextPort + 1) % portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		if ports = append(ports, port); len(ports) == n {
			return ports, nil
		}
	}
	return nil, errors.New("no free ports")
}

// start starts the store and n gateways with the command and the template of the deploy file.
func (f *fleet) start(n int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, f.store) }() //nolint:gosec // a stand-in on a loopback address
	deploy, err := os.ReadFile(filepath.Join(f.root, "deploy/system.toml"))
	if err != nil {
		return err
	}
	run, template := tomlValue(string(deploy), "run"), tomlValue(string(deploy), "template")
	text, err := os.ReadFile(filepath.Join(f.root, template))
	if err != nil {
		return err
	}
	ports, err := freePorts(4 * n)
	if err != nil {
		return err
	}
	var seeds []any
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("127.0.0.1:%d", ports[4*i+2]))
	}
	for i := range n {
		p := ports[4*i:]
		g := &gateway{
			name: fmt.Sprintf("edge-%d", i+1), zone: fmt.Sprintf("zone-%d", i%zones+1),
			listen: fmt.Sprintf("127.0.0.1:%d", p[0]), ready: fmt.Sprintf("127.0.0.1:%d", p[1]),
		}
		g.settings = filepath.Join(f.dir, g.name+".json")
		g.stdout = filepath.Join(f.dir, g.name+".log")
		fields := map[string]any{
			"NodeName": g.name, "Region": "region-1", "Zone": g.zone, "IpAddress": "127.0.0.1", "HeartbeatIntervalMs": 1200,
			"ListenAddresses": map[string]any{
				"Frontend": g.listen, "Readiness": g.ready, "ControlPlane": fmt.Sprintf("127.0.0.1:%d", p[2]),
			},
			"InternalPortRange": []any{p[3], p[3]}, "Platform": map[string]any{"Address": l.Addr().String()},
			"SeedNodes": seeds, "Limits": map[string]any{"MemoryMb": 284, "LinkMbps": 1000}, "Bounds": bounds,
		}
		if err := os.WriteFile(g.settings, []byte(render(string(text), fields)), 0o600); err != nil {
			return err
		}
		f.gateways = append(f.gateways, g)
	}
	for _, g := range f.gateways {
		words := strings.Fields(run)
		g.cmd = exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
		g.cmd.Dir = f.root
		g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CLEMENTINERAMP_NODE_FILE=" + g.settings}
		out, err := os.Create(g.stdout)
		if err != nil {
			return err
		}
		g.cmd.Stdout, g.cmd.Stderr = out, out
		if err := f.startProcess(g.cmd); err != nil {
			return err
		}
	}
	return f.awaitReady(10 * time.Second)
}

// startProcess starts a process that ends with this one.
func (f *fleet) startProcess(cmd *exec.Cmd) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return errors.New("the case has ended")
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	f.procs[cmd] = true
	return nil
}

// reap waits for the end of a process.
func (f *fleet) reap(cmd *exec.Cmd) {
	_ = cmd.Wait() // A process that was killed ends with an error.
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.procs, cmd)
}

// stop ends all processes that were started, and removes the temporary folder.
func (f *fleet) stop() {
	f.mu.Lock()
	f.ended = true
	var left []*exec.Cmd
	for cmd := range f.procs {
		left = append(left, cmd)
	}
	f.mu.Unlock()
	for _, cmd := range left {
		_ = cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, g := range f.gateways {
		if g.cmd != nil && g.cmd.Process != nil {
			_ = g.cmd.Wait()
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(f.dir, keep)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// awaitReady waits until all gateways answer their readiness check with 200.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, g := range f.gateways {
		for {
			resp, err := client.Get("http://" + g.ready + "/api/readiness")
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// worker is one slot of a service: a process, and its successors after crashes.
type worker struct {
	f       *fleet
	service string
	slots   int
	args    []string
	address string
	zone    string
	index   int
	// downtime is the time until a crashed worker is back.
	downtime time.Duration

	mu      sync.Mutex
	cmd     *exec.Cmd
	id      string
	starts  int
	onLine  func(id, line string)
	onCrash func(id string)
}

// startWorker starts a worker process, writes its entry to the store while it lives, and starts it again under a new
// identifier when it has crashed.
func (f *fleet) startWorker(w *worker) error {
	ports, err := freePorts(1)
	if err != nil {
		return err
	}
	w.f, w.address, w.zone = f, fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("zone-%d", w.index%zones+1)
	return w.launch()
}

func (w *worker) launch() error {
	w.mu.Lock()
	w.starts++
	id := fmt.Sprintf("i-%s-%d-%d", w.service, w.index, w.starts)
	args := append([]string{"worker", "-listen", w.address, "-id", id, "-slots", fmt.Sprint(w.slots)}, w.args...)
	self, err := os.Executable()
	if err != nil {
		w.mu.Unlock()
		return err
	}
	cmd := exec.Command(self, args...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		w.mu.Unlock()
		return err
	}
	born := time.Now()
	if err := w.f.startProcess(cmd); err != nil {
		w.mu.Unlock()
		return err
	}
	w.cmd, w.id = cmd, id
	w.mu.Unlock()
	lines := bufio.NewScanner(out)
	if !lines.Scan() || lines.Text() != "listening" {
		return fmt.Errorf("worker %s does not listen", id)
	}
	gone := make(chan struct{})
	go w.renew(id, born, gone)
	go func() {
		for lines.Scan() {
			w.onLine(id, lines.Text())
		}
		w.f.reap(cmd)
		close(gone)
		w.f.rec.log("worker %s has crashed", id)
		if w.onCrash != nil {
			w.onCrash(id)
		}
		time.Sleep(w.downtime)
		_ = w.launch() // This fails only at the end of the case.
	}()
	return nil
}

// renew writes the entry of a worker at each heartbeat until it is gone; the store removes it three heartbeats later.
func (w *worker) renew(id string, born time.Time, gone <-chan struct{}) {
	key := "servers/" + id
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for n := 1; ; n++ {
		w.f.store.put(key, map[string]any{
			"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": n, "born": born.UnixMilli(),
		})
		select {
		case <-gone:
			time.Sleep(3 * heartbeat)
			w.f.store.remove(key)
			return
		case <-t.C:
		}
	}
}

// kill ends the process of a worker with SIGKILL.
func (w *worker) kill() (id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.cmd.Process.Signal(syscall.SIGKILL)
	return w.id
}

// tomlValue returns the text of the first assignment to a key.
func tomlValue(text, key string) string {
	m := regexp.MustCompile(`(?m)^` + key + `\s*=\s*"([^"]*)"`).FindStringSubmatch(text)
	if m == nil {
		return ""
	}
	return m[1]
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([A-Za-z.]+)\}\}(.*?)\{\{/([A-Za-z.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)
)

// render fills in the template of the settings, as far as that of this project needs it.
func render(text string, fields map[string]any) string {
	text = sectionPattern.ReplaceAllStringFunc(text, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		v := lookup(fields, m[1])
		list, ok := v.([]any)
		if !ok {
			if v == nil {
				return ""
			}
			return m[2]
		}
		var out strings.Builder
		for i, e := range list {
			comma := ","
			if i == len(list)-1 {
				comma = ""
			}
			out.WriteString(strings.NewReplacer("{{.}}", fmt.Sprint(e), "{{,}}", comma).Replace(m[2]))
		}
		return out.String()
	})
	return valuePattern.ReplaceAllStringFunc(text, func(s string) string {
		return fmt.Sprint(lookup(fields, strings.Trim(s, "{}")))
	})
}

func lookup(fields map[string]any, path string) any {
	var v any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[name]
		case []any:
			var i int
			if json.Unmarshal([]byte(name), &i) != nil || i >= len(t) {
				return nil
			}
			v = t[i]
		}
	}
	return v
}
