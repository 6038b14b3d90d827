package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
)

// Layout of a bbolt page: a header of id, flags, count and overflow, then count
// elements. See the database format of go.etcd.io/bbolt.
const (
	pageHeaderSize  = 16
	pageElementSize = 16
	pageBranch      = 0x01
	pageLeaf        = 0x02
	leafBucket      = 0x01
	metaSizeAt      = pageHeaderSize + 8
	metaRootAt      = pageHeaderSize + 16
	metaPagesAt     = pageHeaderSize + 40
	metaTxAt        = pageHeaderSize + 48
)

// pageWalk visits the pages of a file as of one transaction. bbolt follows page
// numbers without a check, so that a damaged number that leads back to an
// earlier page would make it read without an end.
type pageWalk struct {
	file     *os.File
	pageSize int64
	pages    uint64
	seen     map[uint64]bool
}

// checkPages checks that the pages form a tree.
func checkPages(path string, txid uint64) error {
	f, err := os.Open(path)
	if err != nil {
		return ioError(err, "cannot read the file")
	}
	defer f.Close()
	w := &pageWalk{file: f, seen: map[uint64]bool{0: true, 1: true}}
	root, err := w.findRoot(txid)
	if err != nil {
		return err
	}
	return w.visit(root)
}

// findRoot reads the header page of the transaction. The page size is in the
// first header, or, when that is damaged, the second header shows the system's.
func (w *pageWalk) findRoot(txid uint64) (uint64, error) {
	sizes := []int64{int64(os.Getpagesize())}
	var head [metaTxAt + 8]byte
	if _, err := w.file.ReadAt(head[:], 0); err == nil {
		sizes = append(sizes, int64(binary.NativeEndian.Uint32(head[metaSizeAt:])))
	}
	for _, size := range sizes {
		for _, at := range []int64{0, size} {
			if _, err := w.file.ReadAt(head[:], at); err != nil {
				continue
			}
			if binary.NativeEndian.Uint64(head[metaTxAt:]) == txid && int64(binary.NativeEndian.Uint32(head[metaSizeAt:])) == size {
				w.pageSize = size
				w.pages = binary.NativeEndian.Uint64(head[metaPagesAt:])
				return binary.NativeEndian.Uint64(head[metaRootAt:]), nil
			}
		}
	}
	return 0, damaged(nil, "the file's header is damaged")
}

func (w *pageWalk) read(id uint64) ([]byte, error) {
	if id >= w.pages {
		return nil, damaged(nil, fmt.Sprintf("page %d is beyond the end", id))
	}
	head := make([]byte, pageHeaderSize)
	if _, err := w.file.ReadAt(head, int64(id)*w.pageSize); err != nil {
		return nil, readError(err)
	}
	overflow := uint64(binary.NativeEndian.Uint32(head[12:]))
	if binary.NativeEndian.Uint64(head) != id || id+overflow >= w.pages {
		return nil, damaged(nil, fmt.Sprintf("the header of page %d is wrong", id))
	}
	for i := id; i <= id+overflow; i++ {
		if w.seen[i] {
			return nil, damaged(nil, fmt.Sprintf("page %d is in use twice", i))
		}
		w.seen[i] = true
	}
	page := make([]byte, int64(overflow+1)*w.pageSize)
	if _, err := w.file.ReadAt(page, int64(id)*w.pageSize); err != nil {
		return nil, readError(err)
	}
	return page, nil
}

func readError(err error) error {
	if errors.Is(err, io.EOF) {
		return damaged(err, "the file is too short")
	}
	return ioError(err, "cannot read the file")
}

func (w *pageWalk) visit(id uint64) error {
	page, err := w.read(id)
	if err != nil {
		return err
	}
	flags, count := binary.NativeEndian.Uint16(page[8:]), int(binary.NativeEndian.Uint16(page[10:]))
	if flags != pageBranch && flags != pageLeaf || flags == pageBranch && count == 0 ||
		pageHeaderSize+count*pageElementSize > len(page) {
		return damaged(nil, fmt.Sprintf("the header of page %d is wrong", id))
	}
	for i := range count {
		at := pageHeaderSize + i*pageElementSize
		child, ok := uint64(0), true
		if flags == pageBranch {
			child = binary.NativeEndian.Uint64(page[at+8:])
		} else {
			child, ok = bucketRoot(page, at)
		}
		if !ok || flags == pageBranch && child == 0 {
			return damaged(nil, fmt.Sprintf("an element of page %d is wrong", id))
		}
		// Root 0 is a value, or a bucket that is held in the page itself.
		if child == 0 {
			continue
		}
		if err := w.visit(child); err != nil {
			return err
		}
	}
	return nil
}

// bucketRoot returns the root page of the bucket that the leaf element at the
// offset holds, 0 for a plain value, and false when it is out of the page.
func bucketRoot(page []byte, at int) (uint64, bool) {
	kind, pos := binary.NativeEndian.Uint32(page[at:]), uint64(binary.NativeEndian.Uint32(page[at+4:]))
	key, value := uint64(binary.NativeEndian.Uint32(page[at+8:])), uint64(binary.NativeEndian.Uint32(page[at+12:]))
	start := uint64(at) + pos + key
	if start+value > uint64(len(page)) {
		return 0, false
	}
	if kind&leafBucket == 0 {
		return 0, true
	}
	if value < 16 {
		return 0, false
	}
	return binary.NativeEndian.Uint64(page[start:]), true
}
