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
	// exchangeInterval is the pause between exchanges: a change reaches the gateways that do not read the store by them, and
	// the loads of upstreams, which change within a few hundred milliseconds.
	exchangeInterval = 300 * time.Millisecond
	// randomPeerEvery is the share of exchanges, one in this many, that go to any peer rather than to one that reads the
	// store: they carry loads, members and crashes.
	randomPeerEvery = 2
	// callTimeout bounds an exchange. It takes milliseconds, or up to 0.3 s with a configuration of 1,200 routes over a
	// link of 10 Mbit/s.
	callTimeout = time.Second
	// notifiedPeers is the number of peers that a gateway turns to at once when it has learned something new.
	notifiedPeers = 2
	// wakeQueueSize bounds the peers that wait to be turned to.
	wakeQueueSize = 8
	// peerTTL is the time after which a peer that nobody has heard of is no longer counted.
	peerTTL = 8 * time.Second
	// maxListedPeers bounds the peers that an exchange names.
	maxListedPeers = 32
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

// Request is what a gateway asks a peer.
type Request struct {
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
	Crashes []convictor.Crash
	Loads   []placer.Report
}

// CompressedDocument is a configuration as it was published, compressed.
type CompressedDocument struct {
	Revision uint64
	Data     []byte
}

// Reply is what is newer at the peer.
type Reply struct {
	Configuration *CompressedDocument
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
	Crashes   []convictor.Crash
	Loads     []placer.Report
}

// State is the part of a gateway that is exchanged.
type State struct {
	// Document returns the configuration in force as it was published.
	Document func() platform.Document
	// Confirmed returns when the configuration was last confirmed.
	Confirmed func() time.Time
	// Reached reports whether the store answers.
	Reached func() bool
	Adopt   func(d platform.Document, at time.Time, source string) bool
	Confirm func(at time.Time)
	// PeerReachedStore notes, before records are merged, that the store answered a peer at a time, and the age of the last
	// outage that the peer knows.
	PeerReachedStore func(at time.Time, outageAge time.Duration)

	Registry *registrar.Registry
	Crashes  *convictor.Convictor
	// Loads returns the newest loads of upstreams, and MergeLoads takes those of a peer.
	Loads      func(now time.Time) []placer.Report
	MergeLoads func(loads []placer.Report, now time.Time)
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
	State     State
	Dial      func(ctx context.Context, network, address string) (net.Conn, error)
	Log       hclog.Logger
}

// Relayer is safe for concurrent use.
type Relayer struct {
	cfg Config

	// wake holds the peers to turn to at once.
	wake chan string

	compressMu sync.Mutex
	compressed CompressedDocument

	mu      sync.Mutex
	known   map[string]member
	clients map[string]*rpc.Client
	// lost marks the peers whose last exchange failed.
	unreachable map[string]bool
}

// New returns a relayer.
func New(cfg Config) *Relayer {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: callTimeout}
		cfg.Dial = d.DialContext
	}
	return &Relayer{
		cfg: cfg, wake: make(chan string, wakeQueueSize), known: make(map[string]member), clients: make(map[string]*rpc.Client), unreachable: make(map[string]bool),
	}
}

// Gateways is the receiver of the calls of peers.
type Gateways struct {
	r *Relayer
}

// Exchange answers a peer.
func (g *Gateways) Exchange(req Request, reply *Reply) error {
	now := time.Now()
	g.r.recordPeers(Peer{Address: req.From, Link: req.Link, Saturated: req.Saturated}, req.Peers, now)
	state := g.r.cfg.State
	state.Crashes.Merge(req.Crashes, now)
	reply.Loads = state.Loads(now)
	state.MergeLoads(req.Loads, now)
	// The configuration comes last, so that it is never older than the revision up to which the list is complete.
	reply.Records, reply.Complete = state.Registry.Since(req.Upstreams)
	own := state.Document()
	if own.Revision > req.Configuration {
		compressed, err := g.r.compress(own)
		if err != nil {
			return err
		}
		reply.Configuration = &compressed
	}
	if req.Configuration > own.Revision || req.Newest > state.Registry.Newest() {
		g.r.requestExchange(req.From)
	}
	reply.Reached, reply.ConfirmedAge = state.Reached(), now.Sub(state.Confirmed())
	reply.OutageAge = state.Registry.OutageAge(now)
	reply.Crashes = state.Crashes.Crashes(now)
	reply.Peers = g.r.otherMembers(now)
	reply.Saturated = g.r.saturated()
	return nil
}

// pack compresses a configuration, once for all peers.
func (r *Relayer) compress(d platform.Document) (CompressedDocument, error) {
	r.compressMu.Lock()
	defer r.compressMu.Unlock()
	if r.compressed.Revision == d.Revision {
		return r.compressed, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return CompressedDocument{}, err
	}
	if _, err := w.Write(d.Data); err != nil {
		return CompressedDocument{}, err
	}
	if err := w.Close(); err != nil {
		return CompressedDocument{}, err
	}
	r.compressed = CompressedDocument{Revision: d.Revision, Data: b.Bytes()}
	return r.compressed, nil
}

// maxDocumentBytes bounds a configuration: the store holds values of up to 1 MB.
const maxDocumentBytes = 4 << 20

func (p *CompressedDocument) decompress() (platform.Document, error) {
	z, err := gzip.NewReader(bytes.NewReader(p.Data))
	if err != nil {
		return platform.Document{}, err
	}
	data, err := io.ReadAll(io.LimitReader(z, maxDocumentBytes))
	if err != nil {
		return platform.Document{}, err
	}
	return platform.Document{Revision: p.Revision, Data: data}, nil
}

// wakeFor makes Run turn to a peer at once, or to any if peer is empty; it never blocks.
func (r *Relayer) requestExchange(peer string) {
	select {
	case r.wake <- peer:
	default:
	}
}

// NotifyPeers tells some peers at once that this gateway knows something new.
func (r *Relayer) NotifyPeers() {
	for range notifiedPeers {
		r.requestExchange("")
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
			peer, _ = r.nextPeer(time.Now())
		}
		if peer != "" {
			r.exchange(ctx, peer)
		}
		peer = ""
		t := time.NewTimer(exchangeInterval/2 + rand.N(exchangeInterval))
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
func (r *Relayer) nextPeer(now time.Time) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []string
	for a, m := range r.known {
		if now.Sub(m.at) < peerTTL {
			live = append(live, a)
		}
	}
	slices.Sort(live)
	readers := slices.DeleteFunc(Readers(r.liveMembers(now), r.cfg.Readers), func(a string) bool { return a == r.cfg.Address })
	if len(readers) > 0 && rand.IntN(randomPeerEvery) != 0 {
		return readers[rand.IntN(len(readers))], true
	}
	seeds := slices.DeleteFunc(slices.Clone(r.cfg.Seeds), func(a string) bool { return a == r.cfg.Address })
	const seedEvery = 8 // One exchange in this many goes to a seed.
	if len(seeds) > 0 && (len(live) == 0 || rand.IntN(seedEvery) == 0) {
		return seeds[rand.IntN(len(seeds))], true
	}
	if len(live) == 0 {
		return "", false
	}
	return live[rand.IntN(len(live))], true
}

// ask exchanges knowledge with one peer.
func (r *Relayer) exchange(ctx context.Context, peer string) {
	state := r.cfg.State
	now := time.Now()
	req := Request{
		From: r.cfg.Address, Link: r.cfg.Link, Saturated: r.saturated(), Configuration: state.Document().Revision, Upstreams: state.Registry.Complete(), Newest: state.Registry.Newest(),
		Peers: r.otherMembers(now), Crashes: state.Crashes.Crashes(now), Loads: state.Loads(now),
	}
	var reply Reply
	if err := r.call(ctx, peer, req, &reply); err != nil {
		r.exchangeFailed(peer, err)
		return
	}
	r.exchangeSucceeded(peer)
	if reply.Reached {
		state.PeerReachedStore(now.Add(-reply.ConfirmedAge), reply.OutageAge)
	}
	updated := false
	if reply.Configuration != nil {
		d, err := reply.Configuration.decompress()
		if err != nil {
			r.cfg.Log.Error("peer_configuration_unreadable", "peer", peer, "revision", reply.Configuration.Revision, "error", err.Error())
			return
		}
		updated = state.Adopt(d, now.Add(-reply.ConfirmedAge), "peer "+peer)
	}
	if reply.Reached {
		state.Confirm(now.Add(-reply.ConfirmedAge))
	}
	state.MergeLoads(reply.Loads, time.Now())
	updated = state.Registry.MergeChanges(reply.Records, req.Upstreams, reply.Complete, time.Now()) || updated
	if updated {
		r.NotifyPeers()
	}
	state.Crashes.Merge(reply.Crashes, time.Now())
	r.recordPeers(Peer{Address: peer, Saturated: reply.Saturated}, reply.Peers, now)
}

func (r *Relayer) call(ctx context.Context, peer string, req Request, reply *Reply) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	call := c.Go("Gateways.Exchange", req, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Relayer) exchangeFailed(peer string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.clients[peer]; c != nil {
		_ = c.Close()
		delete(r.clients, peer)
	}
	delete(r.known, peer)
	if !r.unreachable[peer] {
		r.unreachable[peer] = true
		r.cfg.Log.Warn("peer_lost", "peer", peer, "error", err.Error())
	}
}

func (r *Relayer) exchangeSucceeded(peer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreachable[peer] {
		delete(r.unreachable, peer)
		r.cfg.Log.Info("peer_reached", "peer", peer)
	}
}
