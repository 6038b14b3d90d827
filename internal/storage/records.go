package storage

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
)

// Buckets and keys of the file. All values except the version and the disk
// identity begin with the xxhash64 of the key and the remaining bytes.
var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	peersBucket   = []byte("peers")

	keyVersion   = []byte("version")
	keyDisk      = []byte("disk")
	keyRuns      = []byte("runs")
	keyHardState = []byte("hard_state")
	keySnapshot  = []byte("snapshot")
	keyFirst     = []byte("first_members")
	keyContents  = []byte("contents")
)

// loaded is the state read by Open.
type loaded struct {
	saved consensus.Saved
	first *apiv1.MemberSet
	peers map[string]consensus.Run
}

// Load returns the log state as it was when the data folder was opened. Only the
// first call returns it; the store then releases it, and later calls return zero
// values.
func (s *Store) Load() (consensus.Saved, *apiv1.MemberSet, map[string]consensus.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loaded
	s.loaded = loaded{}
	return l.saved, l.first, l.peers
}

// addChecksum returns the value with its checksum in front.
func addChecksum(key, value []byte) []byte {
	out := make([]byte, 8, 8+len(value))
	binary.BigEndian.PutUint64(out, checksum(key, value))
	return append(out, value...)
}

func checksum(key, value []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(value)
	return d.Sum64()
}

// stripChecksum verifies the checksum of a record and returns its value, which
// is valid only within the transaction.
func stripChecksum(key, sealed []byte) ([]byte, error) {
	if len(sealed) < 8 || binary.BigEndian.Uint64(sealed) != checksum(key, sealed[8:]) {
		return nil, damagedError(nil, fmt.Sprintf("the checksum of record %q is wrong", key))
	}
	return sealed[8:], nil
}

func putMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	value, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, addChecksum(key, value))
}

func write(tx *bbolt.Tx, u Update) error {
	meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
	if u.HardState != nil {
		value := append(encodeUint64(u.HardState.Term), u.HardState.Vote...)
		if err := meta.Put(keyHardState, addChecksum(keyHardState, value)); err != nil {
			return err
		}
	}
	if u.Snapshot != nil {
		if err := writeSnapshot(meta, entries, u); err != nil {
			return err
		}
	}
	if u.FirstMembers != nil {
		if err := putMessage(meta, keyFirst, u.FirstMembers); err != nil {
			return err
		}
	}
	if err := writeEntries(entries, u.Entries); err != nil {
		return err
	}
	if err := writePeers(tx.Bucket(peersBucket), u.Peers); err != nil {
		return err
	}
	return writeContents(tx)
}

// writeSnapshot writes the snapshot record, which consists of index, term, length
// of the member set, member set and data, and deletes the entries that the
// update drops.
func writeSnapshot(meta, entries *bbolt.Bucket, u Update) error {
	members := consensus.EncodeMembers(u.Snapshot.Members)
	value := append(encodeUint64(u.Snapshot.Index), encodeUint64(u.Snapshot.Term)...)
	value = append(value, encodeUint64(uint64(len(members)))...)
	value = append(append(value, members...), u.Snapshot.Data...)
	if err := meta.Put(keySnapshot, addChecksum(keySnapshot, value)); err != nil {
		return err
	}
	if u.Reset {
		return deleteRange(entries, 0, ^uint64(0))
	}
	return deleteRange(entries, 0, u.KeepFrom)
}

func readSnapshot(value []byte) (*consensus.Snapshot, error) {
	if len(value) < 24 {
		return nil, damagedError(nil, "the snapshot record is too short")
	}
	size := binary.BigEndian.Uint64(value[16:])
	remaining := value[24:]
	if size > uint64(len(remaining)) {
		return nil, damagedError(nil, "the snapshot record is too short")
	}
	set := &apiv1.MemberSet{}
	if err := proto.Unmarshal(remaining[:size], set); err != nil {
		return nil, damagedError(err, "the member set of the snapshot cannot be decoded")
	}
	return &consensus.Snapshot{
		Index: binary.BigEndian.Uint64(value), Term: binary.BigEndian.Uint64(value[8:]),
		Members: set, Data: bytes.Clone(remaining[size:]),
	}, nil
}

// deleteRange deletes the entries in [from, to).
func deleteRange(b *bbolt.Bucket, from, to uint64) error {
	// Deleting while iterating makes a cursor skip keys, so they are collected
	// first.
	var keys [][]byte
	c := b.Cursor()
	for k, _ := c.Seek(encodeUint64(from)); k != nil && binary.BigEndian.Uint64(k) < to; k, _ = c.Next() {
		keys = append(keys, k)
	}
	for _, k := range keys {
		if err := b.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

func writeEntries(b *bbolt.Bucket, entries []*apiv1.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	last := entries[len(entries)-1].GetIndex()
	if err := deleteRange(b, last+1, ^uint64(0)); err != nil {
		return err
	}
	// Entries are appended in order, so pages need little space for later inserts.
	b.FillPercent = 0.9
	for _, e := range entries {
		if err := putMessage(b, encodeUint64(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// runSize is the size of an encoded run in bytes.
const runSize = 24

func appendRun(b []byte, run consensus.Run) []byte {
	b = binary.BigEndian.AppendUint64(b, run.Boot)
	b = binary.BigEndian.AppendUint64(b, run.Nonce)
	return binary.BigEndian.AppendUint64(b, run.Saves)
}

func decodeRun(b []byte) consensus.Run {
	return consensus.Run{
		Boot: binary.BigEndian.Uint64(b), Nonce: binary.BigEndian.Uint64(b[8:]), Saves: binary.BigEndian.Uint64(b[16:]),
	}
}

func writeRuns(meta *bbolt.Bucket, runs []consensus.Run) error {
	var value []byte
	for _, run := range runs {
		value = appendRun(value, run)
	}
	return meta.Put(keyRuns, addChecksum(keyRuns, value))
}

func readRuns(meta *bbolt.Bucket) ([]consensus.Run, error) {
	v := meta.Get(keyRuns)
	if v == nil {
		return nil, nil
	}
	value, err := stripChecksum(keyRuns, v)
	if err != nil {
		return nil, err
	}
	if len(value)%runSize != 0 {
		return nil, damagedError(nil, "the record of runs has a wrong length")
	}
	var runs []consensus.Run
	for ; len(value) > 0; value = value[runSize:] {
		runs = append(runs, decodeRun(value))
	}
	return runs, nil
}

func writePeers(b *bbolt.Bucket, peers map[string]consensus.Run) error {
	for _, disk := range slices.Sorted(maps.Keys(peers)) {
		value := appendRun(nil, peers[disk])
		if err := b.Put([]byte(disk), addChecksum([]byte(disk), value)); err != nil {
			return err
		}
	}
	return nil
}

func (l *loaded) read(tx *bbolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		// The process stopped before its first save.
		return nil
	}
	if tx.Bucket(entriesBucket) == nil || tx.Bucket(peersBucket) == nil {
		return damagedError(nil, "the entries or the peers are missing")
	}
	if _, err := readRuns(meta); err != nil {
		return err
	}
	if err := l.readMeta(meta); err != nil {
		return err
	}
	l.peers = map[string]consensus.Run{}
	err := tx.Bucket(peersBucket).ForEach(func(k, v []byte) error {
		value, err := stripChecksum(k, v)
		if err != nil {
			return err
		}
		if len(value) != runSize {
			return damagedError(nil, fmt.Sprintf("the record of peer %q has a wrong length", k))
		}
		l.peers[string(k)] = decodeRun(value)
		return nil
	})
	if err != nil {
		return err
	}
	err = tx.Bucket(entriesBucket).ForEach(func(k, v []byte) error {
		value, err := stripChecksum(k, v)
		if err != nil {
			return err
		}
		e := &apiv1.LogEntry{}
		if err := proto.Unmarshal(value, e); err != nil {
			return damagedError(err, "an entry cannot be decoded")
		}
		if k := len(l.saved.Entries); k > 0 && e.GetIndex() != l.saved.Entries[k-1].GetIndex()+1 {
			return damagedError(nil, fmt.Sprintf("entry %d is missing", l.saved.Entries[k-1].GetIndex()+1))
		}
		l.saved.Entries = append(l.saved.Entries, e)
		return nil
	})
	if err != nil {
		return err
	}
	return checkContents(tx)
}

func (l *loaded) readMeta(meta *bbolt.Bucket) error {
	if v := meta.Get(keyHardState); v != nil {
		value, err := stripChecksum(keyHardState, v)
		if err != nil {
			return err
		}
		if len(value) < 8 {
			return damagedError(nil, "the hard state is too short")
		}
		l.saved.HardState = consensus.HardState{Term: binary.BigEndian.Uint64(value), Vote: string(value[8:])}
	}
	if v := meta.Get(keySnapshot); v != nil {
		value, err := stripChecksum(keySnapshot, v)
		if err != nil {
			return err
		}
		if l.saved.Snapshot, err = readSnapshot(value); err != nil {
			return err
		}
	}
	if v := meta.Get(keyFirst); v != nil {
		value, err := stripChecksum(keyFirst, v)
		if err != nil {
			return err
		}
		l.first = &apiv1.MemberSet{}
		if err := proto.Unmarshal(value, l.first); err != nil {
			return damagedError(err, "the first member set cannot be decoded")
		}
	}
	return nil
}
