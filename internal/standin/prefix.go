package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of one cached block of a prompt: 16 tokens of 4 bytes.
const blockBytes = 64

// prefixCache is an LRU cache of prompt blocks. A block's hash covers the model
// and all of the prompt up to the end of the block.
type prefixCache struct {
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{capacity: tokens * 4 / blockBytes, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// cachePrompt returns how many tokens of the prompt were cached, and caches the
// rest. Blocks are not shared between models, since KV values differ per adapter.
func (c *prefixCache) cachePrompt(model, prompt string) int {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(model + "\x00")
	cached, hit := 0, true
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = h.WriteString(prompt[end-blockBytes : end])
		if e, ok := c.blocks[h.Sum64()]; ok && hit {
			c.lru.MoveToFront(e)
			cached += blockBytes / 4
			continue
		}
		hit = false
		c.addBlock(h.Sum64())
	}
	return cached
}

func (c *prefixCache) addBlock(hash uint64) {
	if e, ok := c.blocks[hash]; ok {
		c.lru.MoveToFront(e)
		return
	}
	if c.capacity == 0 {
		return
	}
	if c.lru.Len() >= c.capacity {
		oldest := c.lru.Back()
		delete(c.blocks, c.lru.Remove(oldest).(uint64))
	}
	c.blocks[hash] = c.lru.PushFront(hash)
}
