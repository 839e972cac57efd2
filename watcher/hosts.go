package watcher

import (
	"context"
	"encoding/json"

	"clementineramp/subscriber"
)

// setEncodedHosts stores a host list, encoded, to serve it to peers.
func (w *Watcher) setEncodedHosts(list subscriber.HostList) {
	data, err := json.Marshal(list)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.encodedList = data
}

// encodedHosts returns the encoded host list for a peer; it is empty while none is known.
func (w *Watcher) encodedHosts() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.encodedList
}

// fetchHostsFromPeer fetches the host list from the first peer that has one, for a process that starts while the
// platform is down. Its revision is not kept, so that the platform's first response replaces the list.
func (w *Watcher) fetchHostsFromPeer(ctx context.Context) {
	for _, p := range w.peers() {
		if p.Name == w.cfg.Self.Name || p.Control == "" {
			continue
		}
		data, err := w.gossip.Hosts(ctx, p.Control)
		if err != nil {
			w.cfg.Log.Debug("hosts_not_had", "peer", p.Control, "error", err)
			continue
		}
		list, err := subscriber.DecodeHostList(data)
		if err != nil {
			w.cfg.Log.Warn("hosts_refused", "peer", p.Control, "error", err)
			continue
		}
		w.cfg.Log.Info("hosts_from_peer", "peer", p.Control, "hosts", len(list.Hosts), "revision", list.Revision)
		w.setHosts(list.Hosts)
		w.setEncodedHosts(list)
		return
	}
}
