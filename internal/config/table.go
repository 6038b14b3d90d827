package config

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"
)

// Digest identifies the content of a configuration. It is the sum of the
// entities' SHA-256 hashes as four 64-bit numbers, so that a change costs only
// the entities that it touches, whatever the size of the configuration.
type Digest [4]uint64

// Bytes returns the digest as 32 bytes, big-endian.
func (d Digest) Bytes() []byte {
	out := make([]byte, 0, sha256.Size)
	for _, word := range d {
		out = binary.BigEndian.AppendUint64(out, word)
	}
	return out
}

func (d Digest) plus(o Digest) Digest {
	for i := range d {
		d[i] += o[i]
	}
	return d
}

func (d Digest) minus(o Digest) Digest {
	for i := range d {
		d[i] -= o[i]
	}
	return d
}

// entityDigest hashes one entity under its table's name. The messages hold no
// maps, so that deterministic encoding gives the same bytes on every host of
// one release.
func entityDigest(table string, m proto.Message) Digest {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails only on invalid UTF-8, which the decoder has refused.
		panic(err)
	}
	h := sha256.New()
	h.Write([]byte(table))
	h.Write([]byte{0})
	h.Write(encoded)
	sum := h.Sum(nil)
	var d Digest
	for i := range d {
		d[i] = binary.BigEndian.Uint64(sum[i*8:])
	}
	return d
}

// row is an entity with its hash.
type row[T proto.Message] struct {
	entity T
	digest Digest
}

// table is an immutable map of entities by name. Writers copy it first.
type table[T proto.Message] struct {
	name string
	rows map[string]row[T]
	sum  Digest
}

func newTable[T proto.Message](name string) table[T] {
	return table[T]{name: name, rows: map[string]row[T]{}}
}

func (t table[T]) get(key string) (T, bool) {
	r, ok := t.rows[key]
	return r.entity, ok
}

func (t *table[T]) put(key string, entity T) {
	t.remove(key)
	d := entityDigest(t.name, entity)
	t.rows[key] = row[T]{entity: entity, digest: d}
	t.sum = t.sum.plus(d)
}

func (t *table[T]) remove(key string) {
	old, ok := t.rows[key]
	if !ok {
		return
	}
	delete(t.rows, key)
	t.sum = t.sum.minus(old.digest)
}

// sorted returns the entities in the order of their keys.
func (t table[T]) sorted() []T {
	keys := slices.Sorted(maps.Keys(t.rows))
	out := make([]T, 0, len(keys))
	for _, k := range keys {
		out = append(out, t.rows[k].entity)
	}
	return out
}

// diff calls put for each entity that to adds or changes and del for each that
// it lacks, in the order of their keys.
func (t table[T]) diff(to table[T], put func(T), del func(string)) {
	for _, k := range slices.Sorted(maps.Keys(t.rows)) {
		if _, ok := to.rows[k]; !ok {
			del(k)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(to.rows)) {
		next := to.rows[k]
		if old, ok := t.rows[k]; !ok || old.digest != next.digest {
			put(next.entity)
		}
	}
}
