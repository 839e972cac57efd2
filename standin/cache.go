package standin

import (
	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"clementineramp/encoder"
)

// prefixCache is an LRU cache of prompt prefixes whose capacity is counted in tokens.
type prefixCache struct {
	capacity int
	tokens   int
	entries  *lru.Cache[uint64, int]
}

// maxCachedPrefixes bounds the number of entries only because the LRU table requires a bound; the capacity in tokens is
// reached long before.
const maxCachedPrefixes = 1 << 20

func newPrefixCache(capacity int) *prefixCache {
	c := &prefixCache{capacity: capacity}
	c.entries, _ = lru.NewWithEvict[uint64, int](maxCachedPrefixes, func(_ uint64, n int) { c.tokens -= n })
	return c
}

// messageTokens estimates the tokens of one message with the router's estimate.
func messageTokens(m encoder.Message) int {
	return encoder.ChatRequest{Messages: []encoder.Message{m}}.PromptTokens()
}

// prefixHashes returns a hash for each prefix of the messages, the shortest first.
func prefixHashes(messages []encoder.Message) []uint64 {
	d := xxhash.New()
	hashes := make([]uint64, len(messages))
	for i, m := range messages {
		_, _ = d.WriteString(m.Role + "\x00" + m.Content + "\x00")
		hashes[i] = d.Sum64()
	}
	return hashes
}

// lookup returns the number of cached prompt tokens and marks their entries as recently used.
func (c *prefixCache) lookup(messages []encoder.Message) int {
	return prefixTokens(messages, func(h uint64) bool {
		_, ok := c.entries.Get(h)
		return ok
	})
}

// peek returns the number of cached prompt tokens without marking their entries as used.
func (c *prefixCache) peek(messages []encoder.Message) int {
	return prefixTokens(messages, c.entries.Contains)
}

// prefixTokens returns the number of tokens in the longest prefix whose hashes are all contained.
func prefixTokens(messages []encoder.Message, contains func(uint64) bool) int {
	n := 0
	for i, h := range prefixHashes(messages) {
		if !contains(h) {
			break
		}
		n += messageTokens(messages[i])
	}
	return n
}

func (c *prefixCache) add(messages []encoder.Message) {
	hashes := prefixHashes(messages)
	for i, h := range hashes {
		if c.entries.Contains(h) {
			continue
		}
		n := messageTokens(messages[i])
		c.entries.Add(h, n)
		c.tokens += n
	}
	for c.tokens > c.capacity {
		c.entries.RemoveOldest()
	}
}

func (c *prefixCache) clear() {
	c.entries.Purge()
	c.tokens = 0
}
