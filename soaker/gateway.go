package soaker

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"clementineramp/platform"
	"clementineramp/spawner"
)

const (
	// portBase is the first port of gateways and links; their ports lie below the ephemeral range of common systems, so that
	// no outgoing connection uses one of them.
	portBase = 12000
	// ports is the number of ports that all soaks of this process use in turn. A port comes up again long after it was closed:
	// gateways still send requests to the address of an upstream that has just crashed, and no other fleet may answer them.
	ports = 18000
)

var nextPort atomic.Int32

// listen listens on the next loopback address that no process listens on.
func listen() net.Listener {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", portBase+int(nextPort.Add(1))%ports)
		if l, err := net.Listen("tcp", address); err == nil {
			return l
		}
	}
}

// newAddress returns a loopback address with a port that no process listens on.
func newAddress() string {
	l := listen()
	_ = l.Close()
	return l.Addr().String()
}

// gateway is a gateway process with the links on its connections from callers and to the store.
type gateway struct {
	n             int
	process       spawner.Process
	file          string
	listenAddress string
	readyAddress  string
	peerAddress   string
	callerLink    *link
	storeLink     *link

	// faultMu is held while a fault of the process runs.
	faultMu  sync.Mutex
	settings map[string]any

	mu sync.Mutex
	// ready is the result of the latest readiness probe.
	ready bool
	// inRotation is the time until which callers are sent to the gateway whatever the probe says.
	inRotation time.Time
}

func (s *soak) newGateway(n int) *gateway {
	g := &gateway{n: n, listenAddress: newAddress(), readyAddress: newAddress(), peerAddress: newAddress()}
	g.file = filepath.Join(s.cfg.Dir, fmt.Sprintf("gateway-%d.json", n))
	g.process = spawner.Process{
		Name: fmt.Sprintf("gateway-%d", n), Command: append(append([]string{}, s.cfg.Command...), "--settings", g.file), Env: s.cfg.Env,
	}
	g.callerLink, g.storeLink = newLink(g.listenAddress), newLink(s.storeAddress)
	return g
}

// writeSettings writes the settings file. retries is the number of retries that the fleet allows in each window in
// addition to retryRatio.
func (g *gateway) writeSettings(seeds []string, retries int) error {
	g.settings = map[string]any{
		"name": g.process.Name, "region": "r", "failure_domain": fmt.Sprintf("domain-%d", g.n%3), "listen": g.listenAddress,
		"ready_listen": g.readyAddress, "peer_listen": g.peerAddress, "metrics_listen": newAddress(), "store": g.storeLink.address(), "peers": seeds,
		"propagation": "2s", "grace": grace.String(),
		"retries": map[string]any{"ratio": retryRatio, "window": retryWindow.String(), "extra": retries},
	}
	return g.rewriteSettings(nil)
}

// rewriteSettings writes data to the settings file, or the current settings if data is nil.
func (g *gateway) rewriteSettings(data []byte) error {
	if data == nil {
		var err error
		if data, err = json.Marshal(g.settings); err != nil {
			return err
		}
	}
	return os.WriteFile(g.file, data, 0o600)
}

func (g *gateway) isReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready
}

// keepInRotation makes callers use the gateway for d, as the platform does until its second readiness probe has failed.
func (g *gateway) keepInRotation(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inRotation = time.Now().Add(d)
}

// receivesCallers reports whether new connections may be opened to the gateway.
func (g *gateway) receivesCallers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ready || time.Now().Before(g.inRotation)
}

// probeReadiness requests the readiness of the gateway and stores the result.
func (g *gateway) probeReadiness(client *http.Client) {
	resp, err := client.Get("http://" + g.readyAddress + platform.ReadyPath)
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ready = ready
}

// hasStarted reports whether the process has started to serve. Before that it handles no signals, and a signal has its
// default effect, which ends the process.
func (g *gateway) hasStarted() bool {
	return strings.Count(g.process.Log.String(), "event=started") == g.process.Starts
}

// restart ends the process with a signal, which may start a graceful shutdown, and starts it again.
func (g *gateway) restart(sig syscall.Signal) error {
	if err := g.process.Signal(sig); err != nil {
		return err
	}
	select {
	case <-g.process.Done():
	case <-time.After(grace + time.Second):
		g.process.Kill()
		return fmt.Errorf("%s did not exit within its grace period plus 1 s", g.process.Name)
	}
	if err := g.process.Err(); sig == syscall.SIGTERM && g.hasStarted() && err != nil {
		return fmt.Errorf("%s exited after SIGTERM with %w", g.process.Name, err)
	}
	return g.process.Start()
}
