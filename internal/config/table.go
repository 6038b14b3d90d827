package config

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminesaddle/jasminesaddle/internal/cowmap"
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

// table is an immutable map of entities by name.
type table[T proto.Message] struct {
	name string
	rows cowmap.Map[row[T]]
	sum  Digest
}

func (t *table[T]) get(key string) (T, bool) {
	r, ok := t.rows.Get(key)
	return r.entity, ok
}

// keys returns the names in order.
func (t *table[T]) keys() []string {
	out := make([]string, 0, t.rows.Len())
	for k := range t.rows.All {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// sorted returns the entities in the order of their keys.
func (t *table[T]) sorted() []T {
	out := make([]T, 0, t.rows.Len())
	for _, k := range t.keys() {
		entity, _ := t.get(k)
		out = append(out, entity)
	}
	return out
}

// diff calls put for each entity that to adds or changes and del for each that
// it lacks, in the order of their keys.
func (t *table[T]) diff(to *table[T], put func(T), del func(string)) {
	for _, k := range t.keys() {
		if _, ok := to.rows.Get(k); !ok {
			del(k)
		}
	}
	for _, k := range to.keys() {
		next, _ := to.rows.Get(k)
		if old, ok := t.rows.Get(k); !ok || old.digest != next.digest {
			put(next.entity)
		}
	}
}

// tableEditor builds the next version of a table. It copies a part of the table
// at its first write there.
type tableEditor[T proto.Message] struct {
	table *table[T]
	rows  *cowmap.Editor[row[T]]
}

// open starts the edit with the first write.
func (e *tableEditor[T]) open() *cowmap.Editor[row[T]] {
	if e.rows == nil {
		e.rows = e.table.rows.Edit()
	}
	return e.rows
}

func (e *tableEditor[T]) get(key string) (T, bool) {
	r, ok := e.open().Get(key)
	return r.entity, ok
}

func (e *tableEditor[T]) put(key string, entity T) {
	e.remove(key)
	d := entityDigest(e.table.name, entity)
	e.open().Put(key, row[T]{entity: entity, digest: d})
	e.table.sum = e.table.sum.plus(d)
}

func (e *tableEditor[T]) remove(key string) {
	old, ok := e.open().Get(key)
	if !ok {
		return
	}
	e.rows.Delete(key)
	e.table.sum = e.table.sum.minus(old.digest)
}

// close ends the edit.
func (e *tableEditor[T]) close() {
	if e.rows != nil {
		e.table.rows = e.rows.Map()
	}
}
