package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// hotPosition is the position in a chat's preference order from which on the chat is hot: its first upstreams are at or
	// near their limits. For hotTime after it, the chat goes to a random one of its first upstreams below their limits, because
	// all gateways that chose the same one would fill it before its first load report.
	hotPosition = 2
	hotTime     = 10 * time.Second
	// reportedSightings is the number of times within hotTime that this gateway must find a chat hot before it reports that to
	// the other gateways. A gateway of a large fleet receives few requests of a chat, so that these are many in the fleet;
	// a chat that had to move once is not hot for that.
	reportedSightings = 2
	// minBelow is the share of upstreams below their limits from which such a finding counts: while most are at their limits,
	// chats move for the load of all, and spreading them would only have their prompts processed again.
	minBelow = 0.75
	// maxHotChats bounds the hot chats that are remembered, and maxReportedChats those that are reported.
	maxHotChats      = 1024
	maxReportedChats = 16
)

// hotChat is a chat whose requests are spread.
type hotChat struct {
	// seenAt is the time at which some gateway last found the chat hot.
	seenAt time.Time
	// sightings is the number of times that this gateway found the chat hot, with pauses of less than hotTime.
	sightings int
	// reported is set if the chat is reported to other gateways: this one has found it hot often enough, or another one has.
	reported bool
}

// HotChat is a report on a chat that is hot, to be sent to other gateways.
type HotChat struct {
	// Chat is a hash of the chat's name.
	Chat uint32
	// Age is the time since a gateway last found the chat hot.
	Age time.Duration
}

func hashChat(chat string) uint32 {
	return uint32(xxhash.Sum64String(chat))
}

// isHot reports whether a chat is hot, given the position of the first upstream that takes it and the share of upstreams
// below their limits. The caller holds p.mu.
func (p *Placer) isHot(chat string, position int, below float64, now time.Time) bool {
	hash := hashChat(chat)
	h := p.hot[hash]
	known := h != nil && now.Sub(h.seenAt) < hotTime
	if position < hotPosition {
		return known
	}
	if h = p.hotChatOf(hash, now); h != nil {
		if !known {
			*h = hotChat{}
		}
		h.seenAt = now
		if below >= minBelow {
			h.sightings++
		}
		h.reported = h.reported || h.sightings >= reportedSightings
	}
	return true
}

// hotChatOf returns the entry of a chat, which is created if there is room. The caller holds p.mu.
func (p *Placer) hotChatOf(hash uint32, now time.Time) *hotChat {
	if h := p.hot[hash]; h != nil {
		return h
	}
	if len(p.hot) >= maxHotChats {
		maps.DeleteFunc(p.hot, func(_ uint32, h *hotChat) bool { return now.Sub(h.seenAt) >= hotTime })
		if len(p.hot) >= maxHotChats {
			return nil
		}
	}
	h := &hotChat{}
	p.hot[hash] = h
	return h
}

// HotChats returns the chats that are reported to other gateways, the most recently seen first. Their ages grow on the way,
// so that a report ends hotTime after its cause.
func (p *Placer) HotChats(now time.Time) []HotChat {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []HotChat
	for hash, h := range p.hot {
		if age := now.Sub(h.seenAt); h.reported && age < hotTime {
			all = append(all, HotChat{Chat: hash, Age: max(age, 0)})
		}
	}
	slices.SortFunc(all, func(a, b HotChat) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Chat, b.Chat)) })
	return all[:min(len(all), maxReportedChats)]
}

// MergeHotChats records the reports of another gateway.
func (p *Placer) MergeHotChats(chats []HotChat, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range chats {
		if c.Age < 0 || c.Age >= hotTime {
			continue
		}
		if h := p.hotChatOf(c.Chat, now); h != nil {
			if at := now.Add(-c.Age); at.After(h.seenAt) {
				h.seenAt = at
			}
			h.reported = true
		}
	}
}
