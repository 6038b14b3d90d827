package storage

import (
	"bytes"
	"encoding/binary"

	"go.etcd.io/bbolt"
)

// encodeContents returns the value of the contents record, which states which
// other records exist. Without it, damage to a page's header could hide records,
// whose checksums would then go unchecked.
func encodeContents(tx *bbolt.Tx) []byte {
	var b []byte
	meta := tx.Bucket(metaBucket)
	for _, key := range [][]byte{keyHardState, keySnapshot, keyFirst} {
		if meta.Get(key) != nil {
			b = append(b, 1)
		} else {
			b = append(b, 0)
		}
	}
	peers := uint64(0)
	c := tx.Bucket(peersBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		peers++
	}
	b = binary.BigEndian.AppendUint64(b, peers)
	entries := tx.Bucket(entriesBucket).Cursor()
	first, _ := entries.First()
	if first == nil {
		// Cursor.Last loops forever in a bucket whose pages have all been emptied in
		// this transaction.
		return b
	}
	b = append(b, first...)
	last, _ := entries.Last()
	return append(b, last...)
}

func writeContents(tx *bbolt.Tx) error {
	return tx.Bucket(metaBucket).Put(keyContents, addChecksum(keyContents, encodeContents(tx)))
}

// checkContents checks that no record is hidden.
func checkContents(tx *bbolt.Tx) error {
	want, err := stripChecksum(keyContents, tx.Bucket(metaBucket).Get(keyContents))
	if err != nil {
		return err
	}
	if !bytes.Equal(want, encodeContents(tx)) {
		return damagedError(nil, "records are missing")
	}
	return nil
}
