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

	"clementineramp/blocker"
	"clementineramp/placer"
	"clementineramp/platform"
	"clementineramp/registrar"
)

const (
	// exchangeInterval is the mean pause between exchanges. Exchanges are the only source of changes for gateways that do
	// not read the store. For all gateways they are the source of loads reported to other gateways, which change within a
	// few hundred milliseconds.
	exchangeInterval = 300 * time.Millisecond
	// On average, one in randomPeerEvery exchanges goes to a random peer rather than to one that reads the store. These
	// exchanges spread loads, members and crash reports.
	randomPeerEvery = 2
	// callTimeout bounds an exchange. An exchange takes milliseconds, or up to 0.3 s with a configuration of 1,200
	// routes over a link of 10 Mbit/s.
	callTimeout = time.Second
	// notifiedPeers is the number of exchanges that a gateway starts without delay when it has received an update.
	notifiedPeers = 2
	// wakeQueueSize bounds the queue of immediate exchanges.
	wakeQueueSize = 8
	// peerTTL is the time since the last exchange of any gateway with a peer after which the peer no longer counts as live.
	peerTTL = 8 * time.Second
	// maxListedPeers bounds the number of peers listed in a request or a reply.
	maxListedPeers = 32
)

// Peer describes a gateway to another one.
type Peer struct {
	Address string
	// Age is the time since some gateway last exchanged state with it.
	Age time.Duration
	// Link is the speed of the network link of its host in Mbit/s; zero means unknown.
	Link float64
	// Saturated is set if the gateway gets less processor time than it needs.
	Saturated bool
}

// Request is the argument of an exchange: the state of the sender.
type Request struct {
	From string
	// Link and Saturated describe the sender, as in Peer.
	Link      float64
	Saturated bool
	// Configuration is the revision of the sender's configuration, and Upstreams the one up to which it has all changes
	// of upstreams.
	Configuration uint64
	Upstreams     uint64
	// Newest is the revision of the newest change of an upstream that the sender has received.
	Newest  uint64
	Peers   []Peer
	Crashes []blocker.CrashReport
	Loads   []placer.LoadReport
}

// CompressedDocument is a configuration as published, compressed by gzip.
type CompressedDocument struct {
	Revision uint64
	Data     []byte
}

// Reply is the result of an exchange: the parts of the peer's state that are newer than the sender's.
type Reply struct {
	// Configuration is nil unless it is newer than that of the sender.
	Configuration *CompressedDocument
	Records       []registrar.Record
	// Complete is the revision up to which the peer has all changes of upstreams.
	Complete uint64
	// Reached is set if the peer reaches the store. ConfirmedAge is the time since its configuration was last confirmed.
	Reached      bool
	ConfirmedAge time.Duration
	// OutageAge is the time since the end of the last outage of the store that the peer recorded; negative means none.
	OutageAge time.Duration
	// Saturated is set if the peer gets less processor time than it needs.
	Saturated bool
	Peers     []Peer
	Crashes   []blocker.CrashReport
	Loads     []placer.LoadReport
}

// State gives access to the state of a gateway that is exchanged with peers. All fields are required.
type State struct {
	// Document returns the current configuration as published; its revision is zero before the first one.
	Document func() platform.Document
	// Confirmed returns the time at which the configuration was last confirmed to be the newest.
	Confirmed func() time.Time
	// Reached reports whether this gateway reaches the store.
	Reached func() bool
	// Adopt applies a configuration from the named source and reports whether it was newer than the current one.
	Adopt func(d platform.Document, at time.Time, source string) bool
	// Confirm records that the current configuration was the newest at the given time.
	Confirm func(at time.Time)
	// PeerReachedStore records that the store answered a peer at the given time, and the time since the last outage
	// that the peer recorded. It is called before records are merged.
	PeerReachedStore func(at time.Time, outageAge time.Duration)

	Registry *registrar.Registry
	Crashes  *blocker.Blocker
	// Loads returns the newest loads of upstreams, and MergeLoads merges those of a peer.
	Loads      func(now time.Time) []placer.LoadReport
	MergeLoads func(loads []placer.LoadReport, now time.Time)
}

// Config holds the settings and dependencies of a Relayer.
type Config struct {
	// Address is the address on which peers reach this gateway.
	Address string
	// Seeds are addresses of gateways to contact while no peer is live, and occasionally later; some may be out of date.
	Seeds []string
	// Link is the speed of the network link of this host in Mbit/s; zero means unknown.
	Link float64
	// Readers is the number of gateways that read the store on behalf of all.
	Readers int
	// Saturated reports whether this gateway gets less processor time than it needs; nil means never.
	Saturated func() bool
	State     State
	// Dial opens connections to peers; nil means the system's network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  hclog.Logger
}

// Relayer exchanges state with the other gateways. It is safe for concurrent use.
type Relayer struct {
	cfg Config

	// wake holds the peers to exchange with without delay; an empty string means any peer.
	wake chan string

	// compressMu guards compressed, the configuration that was compressed last.
	compressMu sync.Mutex
	compressed CompressedDocument

	mu sync.Mutex
	// members maps the address of each peer to its last reported state.
	members map[string]member
	clients map[string]*rpc.Client
	// unreachable marks the peers whose last exchange failed.
	unreachable map[string]bool
}

// New returns a relayer; Run exchanges state with peers, and Serve answers theirs.
func New(cfg Config) *Relayer {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: callTimeout}
		cfg.Dial = d.DialContext
	}
	return &Relayer{
		cfg: cfg, wake: make(chan string, wakeQueueSize), members: make(map[string]member),
		clients: make(map[string]*rpc.Client), unreachable: make(map[string]bool),
	}
}

// Gateways is the RPC service that peers call.
type Gateways struct {
	r *Relayer
}

// Exchange merges the state of a peer and replies with what is newer here. It fails only if compression does.
func (g *Gateways) Exchange(req Request, reply *Reply) error {
	now := time.Now()
	g.r.recordPeers(Peer{Address: req.From, Link: req.Link, Saturated: req.Saturated}, req.Peers, now)
	state := g.r.cfg.State
	state.Crashes.Merge(req.Crashes, now)
	reply.Loads = state.Loads(now)
	state.MergeLoads(req.Loads, now)
	// The configuration is read after the records, so that the reply never contains an older configuration than the one
	// at its complete revision.
	reply.Records, reply.Complete = state.Registry.RecordsSince(req.Upstreams)
	current := state.Document()
	if current.Revision > req.Configuration {
		compressed, err := g.r.compress(current)
		if err != nil {
			return err
		}
		reply.Configuration = &compressed
	}
	if req.Configuration > current.Revision || req.Newest > state.Registry.NewestRevision() {
		g.r.requestExchange(req.From)
	}
	reply.Reached, reply.ConfirmedAge = state.Reached(), now.Sub(state.Confirmed())
	reply.OutageAge = state.Registry.TimeSinceOutage(now)
	reply.Crashes = state.Crashes.Reports(now)
	reply.Peers = g.r.otherMembers(now)
	reply.Saturated = g.r.saturated()
	return nil
}

// compress compresses a configuration and caches the result for further peers.
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

// maxDocumentBytes bounds the size of an uncompressed configuration; the store holds values of up to 1 MB.
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

// requestExchange makes Run exchange state with a peer without delay; an empty peer means any. It never blocks: the
// request is dropped when the queue is full.
func (r *Relayer) requestExchange(peer string) {
	select {
	case r.wake <- peer:
	default:
	}
}

// NotifyPeers starts exchanges with a few peers without delay; call it when this gateway has received an update.
func (r *Relayer) NotifyPeers() {
	for range notifiedPeers {
		r.requestExchange("")
	}
}

// Serve serves the exchanges of peers until the listener is closed, and then returns nil.
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

// Run exchanges state with one peer at a time until ctx ends.
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

// nextPeer returns the peer for the next exchange, or false if there is none: a reader of the store, a random live peer,
// or a seed if no peer is live. A seed is also chosen occasionally while peers are live, so that parts of the fleet that
// started separately discover each other.
func (r *Relayer) nextPeer(now time.Time) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var live []string
	for a, m := range r.members {
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
	const seedEvery = 8 // On average, one in this many exchanges goes to a seed.
	if len(seeds) > 0 && (len(live) == 0 || rand.IntN(seedEvery) == 0) {
		return seeds[rand.IntN(len(seeds))], true
	}
	if len(live) == 0 {
		return "", false
	}
	return live[rand.IntN(len(live))], true
}

// exchange sends the state of this gateway to a peer and merges the reply.
func (r *Relayer) exchange(ctx context.Context, peer string) {
	state := r.cfg.State
	now := time.Now()
	req := Request{
		From: r.cfg.Address, Link: r.cfg.Link, Saturated: r.saturated(), Configuration: state.Document().Revision,
		Upstreams: state.Registry.CompleteRevision(), Newest: state.Registry.NewestRevision(),
		Peers: r.otherMembers(now), Crashes: state.Crashes.Reports(now), Loads: state.Loads(now),
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

// exchangeFailed closes the connection to a peer and stops counting it as live.
func (r *Relayer) exchangeFailed(peer string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.clients[peer]; c != nil {
		_ = c.Close()
		delete(r.clients, peer)
	}
	delete(r.members, peer)
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
