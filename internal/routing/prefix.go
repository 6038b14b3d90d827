package routing

import (
	"cmp"
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PrefixOptions sets the bounds of a PrefixIndex. Zero fields take the default.
type PrefixOptions struct {
	// MaxEntries bounds the number of prefix and engine pairs.
	MaxEntries int
	// MaxAge is how long a prefix is believed to stay in an engine's cache.
	MaxAge time.Duration
	// BlockBytes is the granularity of prefixes.
	BlockBytes int
	// MaxBlocks bounds the hashes of one prompt.
	MaxBlocks int
}

func (o PrefixOptions) withDefaults() PrefixOptions {
	o.MaxEntries = cmp.Or(o.MaxEntries, 65_536)
	o.MaxAge = cmp.Or(o.MaxAge, 2*time.Minute)
	o.BlockBytes = cmp.Or(o.BlockBytes, 256)
	o.MaxBlocks = cmp.Or(o.MaxBlocks, 32)
	return o
}

// bytesPerToken is the usual ratio for English text.
const bytesPerToken = 4

type prefixKey struct {
	hash   uint64
	engine string
}

type prefixEntry struct {
	key  prefixKey
	seen time.Time
}

// PrefixIndex remembers which engines served which prompt prefixes. It is built
// from the host's own requests, since the engines' cache events arrive late and
// with gaps. It is not safe for concurrent use.
type PrefixIndex struct {
	opts    PrefixOptions
	entries map[prefixKey]*list.Element
	recent  *list.List // least recently seen first
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(opts PrefixOptions) *PrefixIndex {
	return &PrefixIndex{opts: opts.withDefaults(), entries: map[prefixKey]*list.Element{}, recent: list.New()}
}

// Hashes appends the hashes of the prompt's prefixes to dst, the shortest first.
// The model is part of each hash, since adapters do not share cached prompts.
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

// Add notes that the engine serves a prompt with the hashes.
func (x *PrefixIndex) Add(engine string, hashes []uint64, now time.Time) {
	for _, h := range hashes {
		key := prefixKey{h, engine}
		if e := x.entries[key]; e != nil {
			e.Value.(*prefixEntry).seen = now
			x.recent.MoveToBack(e)
			continue
		}
		x.entries[key] = x.recent.PushBack(&prefixEntry{key, now})
	}
	x.expire(now)
}

func (x *PrefixIndex) expire(now time.Time) {
	for e := x.recent.Front(); e != nil; e = x.recent.Front() {
		entry := e.Value.(*prefixEntry)
		if x.recent.Len() <= x.opts.MaxEntries && now.Sub(entry.seen) <= x.opts.MaxAge {
			return
		}
		x.recent.Remove(e)
		delete(x.entries, entry.key)
	}
}

// Tokens returns how many tokens of the prompt the engine is believed to have
// cached.
func (x *PrefixIndex) Tokens(engine string, hashes []uint64, now time.Time) int {
	blocks := 0
	for _, h := range hashes {
		e := x.entries[prefixKey{h, engine}]
		if e == nil || now.Sub(e.Value.(*prefixEntry).seen) > x.opts.MaxAge {
			break
		}
		blocks++
	}
	return blocks * x.opts.BlockBytes / bytesPerToken
}

// Forget drops an engine that restarted with an empty cache.
func (x *PrefixIndex) Forget(engine string) {
	for e := x.recent.Front(); e != nil; {
		next := e.Next()
		if key := e.Value.(*prefixEntry).key; key.engine == engine {
			x.recent.Remove(e)
			delete(x.entries, key)
		}
		e = next
	}
}

// Len returns the number of entries.
func (x *PrefixIndex) Len() int { return len(x.entries) }
