package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of one cached block of a prompt, 16 tokens.
const blockBytes = 64

// prefixCache remembers blocks of prompts within a bound, the least recently
// used one going first. A block's hash covers all of the prompt up to its end.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacity: tokens * 4 / blockBytes, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// use returns how many tokens of the prompt were cached and caches the rest.
// The cache belongs to a model, since each adapter has its own KV values.
func (c *prefixCache) use(model, prompt string) int {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(model + "\x00")
	cached, hit := 0, true
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = h.WriteString(prompt[end-blockBytes : end])
		if e, ok := c.blocks[h.Sum64()]; ok && hit {
			c.order.MoveToFront(e)
			cached += blockBytes / 4
			continue
		}
		hit = false
		c.add(h.Sum64())
	}
	return cached
}

func (c *prefixCache) add(hash uint64) {
	if e, ok := c.blocks[hash]; ok {
		c.order.MoveToFront(e)
		return
	}
	if c.capacity == 0 {
		return
	}
	if c.order.Len() >= c.capacity {
		oldest := c.order.Back()
		delete(c.blocks, c.order.Remove(oldest).(uint64))
	}
	c.blocks[hash] = c.order.PushFront(hash)
}
