// Package cowmap provides an immutable map from strings that is cheap to change
// in part: a change copies only the shards that it touches.
package cowmap

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shards bounds the copying of a change to 1/64 of the map per touched key.
const shards = 64

// Map is one immutable version. The zero Map is empty.
type Map[V any] struct {
	parts [shards]map[string]V
	size  int
}

// Get returns the value of the key.
func (m *Map[V]) Get(key string) (V, bool) {
	v, ok := m.parts[shardOf(key)][key]
	return v, ok
}

// Len returns the number of keys.
func (m *Map[V]) Len() int { return m.size }

// All calls yield for each key in no particular order until it returns false.
func (m *Map[V]) All(yield func(string, V) bool) {
	for _, part := range m.parts {
		for k, v := range part {
			if !yield(k, v) {
				return
			}
		}
	}
}

// Edit starts a new version.
func (m *Map[V]) Edit() *Editor[V] {
	return &Editor[V]{next: *m}
}

// Editor builds the next version of a map.
type Editor[V any] struct {
	next  Map[V]
	owned [shards]bool
}

// Get returns the value of the key in the version being built.
func (e *Editor[V]) Get(key string) (V, bool) { return e.next.Get(key) }

// Put sets the value of the key.
func (e *Editor[V]) Put(key string, v V) {
	part := e.own(shardOf(key))
	if _, ok := part[key]; !ok {
		e.next.size++
	}
	part[key] = v
}

// Delete removes the key.
func (e *Editor[V]) Delete(key string) {
	if _, ok := e.next.Get(key); !ok {
		return
	}
	delete(e.own(shardOf(key)), key)
	e.next.size--
}

// Map ends the edit and returns the new version.
func (e *Editor[V]) Map() Map[V] {
	e.owned = [shards]bool{}
	return e.next
}

func (e *Editor[V]) own(i int) map[string]V {
	if !e.owned[i] {
		e.owned[i] = true
		if e.next.parts[i] = maps.Clone(e.next.parts[i]); e.next.parts[i] == nil {
			e.next.parts[i] = map[string]V{}
		}
	}
	return e.next.parts[i]
}

func shardOf(key string) int { return int(xxhash.Sum64String(key) % shards) }
