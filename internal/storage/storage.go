// Package storage stores the replicated log of a control host in one bbolt file:
// hard state, entries, snapshot, disk identity, the runs on the data folder and
// the newest run seen from each peer. Each save is one synced transaction.
package storage

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/consensus"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// FormatVersion is the file format that this release writes. Newer formats are
// rejected.
const FormatVersion = 1

// FileName is the name of the file in the data folder.
const FileName = "log.db"

// maxEarlierRuns limits the recorded runs. A peer that has missed more restarts
// of a host than this can check only its boot counter.
const maxEarlierRuns = 64

// Options holds the settings of a store.
type Options struct {
	// MaxSize limits the size of the file in bytes; 0 means no limit.
	MaxSize int
	// NoSync skips the sync of each save. Only simulations may set it.
	NoSync bool
	// BeforeSave is called before each save, so that simulations can stall a disk.
	BeforeSave func()
}

// Identity identifies a data folder and one run on it.
type Identity struct {
	// DiskID is a random name generated when the data folder is created.
	DiskID string
	// Boot is the number of times that the data folder was opened.
	Boot uint64
	// Nonce is a random number that tells apart runs with the same boot counter,
	// which occur when an earlier copy of the data folder is started.
	Nonce uint64
	// EarlierRuns contains the earlier runs, the oldest first.
	EarlierRuns []consensus.Run
}

// Update contains the changes of one save.
type Update struct {
	HardState *consensus.HardState
	// Snapshot replaces the saved snapshot. With Reset all saved entries are
	// deleted, otherwise those before KeepFrom.
	Snapshot *consensus.Snapshot
	Reset    bool
	KeepFrom uint64
	// Entries replace all saved entries from the first one's index.
	Entries []*apiv1.LogEntry
	// Peers replaces the newest run seen on each of these disks.
	Peers map[string]consensus.Run
	// FirstMembers is the first member set of the cluster.
	FirstMembers *apiv1.MemberSet
}

// Store is an open data folder. It is safe for concurrent use.
type Store struct {
	db       *bbolt.DB
	identity Identity

	mu    sync.Mutex
	saves uint64
	// firstSaveErr is the error of the first failed save; all later saves return it.
	firstSaveErr error
	loaded       loaded
	// beforeSave is a hook for simulations; nil in production.
	beforeSave func()
}

// Open opens the data folder and increments its boot counter. It creates the
// folder and the file if they do not exist, and verifies all saved records.
func Open(dir string, opts Options) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, ioError(err, "cannot create the data folder")
	}
	s := &Store{}
	s.beforeSave = opts.BeforeSave
	err := recoverPanic(func() error { return s.open(filepath.Join(dir, FileName), opts) })
	if err != nil {
		if s.db != nil {
			_ = recoverPanic(s.db.Close)
		}
		return nil, err
	}
	if err := syncDir(dir); err != nil {
		_ = s.db.Close()
		return nil, ioError(err, "cannot sync the data folder")
	}
	return s, nil
}

func (s *Store) open(path string, opts Options) error {
	lastSave, err := s.check(path)
	if err != nil {
		return err
	}
	if s.db, err = bbolt.Open(path, 0o600, boltOptions(opts)); err != nil {
		return openError(err)
	}
	var nonce [8]byte
	// crypto/rand never fails.
	_, _ = rand.Read(nonce[:])
	s.identity.Nonce = binary.BigEndian.Uint64(nonce[:])
	err = s.db.Update(func(tx *bbolt.Tx) error {
		s.saves = uint64(tx.ID())
		if lastSave != 0 && s.saves != lastSave+1 {
			return fault.New(fault.KindUnavailable, "another process has written to the data folder",
				"run one process on it").At("data_folder")
		}
		return recordBoot(tx, &s.identity)
	})
	if err != nil {
		return saveError(err)
	}
	return nil
}

func boltOptions(opts Options) *bbolt.Options {
	return &bbolt.Options{
		Timeout: time.Second, NoSync: opts.NoSync, NoFreelistSync: true,
		FreelistType: bbolt.FreelistMapType, MaxSize: opts.MaxSize,
	}
}

// check reads and verifies all records without writing, and returns the number
// of the last save, or 0 for a new file. It must run before the file is opened
// for writing, because bbolt then reads the file in another goroutine, where a
// panic on a damaged page cannot be recovered.
func (s *Store) check(path string) (lastSave uint64, err error) {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) || err == nil && info.Size() == 0 {
		return 0, nil
	}
	if err != nil {
		return 0, ioError(err, "cannot read the data folder")
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, ReadOnly: true})
	if err != nil {
		return 0, openError(err)
	}
	defer func() { _ = db.Close() }()
	err = db.View(func(tx *bbolt.Tx) error {
		lastSave = uint64(tx.ID())
		if err := checkPages(path, lastSave); err != nil {
			return err
		}
		if err := checkVersion(tx); err != nil {
			return err
		}
		return s.loaded.read(tx)
	})
	return lastSave, err
}

// recoverPanic converts a panic or a memory fault on the mapped file into an
// error, because bbolt assumes that the file is intact.
func recoverPanic(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = damagedError(nil, "the file cannot be read")
		}
	}()
	return f()
}

// Identity returns the disk identity and the current run.
func (s *Store) Identity() Identity { return s.identity }

// Saves returns the number of the last save. It increases over the life of the
// data folder.
func (s *Store) Saves() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saves
}

// Close closes the data folder.
func (s *Store) Close() error {
	if err := s.db.Close(); err != nil {
		return ioError(err, "cannot close the data folder")
	}
	return nil
}

// Save writes and syncs an update. After a failed save the file may or may not
// contain the update, so every later save fails too and the host must restart.
func (s *Store) Save(u Update) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstSaveErr != nil {
		return s.firstSaveErr
	}
	if s.beforeSave != nil {
		s.beforeSave()
	}
	var id uint64
	err := s.db.Update(func(tx *bbolt.Tx) error {
		id = uint64(tx.ID())
		return write(tx, u)
	})
	if err != nil {
		s.firstSaveErr = saveError(err)
		return s.firstSaveErr
	}
	s.saves = id
	return nil
}

// recordBoot creates the buckets and the disk identity of a new file, and adds
// the current run to the recorded runs.
func recordBoot(tx *bbolt.Tx, id *Identity) error {
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	for _, name := range [][]byte{entriesBucket, peersBucket} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	if meta.Get(keyDisk) == nil {
		var disk [16]byte
		_, _ = rand.Read(disk[:])
		if err := meta.Put(keyDisk, []byte(hex.EncodeToString(disk[:]))); err != nil {
			return err
		}
		if err := meta.Put(keyVersion, encodeUint64(FormatVersion)); err != nil {
			return err
		}
	}
	id.DiskID = string(meta.Get(keyDisk))
	runs, err := readRuns(meta)
	if err != nil {
		return err
	}
	id.Boot = 1
	if k := len(runs); k > 0 {
		id.Boot = runs[k-1].Boot + 1
		runs[k-1].Saves = uint64(tx.ID()) - 1
		runs = runs[max(0, k-maxEarlierRuns):]
	}
	id.EarlierRuns = runs
	if err := writeRuns(meta, append(slices.Clone(runs), consensus.Run{Boot: id.Boot, Nonce: id.Nonce})); err != nil {
		return err
	}
	return writeContents(tx)
}

func encodeUint64(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

func checkVersion(tx *bbolt.Tx) error {
	meta := tx.Bucket(metaBucket)
	if meta == nil {
		return nil
	}
	v := meta.Get(keyVersion)
	if len(v) != 8 || len(meta.Get(keyDisk)) == 0 {
		return damagedError(nil, "the format version or the disk identity is missing")
	}
	if got := binary.BigEndian.Uint64(v); got > FormatVersion {
		return fault.Newf(fault.KindStorageVersion, "start the release that wrote it, or a newer one",
			"the data folder has format %d, and this release reads up to %d", got, FormatVersion).At("data_folder")
	}
	return nil
}

func damagedError(cause error, message string) error {
	const remedy = "replace this member: start it with an empty data folder and add it again"
	return fault.Wrap(cause, fault.KindStorageDamaged, message, remedy).At("data_folder")
}

func ioError(err error, message string) error {
	if _, ok := fault.As(err); ok {
		return err
	}
	return fault.Wrap(err, fault.KindUnavailable, message, "check the disk and its permissions").At("data_folder")
}

func openError(err error) error {
	var errno syscall.Errno
	switch {
	case errors.Is(err, berrors.ErrTimeout):
		return fault.Wrap(err, fault.KindUnavailable, "another process uses the data folder", "stop it first").At("data_folder")
	case errors.Is(err, berrors.ErrVersionMismatch):
		return fault.Wrap(err, fault.KindStorageVersion, "the file has another database version",
			"start the release that wrote it").At("data_folder")
	case errors.As(err, &errno):
		return ioError(err, "cannot open the file")
	}
	return damagedError(err, "the file's header is damaged")
}

// saveError classifies the error of a save: a full disk, another error of the
// operating system, or a damaged file.
func saveError(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, berrors.ErrMaxSizeReached) {
		return fault.Wrap(err, fault.KindUnavailable, "the disk is full", "free space and restart this host").At("data_folder")
	}
	var errno syscall.Errno
	if _, ok := fault.As(err); ok || errors.As(err, &errno) {
		return ioError(err, "cannot save")
	}
	// All other errors of bbolt indicate a damaged file.
	return damagedError(err, "the file cannot be written")
}
