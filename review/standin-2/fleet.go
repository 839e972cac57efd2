package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	name              string
	listen, ready     string
	peer, metricsAddr string
	file              string
	cmd               *exec.Cmd
	exited            chan struct{}
	logFile           string
	// out is set while the platform sends the gateway no new connections.
	out atomic.Bool
}

// fleet is a set of gateways with the stand-ins that they use.
type fleet struct {
	dir      string
	store    *store
	gateways []*gateway
	program  string

	// mu guards workers where they start again during a run.
	mu      sync.Mutex
	workers []*worker
}

func newFleet(program string, gateways int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program}
	if f.store, err = newStore(); err != nil {
		return nil, err
	}
	// Each fleet has a loopback address of its own, so that no outgoing connection takes one of its ports meanwhile. The
	// listeners that find free ports are closed together, so that no two get the same one.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(200), rand.IntN(200), 1+rand.IntN(200))
	for i := range gateways {
		g := &gateway{name: fmt.Sprintf("edge-%d", i+1)}
		for _, a := range []*string{&g.listen, &g.ready, &g.peer, &g.metricsAddr} {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
			if err != nil {
				return nil, err
			}
			defer l.Close()
			*a = l.Addr().String()
		}
		g.file = filepath.Join(dir, g.name+".json")
		g.logFile = filepath.Join(dir, g.name+".log")
		f.gateways = append(f.gateways, g)
	}
	return f, nil
}

// writeSettings writes the settings that the platform makes from the template of the deploy file.
func (f *fleet) writeSettings(g *gateway, domain string) error {
	seeds := []string{}
	for _, other := range f.gateways[:min(3, len(f.gateways))] {
		seeds = append(seeds, other.peer)
	}
	data, err := json.MarshalIndent(map[string]any{
		"name": g.name, "region": "svealand", "failure_domain": domain, "listen": g.listen, "ready_listen": g.ready,
		"peer_listen": g.peer, "metrics_listen": g.metricsAddr, "store": f.store.address, "peers": seeds, "memory": "284MB",
		"link": 1000.0, "propagation": "2000ms", "heartbeat": "1200ms", "grace": "8s", "learn_limits": true,
		"retries": map[string]any{"ratio": 0.2, "window": "10s", "extra": 56},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(g.file, data, 0o600)
}

// start starts the process of a gateway.
func (f *fleet) start(g *gateway) error {
	out, err := os.OpenFile(g.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(f.program, "gateway")
	cmd.Env = []string{"CLEMENTINERAMP_NODE_FILE=" + g.file, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (g *gateway) signal(s syscall.Signal) { _ = g.cmd.Process.Signal(s) }

// startAll starts all gateways and waits until they are ready.
func (f *fleet) startAll() error {
	domains := []string{"malaren", "hjalmaren", "vanern"}
	for i, g := range f.gateways {
		if err := f.writeSettings(g, domains[i%3]); err != nil {
			return err
		}
		if err := f.start(g); err != nil {
			return err
		}
	}
	for _, g := range f.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (g *gateway) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + g.ready + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.isReady() {
			return nil
		}
	}
	return errors.New(g.name + " is not ready")
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, g := range f.gateways {
		if g.cmd == nil {
			continue
		}
		g.signal(syscall.SIGCONT)
		_ = g.cmd.Process.Kill()
		<-g.exited
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.close()
	}
	_ = f.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
