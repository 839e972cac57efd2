package relayer

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"clementineramp/convictor"
	"clementineramp/placer"
	"clementineramp/platform"
	"clementineramp/registrar"
)

const (
	// interval is the pause between exchanges: a change reaches the gateways that do not read the store by them, and
	// the loads of upstreams, which change within a few hundred milliseconds.
	interval = 300 * time.Millisecond
	// anyShare is the share of exchanges, one in this many, that go to any peer rather than to one that reads the
	// store: they carry loads, members and crashes.
	anyShare = 2
	// callTime bounds an exchange. It takes milliseconds, or up to 0.3 s with a configuration of 1,200 routes over a
	// link of 10 Mbit/s.
	callTime = time.Second
	// spread is the number of peers that a gateway turns to at once when it has learned something new.
	spread = 2
	// queuedWakes bounds the peers that wait to be turned to.
	queuedWakes = 8
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
	// Link is the speed of its host's link in Mbit/s; zero means unknown.
	Link float64
	// Saturated gateways get less processor time than they need.
	Saturated bool
}

// Question is what a gateway asks a peer.
type Question struct {
	From string
	// Link is the speed of the link of the gateway that asks, in Mbit/s, and Saturated its state.
	Link      float64
	Saturated bool
	// Configuration and Upstreams are the revisions that it has.
	Configuration uint64
	Upstreams     uint64
	// Newest is the revision of the newest change of an upstream that it knows.
	Newest  uint64
	Peers   []Peer
	Crashes []convictor.CrashReport
	Loads   []placer.LoadReport
}

// Packed is a configuration as it was published, compressed.
type Packed struct {
	Revision uint64
	Data     []byte
}

// Reply is what is newer at the peer.
type Reply struct {
	Configuration *Packed
	Records       []registrar.Record
	// Complete is the revision up to which the peer knows all upstreams.
	Complete uint64
	// Reached says that the peer reaches the store, ConfirmedAge how long ago it last confirmed the configuration.
	Reached      bool
	ConfirmedAge time.Duration
	// OutageAge is the time since the end of the last outage of the store that the peer knows; it is negative for none.
	OutageAge time.Duration
	// Saturated is the state of the peer.
	Saturated bool
	Peers     []Peer
	Crashes   []convictor.CrashReport
	Loads     []placer.LoadReport
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
	// Contact notes, before records are merged, that the store answered a peer at a time, and the age of the last
	// outage that the peer knows.
	Contact func(at time.Time, outageAge time.Duration)

	Registry *registrar.Registry
	Crashes  *convictor.Tracker
	// Loads returns the newest loads of upstreams, and MergeLoads takes those of a peer.
	Loads      func(now time.Time) []placer.LoadReport
	MergeLoads func(loads []placer.LoadReport, now time.Time)
}

// Config sets up a Relayer.
type Config struct {
	// Address is that of this gateway.
	Address string
	// Seeds are addresses of gateways, which may be stale.
	Seeds []string
	// Link is the speed of the own host's link in Mbit/s; zero means unknown.
	Link float64
	// Readers is the number of gateways that read the store for all.
	Readers int
	// Saturated reports whether this gateway gets less processor time than it needs; nil means never.
	Saturated func() bool
	Know      Knowledge
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Log       hclog.Logger
}

// Relayer is safe for concurrent use.
type Relayer struct {
	cfg Config

	// wake holds the peers to turn to at once.
	wake chan string

	packMu sync.Mutex
	packed Packed

	mu      sync.Mutex
	heard   map[string]member
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
		cfg: cfg, wake: make(chan string, queuedWakes), heard: make(map[string]member), clients: make(map[string]*rpc.Client), lost: make(map[string]bool),
	}
}

// Gateways is the receiver of the calls of peers.
type Gateways struct {
	r *Relayer
}

// Exchange answers a peer.
func (g *Gateways) Exchange(q Question, reply *Reply) error {
	now := time.Now()
	g.r.hear(Peer{Address: q.From, Link: q.Link, Saturated: q.Saturated}, q.Peers, now)
	k := g.r.cfg.Know
	k.Crashes.Merge(q.Crashes, now)
	reply.Loads = k.Loads(now)
	k.MergeLoads(q.Loads, now)
	// The configuration comes last, so that it is never older than the revision up to which the list is complete.
	reply.Records, reply.Complete = k.Registry.RecordsSince(q.Upstreams)
	own := k.Document()
	if own.Revision > q.Configuration {
		packed, err := g.r.pack(own)
		if err != nil {
			return err
		}
		reply.Configuration = &packed
	}
	if q.Configuration > own.Revision || q.Newest > k.Registry.NewestRevision() {
		g.r.wakeFor(q.From)
	}
	reply.Reached, reply.ConfirmedAge = k.Reached(), now.Sub(k.Confirmed())
	reply.OutageAge = k.Registry.TimeSinceOutage(now)
	reply.Crashes = k.Crashes.Reports(now)
	reply.Peers = g.r.peers(now)
	reply.Saturated = g.r.saturated()
	return nil
}

// pack compresses a configuration, once for all peers.
func (r *Relayer) pack(d platform.Document) (Packed, error) {
	r.packMu.Lock()
	defer r.packMu.Unlock()
	if r.packed.Revision == d.Revision {
		return r.packed, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return Packed{}, err
	}
	if _, err := w.Write(d.Data); err != nil {
		return Packed{}, err
	}
	if err := w.Close(); err != nil {
		return Packed{}, err
	}
	r.packed = Packed{Revision: d.Revision, Data: b.Bytes()}
	return r.packed, nil
}

// maxDocument bounds a configuration: the store holds values of up to 1 MB.
const maxDocument = 4 << 20

func (p *Packed) unpack() (platform.Document, error) {
	z, err := gzip.NewReader(bytes.NewReader(p.Data))
	if err != nil {
		return platform.Document{}, err
	}
	data, err := io.ReadAll(io.LimitReader(z, maxDocument))
	if err != nil {
		return platform.Document{}, err
	}
	return platform.Document{Revision: p.Revision, Data: data}, nil
}

// wakeFor makes Run turn to a peer at once, or to any if peer is empty; it never blocks.
func (r *Relayer) wakeFor(peer string) {
	select {
	case r.wake <- peer:
	default:
	}
}

// Spread tells some peers at once that this gateway knows something new.
func (r *Relayer) Spread() {
	for range spread {
		r.wakeFor("")
	}
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
	peer := ""
	for ctx.Err() == nil {
		if peer == "" {
			peer, _ = r.next(time.Now())
		}
		if peer != "" {
			r.ask(ctx, peer)
		}
		peer = ""
		t := time.NewTimer(interval/2 + rand.N(interval))
		select {
		case <-ctx.Done():
		case <-t.C:
		case peer = <-r.wake:
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
	for a, m := range r.heard {
		if now.Sub(m.at) < peerTime {
			known = append(known, a)
		}
	}
	slices.Sort(known)
	readers := slices.DeleteFunc(Readers(r.members(now), r.cfg.Readers), func(a string) bool { return a == r.cfg.Address })
	if len(readers) > 0 && rand.IntN(anyShare) != 0 {
		return readers[rand.IntN(len(readers))], true
	}
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
		From: r.cfg.Address, Link: r.cfg.Link, Saturated: r.saturated(), Configuration: k.Document().Revision, Upstreams: k.Registry.CompleteRevision(), Newest: k.Registry.NewestRevision(),
		Peers: r.peers(now), Crashes: k.Crashes.Reports(now), Loads: k.Loads(now),
	}
	var reply Reply
	if err := r.call(ctx, peer, q, &reply); err != nil {
		r.failed(peer, err)
		return
	}
	r.answered(peer)
	if reply.Reached {
		k.Contact(now.Add(-reply.ConfirmedAge), reply.OutageAge)
	}
	news := false
	if reply.Configuration != nil {
		d, err := reply.Configuration.unpack()
		if err != nil {
			r.cfg.Log.Error("peer_configuration_unreadable", "peer", peer, "revision", reply.Configuration.Revision, "error", err.Error())
			return
		}
		news = k.Adopt(d, now.Add(-reply.ConfirmedAge), "peer "+peer)
	}
	if reply.Reached {
		k.Confirm(now.Add(-reply.ConfirmedAge))
	}
	k.MergeLoads(reply.Loads, time.Now())
	news = k.Registry.MergeChanges(reply.Records, q.Upstreams, reply.Complete, time.Now()) || news
	if news {
		r.Spread()
	}
	k.Crashes.Merge(reply.Crashes, time.Now())
	r.hear(Peer{Address: peer, Saturated: reply.Saturated}, reply.Peers, now)
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
