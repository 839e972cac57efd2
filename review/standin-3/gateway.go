package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// gateway is a process of the project, started with the command of the deploy file.
type gateway struct {
	name, zone, ip               string
	listen, ready, peer, metrics string
	program, file, dir           string
	log                          *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// disturbed holds the times from which on and up to which the gateway was out of order: signals, starts, cuts.
	disturbed [][2]time.Time
	done      chan struct{}
	storeLink *cutLink
	// rotation is set while clients are sent here.
	rotation bool
}

// freePort returns a port of an address that nothing listens on.
func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newGateways prepares gateways with settings as the deploy file's template fills them in. Each has a loopback address of its
// own, like a machine.
func newGateways(program, dir, storeAddr string, zones []string) []*gateway {
	var all []*gateway
	for i, zone := range zones {
		g := &gateway{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.0.1.%d", i+10), program: program, dir: dir}
		g.listen, g.ready, g.peer, g.metrics = freePort(g.ip), freePort(g.ip), freePort(g.ip), freePort(g.ip)
		all = append(all, g)
	}
	var seeds []string
	for i := range min(3, len(all)) {
		seeds = append(seeds, all[i].peer)
	}
	for _, g := range all {
		settings := map[string]any{
			"name": g.name, "region": "svealand", "failure_domain": g.zone, "listen": g.listen, "ready_listen": g.ready,
			"peer_listen": g.peer, "metrics_listen": g.metrics, "store": g.store(storeAddr), "peers": seeds, "memory": "284MB", "link": 1000,
			"propagation": "2000ms", "heartbeat": "1200ms", "grace": "8s", "learn_limits": true,
			"retries": map[string]any{"ratio": 0.2, "window": "10s", "extra": 56},
		}
		data, _ := json.Marshal(settings)
		g.file = filepath.Join(dir, g.name+".json")
		if err := os.WriteFile(g.file, data, 0o644); err != nil {
			fail("settings: %v", err)
		}
		f, err := os.Create(filepath.Join(dir, g.name+".log"))
		if err != nil {
			fail("log: %v", err)
		}
		g.log = f
	}
	return all
}

// store returns the address under which the gateway reaches the store.
func (g *gateway) store(addr string) string {
	if g.storeLink == nil {
		g.storeLink = newCutLink(g.ip, addr)
	}
	return g.storeLink.addr
}

func (g *gateway) start() {
	cmd := exec.Command(g.program, "gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.dir, "CLEMENTINERAMP_NODE_FILE=" + g.file}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", g.name, err)
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); close(done) }()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd, g.done = cmd, done
	g.disturb()
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.disturb()
	_ = g.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (g *gateway) kill() {
	g.signal(syscall.SIGKILL)
	<-g.done
}

// term asks the process to stop, kills it at the end of the grace period, and returns once it has ended.
func (g *gateway) term() {
	g.signal(syscall.SIGTERM)
	select {
	case <-g.done:
	case <-time.After(8 * time.Second):
		g.kill()
	}
}

// isReady asks for readiness as the platform does.
func (g *gateway) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + g.ready + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// inRotation reports whether clients are sent to the gateway.
func (g *gateway) inRotation() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rotation
}

// watchReadiness asks each second for readiness, as the platform does, until stop is closed. Two misses take the gateway out.
func (g *gateway) watchReadiness(stop <-chan struct{}) {
	misses := 2
	for {
		if g.isReady() {
			misses = 0
		} else {
			misses++
		}
		g.mu.Lock()
		g.rotation = misses < 2
		g.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// disturb records a moment at which the gateway was out of order. The caller holds g.mu.
func (g *gateway) disturb() {
	now := time.Now()
	g.disturbed = append(g.disturbed, [2]time.Time{now, now})
}

// cutStore cuts the link to the store, or mends it.
func (g *gateway) cutStore(cut bool) {
	g.storeLink.set(cut)
	g.mu.Lock()
	defer g.mu.Unlock()
	if cut {
		g.disturb()
	} else {
		g.disturbed[len(g.disturbed)-1][1] = time.Now()
	}
}

// inTouch reports whether the gateway was in touch from one moment to another: nothing has disturbed it since contactTime before.
func (g *gateway) inTouch(from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, d := range g.disturbed {
		if d[0].Before(to) && d[1].After(from.Add(-contactTime)) {
			return false
		}
	}
	return true
}
