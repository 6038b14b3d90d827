package routing

import (
	"cmp"
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PrefixOptions sets the limits of a PrefixIndex. Zero fields take the default.
type PrefixOptions struct {
	// MaxEntries limits the number of pairs of a prefix and an engine.
	MaxEntries int
	// MaxAge is how long a prefix is assumed to stay in an engine's cache.
	MaxAge time.Duration
	// BlockBytes is the size of a block; prefixes consist of whole blocks.
	BlockBytes int
	// MaxBlocks limits the number of hashes per prompt.
	MaxBlocks int
}

func (o PrefixOptions) withDefaults() PrefixOptions {
	o.MaxEntries = cmp.Or(o.MaxEntries, 65_536)
	o.MaxAge = cmp.Or(o.MaxAge, 2*time.Minute)
	o.BlockBytes = cmp.Or(o.BlockBytes, 256)
	o.MaxBlocks = cmp.Or(o.MaxBlocks, 32)
	return o
}

// bytesPerToken is the typical ratio for English text.
const bytesPerToken = 4

type prefixKey struct {
	hash   uint64
	engine string
}

type prefixEntry struct {
	key      prefixKey
	lastUsed time.Time
}

// PrefixIndex records which engines served which prompt prefixes. It is built from
// this host's requests, since the engines' cache events arrive late and with gaps. It
// is not safe for concurrent use.
type PrefixIndex struct {
	opts    PrefixOptions
	entries map[prefixKey]*list.Element
	lru     *list.List // of *prefixEntry, least recently used first
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(opts PrefixOptions) *PrefixIndex {
	return &PrefixIndex{opts: opts.withDefaults(), entries: map[prefixKey]*list.Element{}, lru: list.New()}
}

// Hashes appends the hashes of the prompt's prefixes to dst, shortest first. The
// model is part of each hash, since adapters do not share cached prompts.
func (x *PrefixIndex) Hashes(dst []uint64, model string, prompt []byte) []uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	for n := 0; n < x.opts.MaxBlocks && len(prompt) >= x.opts.BlockBytes; n++ {
		_, _ = d.Write(prompt[:x.opts.BlockBytes])
		prompt = prompt[x.opts.BlockBytes:]
		dst = append(dst, d.Sum64())
	}
	return dst
}

// Add records that the engine serves a prompt with the hashes.
func (x *PrefixIndex) Add(engine string, hashes []uint64, now time.Time) {
	for _, h := range hashes {
		key := prefixKey{h, engine}
		if e := x.entries[key]; e != nil {
			e.Value.(*prefixEntry).lastUsed = now
			x.lru.MoveToBack(e)
			continue
		}
		x.entries[key] = x.lru.PushBack(&prefixEntry{key, now})
	}
	x.expire(now)
}

// expire removes the entries above MaxEntries and those older than MaxAge.
func (x *PrefixIndex) expire(now time.Time) {
	for e := x.lru.Front(); e != nil; e = x.lru.Front() {
		entry := e.Value.(*prefixEntry)
		if x.lru.Len() <= x.opts.MaxEntries && now.Sub(entry.lastUsed) <= x.opts.MaxAge {
			return
		}
		x.lru.Remove(e)
		delete(x.entries, entry.key)
	}
}

// CachedTokens estimates how many tokens of the prompt with the hashes the engine has
// cached.
func (x *PrefixIndex) CachedTokens(engine string, hashes []uint64, now time.Time) int {
	blocks := 0
	for _, h := range hashes {
		e := x.entries[prefixKey{h, engine}]
		if e == nil || now.Sub(e.Value.(*prefixEntry).lastUsed) > x.opts.MaxAge {
			break
		}
		blocks++
	}
	return blocks * x.opts.BlockBytes / bytesPerToken
}

// Forget removes the entries of an engine that restarted with an empty cache.
func (x *PrefixIndex) Forget(engine string) {
	for e := x.lru.Front(); e != nil; {
		next := e.Next()
		if key := e.Value.(*prefixEntry).key; key.engine == engine {
			x.lru.Remove(e)
			delete(x.entries, key)
		}
		e = next
	}
}

// Len returns the number of entries.
func (x *PrefixIndex) Len() int { return len(x.entries) }
