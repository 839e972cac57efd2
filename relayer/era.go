package relayer

import (
	"time"

	"clementineramp/platform"
	"clementineramp/registrar"
)

// maxConfirmationLag is the time by which the store's confirmation of a peer's state is known too late at most. A list of an
// era that the store has left was confirmed before it left it, so that a list of another era that was confirmed later by more
// than this is the current one, whatever the numbers of the eras.
const maxConfirmationLag = time.Second

// documentID identifies a configuration.
type documentID struct {
	version, era, revision uint64
}

func idOf(d platform.Document) documentID {
	return documentID{version: d.Version, era: d.Era, revision: d.Revision}
}

// replaces reports whether a configuration replaces another one. A version of zero stands for no configuration, or for one
// of a peer that knows no eras.
func (a documentID) replaces(b documentID) bool {
	if a.version == 0 || b.version == 0 {
		return a.revision > b.revision
	}
	return a.version > b.version || a.version == b.version && a.era > b.era
}

// document identifies the configuration of the sender.
func (req *Request) document() documentID {
	return documentID{version: req.Version, era: req.ConfigurationEra, revision: req.Configuration}
}

// position returns the position of the sender's list. That of a peer that knows no eras is taken to be in the given era.
func (req *Request) position(era uint64) registrar.Position {
	if req.HasEra {
		era = req.Era
	}
	return registrar.Position{Era: era, Revision: req.Upstreams}
}

// position returns the position of the peer's list. That of a peer that knows no eras is taken to be in the given era.
func (reply *Reply) position(era uint64) registrar.Position {
	if reply.HasEra {
		era = reply.Era
	}
	return registrar.Position{Era: era, Revision: reply.Complete}
}

// isCurrent reports whether the list of a peer at the position to, which was confirmed at the given time, is in the era of
// this gateway's list at the position own, or in a later one. That of a peer that states no era may be in any once the store
// has been restored.
func (r *Relayer) isCurrent(reply *Reply, to, own registrar.Position, confirmed time.Time) bool {
	if !reply.HasEra && r.cfg.State.Registry.Restored() {
		return false
	}
	if to.Era == own.Era || own.Revision == 0 {
		return true
	}
	return to.Era > own.Era && r.cfg.State.Confirmed().Sub(confirmed) <= maxConfirmationLag
}

// outageEnd returns the end of the last outage that the peer recorded, if it replied at the given time; zero means none.
func (reply *Reply) outageEnd(at time.Time) time.Time {
	if reply.OutageAge < 0 {
		return time.Time{}
	}
	return at.Add(-reply.OutageAge)
}

// mergeUpstreams merges the records of a reply to a gateway whose list was at the position since when it began the exchange, and
// reports whether the upstreams in use changed.
func (r *Relayer) mergeUpstreams(peer string, reply *Reply, since, to registrar.Position, began time.Time) bool {
	registry, now := r.cfg.State.Registry, time.Now()
	if own := registry.Position(); reply.Whole {
		r.cfg.Log.Info("peer_list", "peer", peer, "records", len(reply.Records), "revision", to.Revision, "era", to.Era,
			"known_revision", own.Revision, "known_era", own.Era)
	}
	// The position of a peer that knows no eras counts as before: it is two versions older, and versions that are not adjacent do
	// not run together.
	if to.Era == since.Era && !reply.Whole && (reply.HasEvacuations || !reply.HasEra) {
		return registry.MergeChanges(reply.Records, since, to, now)
	}
	restored := began
	if end := reply.outageEnd(began); !end.IsZero() {
		restored = end
	}
	if !reply.HasEvacuations {
		return registry.MergePeerUpstreams(reply.Records, since.Era, to, restored, now)
	}
	return registry.MergePeerList(reply.Records, since.Era, to, restored, now)
}
