package relayer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"clementineramp/convictor"
	"clementineramp/platform"
	"clementineramp/registrar"
)

const (
	// calmInterval is the pause between exchanges while the store answers; crashes and members travel by them.
	calmInterval = time.Second
	// urgentInterval is the pause while it does not: a change must then arrive through peers.
	urgentInterval = 250 * time.Millisecond
	// callTime bounds an exchange, which takes milliseconds.
	callTime = 600 * time.Millisecond
	// peerTime is the time after which a peer that nobody has heard of is no longer counted.
	peerTime = 8 * time.Second
	// maxTold bounds the peers that an exchange names.
	maxTold = 32
)

// Peer is another gateway as one gateway knows it.
type Peer struct {
	Address string
	// Age is the time since some gateway last heard from it.
	Age time.Duration
}

// Question is what a gateway asks a peer.
type Question struct {
	From string
	// Configuration and Upstreams are the revisions that it has.
	Configuration uint64
	Upstreams     uint64
	Peers         []Peer
	Crashes       []convictor.Crash
}

// Reply is what is newer at the peer.
type Reply struct {
	Configuration *platform.Document
	Records       []registrar.Record
	// Complete is the revision up to which the peer knows all upstreams.
	Complete uint64
	// Reached says that the peer reaches the store, ConfirmedAge how long ago it last confirmed the configuration.
	Reached      bool
	ConfirmedAge time.Duration
	Peers        []Peer
	Crashes      []convictor.Crash
}

// Knowledge is the part of a gateway that is exchanged.
type Knowledge struct {
	// Document returns the configuration in force as it was published.
	Document func() platform.Document
	// Confirmed returns when the configuration was last confirmed.
	Confirmed func() time.Time
	// Reached reports whether the store answers.
	Reached func() bool
	Adopt   func(d platform.Document, at time.Time, source string) bool
	Confirm func(at time.Time)

	Registry *registrar.Registry
	Crashes  *convictor.Convictor
}

// Config sets up a Relayer.
type Config struct {
	// Address is that of this gateway.
	Address string
	// Seeds are addresses of gateways, which may be stale.
	Seeds []string
	Know  Knowledge
	Dial  func(ctx context.Context, network, address string) (net.Conn, error)
	Log   hclog.Logger
}

// Relayer is safe for concurrent use.
type Relayer struct {
	cfg Config

	mu      sync.Mutex
	heard   map[string]time.Time
	clients map[string]*rpc.Client
	// lost marks the peers whose last exchange failed.
	lost map[string]bool
}

// New returns a relayer.
func New(cfg Config) *Relayer {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: callTime}
		cfg.Dial = d.DialContext
	}
	return &Relayer{
		cfg: cfg, heard: make(map[string]time.Time), clients: make(map[string]*rpc.Client), lost: make(map[string]bool),
	}
}

// Gateways is the receiver of the calls of peers.
type Gateways struct {
	r *Relayer
}

// Exchange answers a peer.
func (g *Gateways) Exchange(q Question, reply *Reply) error {
	now := time.Now()
	g.r.hear(q.From, q.Peers, now)
	k := g.r.cfg.Know
	k.Crashes.Merge(q.Crashes, now)
	if d := k.Document(); d.Revision > q.Configuration {
		reply.Configuration = &d
	}
	reply.Records, reply.Complete = k.Registry.Since(q.Upstreams)
	reply.Reached, reply.ConfirmedAge = k.Reached(), now.Sub(k.Confirmed())
	reply.Crashes = k.Crashes.Crashes(now)
	reply.Peers = g.r.peers(now)
	return nil
}

// Serve answers peers until the listener is closed.
func (r *Relayer) Serve(l net.Listener) error {
	s := rpc.NewServer()
	if err := s.RegisterName("Gateways", &Gateways{r: r}); err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		go s.ServeConn(c)
	}
}

// Run asks peers until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := calmInterval
		if !r.cfg.Know.Reached() {
			interval = urgentInterval
		}
		if peer, ok := r.next(time.Now()); ok {
			r.ask(ctx, peer)
		}
		t := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		_ = c.Close()
	}
}

// next returns a peer to ask: a random one that was heard of, or a seed if there is none, and now and then a seed
// in any case, so that parts of the fleet that started apart find each other.
func (r *Relayer) next(now time.Time) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var known []string
	for a, at := range r.heard {
		if now.Sub(at) < peerTime {
			known = append(known, a)
		}
	}
	slices.Sort(known)
	seeds := slices.DeleteFunc(slices.Clone(r.cfg.Seeds), func(a string) bool { return a == r.cfg.Address })
	const seedShare = 8 // One exchange in this many goes to a seed.
	if len(seeds) > 0 && (len(known) == 0 || rand.IntN(seedShare) == 0) {
		return seeds[rand.IntN(len(seeds))], true
	}
	if len(known) == 0 {
		return "", false
	}
	return known[rand.IntN(len(known))], true
}

// ask exchanges knowledge with one peer.
func (r *Relayer) ask(ctx context.Context, peer string) {
	k := r.cfg.Know
	now := time.Now()
	q := Question{
		From: r.cfg.Address, Configuration: k.Document().Revision, Upstreams: k.Registry.Complete(),
		Peers: r.peers(now), Crashes: k.Crashes.Crashes(now),
	}
	var reply Reply
	if err := r.call(ctx, peer, q, &reply); err != nil {
		r.failed(peer, err)
		return
	}
	r.answered(peer)
	if reply.Configuration != nil {
		k.Adopt(*reply.Configuration, now.Add(-reply.ConfirmedAge), "peer "+peer)
	}
	if reply.Reached {
		k.Confirm(now.Add(-reply.ConfirmedAge))
	}
	k.Registry.MergeChanges(reply.Records, q.Upstreams, reply.Complete, time.Now())
	k.Crashes.Merge(reply.Crashes, time.Now())
	r.hear(peer, reply.Peers, now)
}

func (r *Relayer) call(ctx context.Context, peer string, q Question, reply *Reply) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r.mu.Lock()
	c := r.clients[peer]
	r.mu.Unlock()
	if c == nil {
		conn, err := r.cfg.Dial(ctx, "tcp", peer)
		if err != nil {
			return err
		}
		c = rpc.NewClient(conn)
		r.mu.Lock()
		r.clients[peer] = c
		r.mu.Unlock()
	}
	call := c.Go("Gateways.Exchange", q, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Relayer) failed(peer string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.clients[peer]; c != nil {
		_ = c.Close()
		delete(r.clients, peer)
	}
	delete(r.heard, peer)
	if !r.lost[peer] {
		r.lost[peer] = true
		r.cfg.Log.Warn("peer_lost", "peer", peer, "error", err.Error())
	}
}

func (r *Relayer) answered(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost[peer] {
		delete(r.lost, peer)
		r.cfg.Log.Info("peer_reached", "peer", peer)
	}
}

// hear notes that a peer lives, and what it knows of others.
func (r *Relayer) hear(from string, others []Peer, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(from, now)
	for _, p := range others {
		if p.Age >= 0 && p.Age < peerTime {
			r.note(p.Address, now.Add(-p.Age))
		}
	}
	for a, at := range r.heard {
		if now.Sub(at) >= peerTime {
			delete(r.heard, a)
		}
	}
}

func (r *Relayer) note(address string, at time.Time) {
	if address != "" && address != r.cfg.Address && at.After(r.heard[address]) {
		r.heard[address] = at
	}
}

func (r *Relayer) peers(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []Peer
	for a, at := range r.heard {
		if len(all) < maxTold {
			all = append(all, Peer{Address: a, Age: now.Sub(at)})
		}
	}
	return all
}

// Gateways returns the number of gateways that live, this one included.
func (r *Relayer) Gateways() int {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, at := range r.heard {
		if now.Sub(at) < peerTime {
			n++
		}
	}
	return n
}
