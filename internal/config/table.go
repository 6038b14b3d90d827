package config

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/jasminesaddle/jasminesaddle/internal/cowmap"
)

// Digest identifies the content of a configuration. It is the sum of the
// entities' SHA-256 hashes as four 64-bit numbers, so that an update costs time
// proportional to the changed entities, not to the size of the configuration.
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

// entityDigest hashes one entity together with its table's name. The messages
// contain no maps, so deterministic encoding gives the same bytes on every host
// that runs the same release.
func entityDigest(table string, m proto.Message) Digest {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Marshal fails only on invalid UTF-8, which the decoder rejects.
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

// entry is an entity with its digest.
type entry[T proto.Message] struct {
	entity T
	digest Digest
}

// table is an immutable map of entities by name.
type table[T proto.Message] struct {
	name    string
	entries cowmap.Map[entry[T]]
	sum     Digest
}

func (t *table[T]) get(key string) (T, bool) {
	e, ok := t.entries.Get(key)
	return e.entity, ok
}

// keys returns the keys in sorted order.
func (t *table[T]) keys() []string {
	out := make([]string, 0, t.entries.Len())
	for k := range t.entries.All {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// sorted returns the entities sorted by key.
func (t *table[T]) sorted() []T {
	out := make([]T, 0, t.entries.Len())
	for _, k := range t.keys() {
		entity, _ := t.get(k)
		out = append(out, entity)
	}
	return out
}

// diff calls del for each key that to lacks, then put for each entity that to
// adds or changes, both in the order of the keys.
func (t *table[T]) diff(to *table[T], put func(T), del func(string)) {
	for _, k := range t.keys() {
		if _, ok := to.entries.Get(k); !ok {
			del(k)
		}
	}
	for _, k := range to.keys() {
		next, _ := to.entries.Get(k)
		if old, ok := t.entries.Get(k); !ok || old.digest != next.digest {
			put(next.entity)
		}
	}
}

// tableEditor builds the next version of a table. It copies a part of the table
// on the first write to that part.
type tableEditor[T proto.Message] struct {
	table   *table[T]
	entries *cowmap.Editor[entry[T]]
}

// editor returns the editor of the table's entries, which it creates on first use.
func (e *tableEditor[T]) editor() *cowmap.Editor[entry[T]] {
	if e.entries == nil {
		e.entries = e.table.entries.Edit()
	}
	return e.entries
}

func (e *tableEditor[T]) get(key string) (T, bool) {
	old, ok := e.editor().Get(key)
	return old.entity, ok
}

func (e *tableEditor[T]) put(key string, entity T) {
	e.remove(key)
	d := entityDigest(e.table.name, entity)
	e.editor().Put(key, entry[T]{entity: entity, digest: d})
	e.table.sum = e.table.sum.plus(d)
}

func (e *tableEditor[T]) remove(key string) {
	old, ok := e.editor().Get(key)
	if !ok {
		return
	}
	e.entries.Delete(key)
	e.table.sum = e.table.sum.minus(old.digest)
}

// close stores the edited entries in the table.
func (e *tableEditor[T]) close() {
	if e.entries != nil {
		e.table.entries = e.entries.Map()
	}
}
