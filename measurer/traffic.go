package measurer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"clementineramp/launcher"
)

// countedNetwork is the network of one process. It counts the bytes of the connections and can block an address.
type countedNetwork struct {
	mu sync.Mutex
	// bytes counts sent and received bytes by dialled address; those of accepted connections are counted under "".
	bytes         map[string]*atomic.Int64
	listenerCount int
	// blocked is the address that the process cannot reach; empty means none.
	blocked string
	// openConns holds the dialled connections by address, so that block can close them.
	openConns map[string][]net.Conn
}

// controlListener is the index of the control listener in the order in which a process opens its listeners.
const controlListener = 1

func newCountedNetwork() *countedNetwork {
	return &countedNetwork{bytes: map[string]*atomic.Int64{}, openConns: map[string][]net.Conn{}}
}

// network returns the functions by which the process listens and dials. Of the accepted connections only those of the
// control listener are counted.
func (nw *countedNetwork) network() launcher.Network {
	return launcher.Network{Listen: nw.listen, Dial: nw.dial}
}

func (nw *countedNetwork) listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.listenerCount++
	if err != nil || nw.listenerCount != controlListener+1 {
		return l, err
	}
	return countedListener{l, nw}, nil
}

func (nw *countedNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	nw.mu.Lock()
	blocked := nw.blocked == address
	nw.mu.Unlock()
	if blocked {
		return nil, trace.ConnectionProblem(nil, "connections to %s are blocked by the measurement", address)
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	nw.mu.Lock()
	nw.openConns[address] = append(nw.openConns[address], c)
	nw.mu.Unlock()
	return &countedConn{Conn: c, bytes: nw.counter(address)}, nil
}

func (nw *countedNetwork) counter(address string) *atomic.Int64 {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if nw.bytes[address] == nil {
		nw.bytes[address] = &atomic.Int64{}
	}
	return nw.bytes[address]
}

// block closes the connections to an address and makes new ones fail, until unblock is called.
func (nw *countedNetwork) block(address string) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.blocked = address
	for _, c := range nw.openConns[address] {
		_ = c.Close()
	}
	delete(nw.openConns, address)
}

// unblock allows connections to the blocked address again.
func (nw *countedNetwork) unblock() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.blocked = ""
}

// total returns the bytes sent and received, without those of connections to the excluded addresses.
func (nw *countedNetwork) total(excluded map[string]bool) float64 {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	var sum int64
	for address, n := range nw.bytes {
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
