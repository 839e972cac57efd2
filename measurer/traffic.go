package measurer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"clementineramp/launcher"
)

// traffic counts the bytes of one process's connections, and can cut it off from an address.
type countedNetwork struct {
	mu sync.Mutex
	// bytes counts sent and received bytes by the address that was dialled; those of accepted connections stand under "".
	bytes         map[string]*atomic.Int64
	listenerCount int
	// cut is the address that the process cannot reach; empty means none.
	blocked   string
	openConns map[string][]net.Conn
}

// controlListener is the index of the control listener among those that a process opens.
const controlListener = 1

func newCountedNetwork() *countedNetwork {
	return &countedNetwork{bytes: map[string]*atomic.Int64{}, openConns: map[string][]net.Conn{}}
}

// network returns the network of the process; of its listeners only the one for peers counts.
func (t *countedNetwork) network() launcher.Network {
	return launcher.Network{Listen: t.listen, Dial: t.dial}
}

func (t *countedNetwork) listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listenerCount++
	if err != nil || t.listenerCount != controlListener+1 {
		return l, err
	}
	return countedListener{l, t}, nil
}

func (t *countedNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	t.mu.Lock()
	blocked := t.blocked == address
	t.mu.Unlock()
	if blocked {
		return nil, trace.ConnectionProblem(nil, "%s is cut off", address)
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	t.openConns[address] = append(t.openConns[address], c)
	t.mu.Unlock()
	return &countedConn{Conn: c, bytes: t.counter(address)}, nil
}

func (t *countedNetwork) counter(address string) *atomic.Int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.bytes[address] == nil {
		t.bytes[address] = &atomic.Int64{}
	}
	return t.bytes[address]
}

// cutOff ends the connections to an address and refuses new ones.
func (t *countedNetwork) block(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked = address
	for _, c := range t.openConns[address] {
		_ = c.Close()
	}
	delete(t.openConns, address)
}

// rejoin ends the cut.
func (t *countedNetwork) unblock() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blocked = ""
}

// total returns the bytes sent and received, without those of the connections to some addresses.
func (t *countedNetwork) total(excluded map[string]bool) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum int64
	for address, n := range t.bytes {
		if !excluded[address] {
			sum += n.Load()
		}
	}
	return float64(sum)
}

type countedListener struct {
	net.Listener
	network *countedNetwork
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, bytes: l.network.counter("")}, nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
