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
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"clementineramp/appraiser"
	"clementineramp/blocker"
	"clementineramp/estimator"
	"clementineramp/placer"
	"clementineramp/platform"
	"clementineramp/registrar"
	"clementineramp/timekeeper"
)

var (
	errNoConnection = errors.New("no connection to the peer in time")
	errNoReply      = errors.New("the peer did not reply in time")
)

const (
	// hubInterval is the mean pause between the exchanges of a hub with other hubs, and memberInterval that of another
	// gateway with a hub of its failure domain. Loads, which change within a few hundred milliseconds, spread this way.
	hubInterval    = 200 * time.Millisecond
	memberInterval = 600 * time.Millisecond
	// lateShare is the share of the propagation time after which a confirmation of the configuration is late: most reach all
	// gateways within half of it.
	lateShare = 0.65
	// defaultPropagation is the default of Config.Propagation.
	defaultPropagation = 2 * time.Second
	// peerInterval is the mean pause between exchanges with peers of any kind, which carry no loads unless one of the two
	// is a hub. Together with immediate exchanges after an update they spread the configuration, the upstreams and the
	// members even if all hubs are slow or cut off.
	peerInterval = 700 * time.Millisecond
	// callTimeout bounds an exchange. An exchange takes milliseconds, or up to 0.3 s with a configuration of 1,200
	// routes over a link of 10 Mbit/s.
	callTimeout = time.Second
	// dialTimeout bounds the opening of a connection, which takes a few milliseconds within a region.
	dialTimeout = 300 * time.Millisecond
	// notifiedPeers is the number of exchanges that a gateway starts without delay when it has received an update, and
	// highLoadPeers that for a high load, which is of no use to gateways that hear of it late.
	notifiedPeers = 2
	highLoadPeers = 3
	// crashNewsTime is the time after NotifyCrash in which exchanges make peers ask for crash reports without delay: the
	// exchanges that it starts, and one with a hub.
	crashNewsTime = 500 * time.Millisecond
	// wakeQueueSize bounds the queue of immediate exchanges with certain peers.
	wakeQueueSize = 8
	// maxPendingExchanges bounds the immediate exchanges with peers of any kind that have not begun. Each carries all state
	// that the gateway has when it begins, so that most of a longer queue carries nothing new: with 8, the burst after 45
	// upstreams had vanished at once took up to 8,149,359 bytes of 100 gateways in 10 s, where 8,000,000 are allowed.
	maxPendingExchanges = 4
	// listsAtStart is the number of exchanges in which a gateway that has started asks for the whole list: after a restore of
	// the store its peers know of upstreams that were leaving, and the list of the store may have them as ready. A peer may
	// have started just before, too.
	listsAtStart = 3
	// peerTTL is the time since the last exchange of any gateway with a peer after which the peer no longer counts as live.
	peerTTL = 8 * time.Second
	// An exchange lists one in listedShare of the live peers, or one in hubListedShare if a hub sends it to another
	// gateway, but at least minListedPeers, so that each gateway hears of each other several times within peerTTL.
	listedShare    = 10
	hubListedShare = 2
	minListedPeers = 8
	// unreachableTime is the time after a failed exchange with a peer from which the peer counts as reachable again if
	// another gateway has exchanged state with it later.
	unreachableTime = time.Second
	// maxMembers bounds the peers that are remembered.
	maxMembers = 4096
)

// Peer describes a gateway to another one.
type Peer struct {
	Address       string
	FailureDomain string
	// Age is the time since some gateway last exchanged state with it.
	Age time.Duration
	// Link is the speed of the network link of its host in Mbit/s; zero means unknown.
	Link float64
	// Saturated is set if the gateway gets less processor time than it needs.
	Saturated bool
	// Work is the work of the gateway for plain services.
	Work []ServiceWork
}

// Request is the argument of an exchange: the state of the sender. Fields of a Request and a Reply keep their names and
// types, so that gateways of two versions can exchange what both know.
type Request struct {
	// From is the address of the sender. FailureDomain, Link and Saturated describe it, as in Peer.
	From          string
	FailureDomain string
	Link          float64
	Saturated     bool
	// Configuration is the revision of the sender's configuration, and Upstreams the one up to which it has all changes
	// of upstreams.
	Configuration uint64
	Upstreams     uint64
	// Era is the era of the sender's list of upstreams, and HasEra is set by versions that know of eras.
	Era    uint64
	HasEra bool
	// Version is the operator's number of the sender's configuration, and ConfigurationEra the era in which it was read.
	Version          uint64
	ConfigurationEra uint64
	// Newest is the revision of the newest change of an upstream that the sender has received.
	Newest     uint64
	OtherPeers PeerList
	// KnownCrashes holds, by origin, the number of the last crash report that the sender has.
	KnownCrashes map[uint64]uint64
	// CrashNews is set if the peer should ask without delay for crash reports that it lacks: several upstreams have crashed
	// on the same part of prompts.
	CrashNews bool
	// WithLoads is set if the exchange carries loads; LoadColumns are those of the sender.
	WithLoads   bool
	LoadColumns Loads
	// HighLoads holds the recent loads above the load limit, which exchanges of any kind carry.
	HighLoads Loads
	// Unreachable holds the upstreams to which some gateway could not connect.
	Unreachable UnreachableReports
	// HotChats holds the chats that gateways spread over several upstreams.
	HotChats HotChats
	// Slowdowns holds what the sender's own requests showed of upstreams of plain services, and Work its work for these, as
	// encodeSlowdowns and encodeWork write them. Both are absent in versions that learn no limits.
	Slowdowns []byte
	Work      []byte
}

// CompressedDocument is a configuration as published, compressed by gzip.
type CompressedDocument struct {
	Era      uint64
	Revision uint64
	Version  uint64
	Data     []byte
}

// Reply is the result of an exchange: the parts of the peer's state that are newer than the sender's.
type Reply struct {
	// Configuration is nil unless it is newer than that of the sender.
	Configuration *CompressedDocument
	Records       []registrar.Record
	// Whole is set if Records holds the whole list of upstreams; those that it lacks are gone.
	Whole bool
	// Complete is the revision up to which the peer has all changes of upstreams, and Era the era of its list; HasEra is set
	// by versions that know of eras.
	Complete uint64
	Era      uint64
	HasEra   bool
	// HasEvacuations is set if Records holds evacuations, too. It is not set by versions that do not know them, or by a gateway
	// whose list came from such a version.
	HasEvacuations bool
	// Reached is set if the peer reaches the store, as far as its last call shows. ConfirmedAge is the time since its
	// configuration was last confirmed.
	Reached      bool
	ConfirmedAge time.Duration
	// OutageAge is the time since the end of the last outage of the store that the peer recorded; negative means none.
	OutageAge time.Duration
	// FailureDomain, Link and Saturated describe the peer, as in Peer.
	FailureDomain string
	Link          float64
	Saturated     bool
	OtherPeers    PeerList
	CrashBatches  []blocker.Batch
	LoadColumns   Loads
	HighLoads     Loads
	Unreachable   UnreachableReports
	HotChats      HotChats
	// Slowdowns and Work are those of the peer, as in Request.
	Slowdowns []byte
	Work      []byte
}

// State gives access to the state of a gateway that is exchanged with peers. All fields but the last three are required.
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
	// PeerReachedStore records that the store answered a peer at the given time, and the end of the last outage that the
	// peer recorded, which is zero if there was none. It is called before records are merged.
	PeerReachedStore func(at, outageEnd time.Time)

	Registry *registrar.Registry
	Crashes  *blocker.Blocker
	// Loads returns the newest loads of upstreams, HighLoads the recent ones above the load limit, and MergeLoads merges
	// those of a peer.
	Loads      func(now time.Time) []placer.LoadReport
	HighLoads  func(now time.Time) []placer.LoadReport
	MergeLoads func(loads []placer.LoadReport, now time.Time)
	// HotChats returns the reports on hot chats, and MergeHotChats merges those of a peer.
	HotChats      func(now time.Time) []placer.HotChat
	MergeHotChats func(chats []placer.HotChat, now time.Time)
	// Health holds the reports on unreachable upstreams.
	Health *appraiser.Appraiser
	// Slowdowns returns what this gateway's own requests showed of upstreams of plain services, and MergeSlowdowns merges what
	// those of a peer showed. Work returns this gateway's work for plain services. Nil means that limits are not learnt.
	Slowdowns      func(now time.Time) []estimator.Report
	MergeSlowdowns func(from string, reports []estimator.Report, now time.Time)
	Work           func(now time.Time) []estimator.Work
}

// Config holds the settings and dependencies of a Relayer.
type Config struct {
	// Address is the address on which peers reach this gateway.
	Address string
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Seeds are addresses of gateways to contact while no peer is live, and occasionally later; some may be out of date.
	Seeds []string
	// Link is the speed of the network link of this host in Mbit/s; zero means unknown.
	Link float64
	// Readers is the number of gateways that read the store on behalf of all.
	Readers int
	// Propagation is the time within which a change in the store must take effect; zero means 2 s. A gateway whose confirmation
	// is late within it exchanges with hubs as often as a hub does, so that few gateways must read the store themselves.
	Propagation time.Duration
	// Saturated reports whether this gateway gets less processor time than it needs; nil means never.
	Saturated func() bool
	State     State
	// Services holds further RPC services that peers may call, by name.
	Services map[string]any
	// CountBytes is called with the bytes that were sent to or received from peers; nil means no call.
	CountBytes func(n int)
	// Arrived returns the earliest time at which a message that is read now may have arrived; nil means now.
	Arrived func(now time.Time) time.Time
	// Dial opens connections to peers; nil means the system's network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	Log  hclog.Logger
}

// Relayer exchanges state with the other gateways. It is safe for concurrent use.
type Relayer struct {
	cfg     Config
	started time.Time

	// wake holds the peers to exchange with without delay.
	wake chan string
	// pending is the number of exchanges with peers of any kind to start without delay, and notified is signalled when it
	// has grown.
	pending  atomic.Int32
	notified chan struct{}

	// compressMu guards compressed, the configuration that was compressed last.
	compressMu sync.Mutex
	compressed CompressedDocument

	upstreams upstreamCodec
	odd       oddRecords
	// listsAsked counts the exchanges that this gateway has begun and that succeeded.
	listsAsked atomic.Int64
	// crashNews is the time of the last call of NotifyCrash, in nanoseconds since 1970.
	crashNews atomic.Int64

	mu sync.Mutex
	// members maps the address of each peer to its last reported state.
	members map[string]member
	// fleet is the arrangement of the live members; nil if it must be computed again.
	fleet   *arrangement
	clients map[string]*rpc.Client
	// unreachable holds the time of the last exchange with a peer that this gateway began, if it failed and the peer has
	// not been reached since.
	unreachable map[string]time.Time
	// away holds the time at which a peer last replied that it does not reach the store, unless it has replied since that it does.
	away map[string]time.Time
	// known holds the time at which some gateway last heard of each peer, as far as is known, also of those that are gone.
	known map[string]time.Time
	// learntAt is the time at which a peer was added to known, and contactAt that of the last exchange of this gateway.
	learntAt, contactAt time.Time
}

// New returns a relayer; Run exchanges state with peers, and Serve answers theirs.
func New(cfg Config) *Relayer {
	if cfg.Dial == nil {
		d := &net.Dialer{}
		cfg.Dial = d.DialContext
	}
	if cfg.Propagation == 0 {
		cfg.Propagation = defaultPropagation
	}
	if cfg.Arrived == nil {
		cfg.Arrived = func(now time.Time) time.Time { return now }
	}
	if cfg.CountBytes == nil {
		cfg.CountBytes = func(int) {}
	}
	return &Relayer{
		cfg: cfg, started: time.Now(), wake: make(chan string, wakeQueueSize),
		notified: make(chan struct{}, 1), members: make(map[string]member),
		upstreams: upstreamCodec{view: cfg.State.Registry.View},
		clients:   make(map[string]*rpc.Client), unreachable: make(map[string]time.Time), away: make(map[string]time.Time), known: make(map[string]time.Time),
	}
}

// Gateways is the RPC service that peers call.
type Gateways struct {
	r *Relayer
}

// Exchange merges the state of a peer and replies with what is newer here. It fails only if compression does.
func (g *Gateways) Exchange(req Request, reply *Reply) error {
	r := g.r
	now := time.Now()
	// What the peer states as the age of something was its age when it sent the request.
	arrived := r.cfg.Arrived(now)
	r.recordPeers(Peer{
		Address: req.From, FailureDomain: req.FailureDomain, Link: req.Link, Saturated: req.Saturated, Work: decodeWork(req.Work, 1)[0],
	}, req.OtherPeers, arrived)
	state := r.cfg.State
	if req.WithLoads {
		own := state.Loads(now)
		reply.LoadColumns = encodeLoads(newerLoads(own, req.LoadColumns))
		state.MergeLoads(r.upstreams.decodeLoads(req.LoadColumns), arrived)
	}
	reply.HighLoads = encodeLoads(newerLoads(state.HighLoads(now), req.HighLoads))
	state.MergeLoads(r.upstreams.decodeLoads(req.HighLoads), arrived)
	reply.Unreachable = encodeUnreachable(newerUnreachable(state.Health.Reports(now), req.Unreachable))
	state.Health.MergeReports(r.upstreams.decodeUnreachable(req.Unreachable), arrived)
	reply.HotChats = encodeHotChats(newerHotChats(state.HotChats(now), req.HotChats))
	state.MergeHotChats(req.HotChats.decode(), arrived)
	reply.Slowdowns, reply.Work = r.ownSlowdowns(req.From, now), encodeWork(r.ownWork(now))
	r.mergeSlowdowns(req.From, req.Slowdowns, arrived)
	// The time of the confirmation is read before what was confirmed. The configuration is read after the records, so that the
	// reply never contains an older configuration than the one at its complete revision.
	reply.Reached, reply.ConfirmedAge = state.Reached(), now.Sub(state.Confirmed())
	own := state.Registry.Position()
	since := req.position(own.Era)
	reply.HasEvacuations = !state.Registry.LacksEvacuations() // Before the records, which may come to hold them.
	if since.Era <= own.Era {
		reply.Records, own, reply.Whole = state.Registry.RecordsSince(since)
		reply.Complete = own.Revision
		if !req.HasEra { // It takes any list for changes.
			reply.Records = slices.DeleteFunc(reply.Records, func(rec registrar.Record) bool { return rec.Revision <= req.Upstreams })
		}
	}
	reply.Era, reply.HasEra = own.Era, true
	current := state.Document()
	if idOf(current).replaces(req.document()) {
		compressed, err := r.compress(current)
		if err != nil {
			return err
		}
		reply.Configuration = &compressed
	}
	newerList := since.Era > own.Era || since.Era == own.Era && req.Newest > state.Registry.NewestRevision()
	if newerList || req.document().replaces(idOf(current)) {
		r.requestExchange(req.From)
	}
	if req.CrashNews && state.Crashes.Lacks(req.KnownCrashes) {
		r.requestExchange(req.From)
	}
	reply.OutageAge = state.Registry.TimeSinceOutage(now)
	reply.CrashBatches = state.Crashes.ReportsSince(req.KnownCrashes, now)
	reply.OtherPeers = r.listPeers(req.From, now)
	reply.FailureDomain, reply.Link, reply.Saturated = r.cfg.FailureDomain, r.cfg.Link, r.saturated()
	return nil
}

// compress compresses a configuration and caches the result for further peers.
func (r *Relayer) compress(d platform.Document) (CompressedDocument, error) {
	r.compressMu.Lock()
	defer r.compressMu.Unlock()
	if c := &r.compressed; c.Data != nil && c.Era == d.Era && c.Revision == d.Revision && c.Version == d.Version {
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
	r.compressed = CompressedDocument{Era: d.Era, Revision: d.Revision, Version: d.Version, Data: b.Bytes()}
	return r.compressed, nil
}

// maxDocumentBytes bounds the size of an uncompressed configuration; the store holds values of up to 1 MB.
const maxDocumentBytes = 4 << 20

var errDocumentTooLong = errors.New("the configuration is too long once it is uncompressed")

func (p *CompressedDocument) decompress() (platform.Document, error) {
	z, err := gzip.NewReader(bytes.NewReader(p.Data))
	if err != nil {
		return platform.Document{}, err
	}
	data, err := io.ReadAll(io.LimitReader(z, maxDocumentBytes+1))
	if err != nil {
		return platform.Document{}, err
	}
	if len(data) > maxDocumentBytes {
		return platform.Document{}, errDocumentTooLong
	}
	return platform.Document{Era: p.Era, Revision: p.Revision, Version: p.Version, Data: data}, nil
}

// requestExchange makes Run exchange state with a peer without delay. It never blocks: the request is dropped when the
// queue is full.
func (r *Relayer) requestExchange(peer string) {
	select {
	case r.wake <- peer:
	default:
	}
}

// requestExchanges makes Run begin n more exchanges with peers of any kind without delay, but no more than
// maxPendingExchanges in all.
func (r *Relayer) requestExchanges(n int32) {
	for {
		pending := r.pending.Load()
		if r.pending.CompareAndSwap(pending, min(pending+n, maxPendingExchanges)) {
			break
		}
	}
	select {
	case r.notified <- struct{}{}:
	default:
	}
}

// NotifyPeers starts exchanges with a few peers without delay; call it when this gateway has received an update.
func (r *Relayer) NotifyPeers() {
	r.requestExchanges(notifiedPeers)
}

// NotifyHighLoad starts exchanges with a few peers without delay; call it when this gateway has heard of a high load.
func (r *Relayer) NotifyHighLoad() {
	r.requestExchanges(highLoadPeers)
}

// NotifyCrash starts exchanges with a few peers without delay, which then ask for the crash reports that they lack.
func (r *Relayer) NotifyCrash() {
	r.crashNews.Store(time.Now().UnixNano())
	r.NotifyPeers()
}

// Serve serves the exchanges of peers until the listener is closed, and then returns nil.
func (r *Relayer) Serve(l net.Listener) error {
	s := rpc.NewServer()
	if err := s.RegisterName("Gateways", &Gateways{r: r}); err != nil {
		return err
	}
	for name, service := range r.cfg.Services {
		if err := s.RegisterName(name, service); err != nil {
			return err
		}
	}
	var open atomic.Int64
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		if open.Add(1) > maxPeerConnections {
			open.Add(-1)
			_ = c.Close()
			continue
		}
		go func() {
			defer open.Add(-1)
			s.ServeConn(newBoundedConn(c, maxRequestBytes, r.cfg.CountBytes))
		}()
	}
}

// Run exchanges state with peers until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.runHubExchanges(ctx) })
	loops.Go(func() { r.runPeerExchanges(ctx) })
	loops.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		_ = c.Close()
	}
}

// runHubExchanges exchanges loads and the rest of the state with hubs.
func (r *Relayer) runHubExchanges(ctx context.Context) {
	for ctx.Err() == nil {
		hub, interval := r.nextHub(time.Now())
		if hub != "" {
			r.exchange(ctx, hub)
		}
		r.pauseHubExchanges(ctx, interval)
	}
}

// pauseHubExchanges pauses around the mean interval, but only for that of hubs once the confirmation of the configuration is late.
func (r *Relayer) pauseHubExchanges(ctx context.Context, interval time.Duration) {
	next := time.Now().Add(interval/2 + rand.N(interval))
	if confirmed := r.cfg.State.Confirmed(); !confirmed.IsZero() && interval > hubInterval {
		late := confirmed.Add(time.Duration(lateShare * float64(r.cfg.Propagation)))
		if soon := time.Now().Add(hubInterval/2 + rand.N(hubInterval)); late.Before(soon) {
			late = soon
		}
		if late.Before(next) {
			next = late
		}
	}
	t := time.NewTimer(time.Until(next))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// runPeerExchanges exchanges state with peers of any kind, and with those that requestExchange names.
func (r *Relayer) runPeerExchanges(ctx context.Context) {
	peer := ""
	for ctx.Err() == nil {
		if peer == "" {
			if r.pending.Load() > 0 { // Only this loop lowers it.
				r.pending.Add(-1)
			}
			peer = r.nextPeer(time.Now())
		}
		if peer != "" {
			r.exchange(ctx, peer)
		}
		peer = ""
		if r.pending.Load() > 0 {
			continue
		}
		t := time.NewTimer(peerInterval/2 + rand.N(peerInterval))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-r.notified:
		case peer = <-r.wake:
		}
		t.Stop()
	}
}

// exchange sends the state of this gateway to a peer and merges the reply.
func (r *Relayer) exchange(ctx context.Context, peer string) {
	state := r.cfg.State
	now := time.Now()
	document, own := state.Document(), state.Registry.Position()
	since := own
	if r.listsAsked.Load() < listsAtStart || state.Registry.LacksEvacuations() {
		since.Revision = 0
	}
	req := Request{
		From: r.cfg.Address, FailureDomain: r.cfg.FailureDomain, Link: r.cfg.Link, Saturated: r.saturated(),
		Configuration: document.Revision, ConfigurationEra: document.Era, Version: document.Version,
		Upstreams: since.Revision, Era: since.Era, HasEra: true, Newest: state.Registry.NewestRevision(),
		OtherPeers: r.listPeers(peer, now), KnownCrashes: state.Crashes.Known(now), WithLoads: r.carriesLoads(peer, now),
		HighLoads: encodeLoads(state.HighLoads(now)), Unreachable: encodeUnreachable(state.Health.Reports(now)),
		HotChats: encodeHotChats(state.HotChats(now)), CrashNews: now.UnixNano()-r.crashNews.Load() < int64(crashNewsTime),
		Slowdowns: r.ownSlowdowns(peer, now), Work: encodeWork(r.ownWork(now)),
	}
	if req.WithLoads {
		req.LoadColumns = encodeLoads(r.newsForHub(state.Loads(now), now))
	}
	var reply Reply
	if err := r.call(ctx, peer, req, &reply); err != nil {
		if ctx.Err() != nil {
			return
		}
		var others sync.WaitGroup
		for _, reader := range r.exchangeFailed(peer, err) {
			others.Go(func() { r.exchange(ctx, reader) })
		}
		others.Wait()
		return
	}
	r.exchangeSucceeded(peer, reply.Reached)
	r.listsAsked.Add(1)
	confirmed, to := now.Add(-reply.ConfirmedAge), reply.position(since.Era)
	isCurrent := r.isCurrent(&reply, to, own, confirmed)
	if isCurrent {
		state.PeerReachedStore(confirmed, reply.outageEnd(now))
	}
	updated := false
	if reply.Configuration != nil {
		d, err := reply.Configuration.decompress()
		if err != nil {
			r.cfg.Log.Error("peer_configuration_unreadable", "peer", peer, "revision", reply.Configuration.Revision, "era", reply.Configuration.Era, "error", err.Error())
			return
		}
		if !reply.HasEra && !state.Registry.Restored() {
			d.Era = document.Era
		}
		updated = state.Adopt(d, confirmed, "peer "+peer)
	}
	// Ages are those at the peer, which replied at any time since the begin: the message may have waited here since.
	state.MergeLoads(r.upstreams.decodeLoads(reply.LoadColumns), now)
	state.MergeLoads(r.upstreams.decodeLoads(reply.HighLoads), now)
	state.Health.MergeReports(r.upstreams.decodeUnreachable(reply.Unreachable), now)
	state.MergeHotChats(reply.HotChats.decode(), now)
	r.mergeSlowdowns(peer, reply.Slowdowns, now)
	if isCurrent {
		reply.Records = r.usableRecords(peer, reply.Records)
		updated = r.mergeUpstreams(peer, &reply, since, to, now) || updated
		// After the merge, so that a peer that is told of the confirmation gets all that was confirmed. Whether the peer that
		// replied reaches the store itself does not matter.
		state.Confirm(confirmed)
	}
	if updated {
		r.NotifyPeers()
	}
	if err := state.Crashes.Merge(reply.CrashBatches, now); err != nil {
		r.cfg.Log.Warn("peer_crash_reports_malformed", "peer", peer, "error", err.Error())
	}
	r.recordPeers(Peer{
		Address: peer, FailureDomain: reply.FailureDomain, Link: reply.Link, Saturated: reply.Saturated, Work: decodeWork(reply.Work, 1)[0],
	}, reply.OtherPeers, now)
}

// call performs an exchange. If a kept connection breaks, it is repeated on a new one, which alone shows whether the peer is
// gone; a peer may receive the same state twice.
func (r *Relayer) call(ctx context.Context, peer string, req Request, reply *Reply) error {
	ctx, _, cancel := timekeeper.WithTimeout(ctx, callTimeout, errNoReply)
	defer cancel()
	kept, err := r.callOnce(ctx, peer, req, reply)
	if err == nil || kept == nil || ctx.Err() != nil || errors.As(err, new(rpc.ServerError)) {
		return err
	}
	r.dropClient(peer, kept)
	*reply = Reply{}
	_, err = r.callOnce(ctx, peer, req, reply)
	return err
}

// callOnce performs an exchange on one connection, and returns that if it had been kept from an earlier exchange.
func (r *Relayer) callOnce(ctx context.Context, peer string, req Request, reply *Reply) (kept *rpc.Client, err error) {
	c, reused, err := r.client(ctx, peer)
	if err != nil {
		return nil, err
	}
	if reused {
		kept = c
	}
	call := c.Go("Gateways.Exchange", req, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return kept, call.Error
	case <-ctx.Done():
		return kept, context.Cause(ctx)
	}
}

// dropClient closes a connection to a peer, unless the other loop has replaced it already.
func (r *Relayer) dropClient(peer string, c *rpc.Client) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients[peer] == c {
		_ = c.Close()
		delete(r.clients, peer)
	}
}

// client returns the connection to a peer, which it opens if there is none, and reports whether there was one.
func (r *Relayer) client(ctx context.Context, peer string) (c *rpc.Client, reused bool, err error) {
	r.mu.Lock()
	c = r.clients[peer]
	r.mu.Unlock()
	if c != nil {
		return c, true, nil
	}
	dialCtx, _, cancel := timekeeper.WithTimeout(ctx, dialTimeout, errNoConnection)
	defer cancel()
	conn, err := r.cfg.Dial(dialCtx, "tcp", peer)
	if err != nil && dialCtx.Err() != nil {
		return nil, false, context.Cause(dialCtx)
	}
	if err != nil {
		return nil, false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.clients[peer]; c != nil {
		_ = conn.Close() // The other loop has connected to the peer meanwhile.
		return c, true, nil
	}
	c = rpc.NewClient(newBoundedConn(conn, maxReplyBytes, r.cfg.CountBytes))
	r.clients[peer] = c
	return c, false, nil
}

// exchangeFailed closes the connection to a peer and stops counting it as live. If the peer was a reader of the store, it
// returns the other readers, which may have gone at the same moment. Only the first failure of a peer does, so that a gateway
// that is cut off tries each peer a few times only.
func (r *Relayer) exchangeFailed(peer string, err error) (doubtful []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.clients[peer]; c != nil {
		_ = c.Close()
		delete(r.clients, peer)
	}
	now := time.Now()
	if !r.isUnreachable(peer) {
		r.cfg.Log.Warn("peer_lost", "peer", peer, "error", err.Error())
		if readers := r.arrange(now).readers; slices.Contains(readers, peer) {
			doubtful = slices.DeleteFunc(slices.Clone(readers), func(a string) bool { return a == peer || a == r.cfg.Address })
		}
	}
	r.unreachable[peer] = now
	delete(r.members, peer)
	r.fleet = nil
	return doubtful
}

// exchangeSucceeded counts a peer as reachable, and records whether it reaches the store.
func (r *Relayer) exchangeSucceeded(peer string, reachesStore bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isUnreachable(peer) {
		r.forgetFailure(peer)
	}
	now := time.Now()
	if wasAway := r.isAway(peer, now); wasAway == reachesStore {
		r.fleet = nil
	}
	delete(r.away, peer)
	if !reachesStore {
		r.away[peer] = now
	}
}

// forgetFailure counts a peer as reachable again. The caller holds r.mu.
func (r *Relayer) forgetFailure(peer string) {
	delete(r.unreachable, peer)
	r.fleet = nil
	r.cfg.Log.Info("peer_reached", "peer", peer)
}
