package follower

import "clementineramp/platform"

const (
	// maxUnreadableLines bounds the log lines about unreadable items of one response of the store.
	maxUnreadableLines = 20
	// maxUnreadableKnown bounds the unreadable items that are remembered, beyond those of one response.
	maxUnreadableKnown = 4096
)

// logUnreadable logs the unreadable items that the store returned. Each is logged once for each of its revisions, and not again when
// a list is read that still has it. complete is set for a list.
func (f *Follower) logUnreadable(c *platform.Changes, complete bool) {
	items := c.Unreadable
	known := f.unreadable
	if complete || len(known) > maxUnreadableKnown {
		f.unreadable = make(map[string]uint64, len(items))
	}
	lines := 0
	for _, u := range items {
		revision, logged := known[u.Key]
		f.setUnreadable(u)
		if logged && revision == u.Revision {
			continue
		}
		if lines++; lines <= maxUnreadableLines {
			f.cfg.Log.Warn("store_item_unreadable", "key", u.Key[:min(len(u.Key), maxLoggedKey)], "revision", u.Revision, "era", c.Era, "reason", u.Reason)
		}
	}
	lines += max(c.UnreadableItems-len(items), 0)
	if lines > maxUnreadableLines {
		f.cfg.Log.Warn("store_items_unreadable", "items", lines)
	}
}

// maxLoggedKey is the length of the longest key that the store allows, in bytes.
const maxLoggedKey = 200

func (f *Follower) setUnreadable(u platform.Unreadable) {
	if f.unreadable == nil {
		f.unreadable = make(map[string]uint64)
	}
	f.unreadable[u.Key] = u.Revision
}
