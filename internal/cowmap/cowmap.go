// Package cowmap provides an immutable copy-on-write map with string keys. A
// change copies only the shards that it modifies.
package cowmap

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount limits the copying per changed key to about 1/64 of the map.
const shardCount = 64

// Map is one immutable version. The zero Map is empty.
type Map[V any] struct {
	shards [shardCount]map[string]V
	size   int
}

// Get returns the value of the key.
func (m *Map[V]) Get(key string) (V, bool) {
	v, ok := m.shards[shardOf(key)][key]
	return v, ok
}

// Len returns the number of keys.
func (m *Map[V]) Len() int { return m.size }

// All iterates over the keys and values in no particular order.
func (m *Map[V]) All(yield func(string, V) bool) {
	for _, shard := range m.shards {
		for k, v := range shard {
			if !yield(k, v) {
				return
			}
		}
	}
}

// Edit returns an editor for the next version; m does not change.
func (m *Map[V]) Edit() *Editor[V] {
	return &Editor[V]{next: *m}
}

// Editor builds the next version of a map.
type Editor[V any] struct {
	next Map[V]
	// copied marks the shards of next that are not shared with another version.
	copied [shardCount]bool
}

// Get returns the value of the key in the version being built.
func (e *Editor[V]) Get(key string) (V, bool) { return e.next.Get(key) }

// Put sets the value of the key.
func (e *Editor[V]) Put(key string, v V) {
	shard := e.writable(shardOf(key))
	if _, ok := shard[key]; !ok {
		e.next.size++
	}
	shard[key] = v
}

// Delete removes the key.
func (e *Editor[V]) Delete(key string) {
	if _, ok := e.next.Get(key); !ok {
		return
	}
	delete(e.writable(shardOf(key)), key)
	e.next.size--
}

// Map returns the new version. Later edits start from it and do not change it.
func (e *Editor[V]) Map() Map[V] {
	e.copied = [shardCount]bool{}
	return e.next
}

// writable returns the shard, copied first if it is shared.
func (e *Editor[V]) writable(i int) map[string]V {
	if !e.copied[i] {
		e.copied[i] = true
		if e.next.shards[i] = maps.Clone(e.next.shards[i]); e.next.shards[i] == nil {
			e.next.shards[i] = map[string]V{}
		}
	}
	return e.next.shards[i]
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shardCount) }
