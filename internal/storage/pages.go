package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
)

// Layout of a bbolt page: a header of id, flags, count and overflow, then count
// elements. Sizes and offsets are in bytes. See the database format of
// go.etcd.io/bbolt.
const (
	pageHeaderSize      = 16
	pageElementSize     = 16
	branchPageFlag      = 0x01
	leafPageFlag        = 0x02
	bucketElementFlag   = 0x01
	metaPageSizeOffset  = pageHeaderSize + 8
	metaRootOffset      = pageHeaderSize + 16
	metaPageCountOffset = pageHeaderSize + 40
	metaTxIDOffset      = pageHeaderSize + 48
)

// pageWalker visits the pages of a file as of one transaction. bbolt follows page
// numbers without checking them, so a damaged number that refers to an earlier
// page would make it read in an endless loop.
type pageWalker struct {
	file      *os.File
	pageSize  int64
	pageCount uint64
	seen      map[uint64]bool
}

// checkPages checks that the pages form a tree.
func checkPages(path string, txid uint64) error {
	f, err := os.Open(path)
	if err != nil {
		return ioError(err, "cannot read the file")
	}
	defer f.Close()
	w := &pageWalker{file: f, seen: map[uint64]bool{0: true, 1: true}}
	root, err := w.findRoot(txid)
	if err != nil {
		return err
	}
	return w.visit(root)
}

// findRoot reads the meta page of the transaction and returns its root page. The
// page size is read from the first meta page. When that is damaged, the second
// one is looked for at the system's page size.
func (w *pageWalker) findRoot(txid uint64) (uint64, error) {
	sizes := []int64{int64(os.Getpagesize())}
	var header [metaTxIDOffset + 8]byte
	if _, err := w.file.ReadAt(header[:], 0); err == nil {
		sizes = append(sizes, int64(binary.NativeEndian.Uint32(header[metaPageSizeOffset:])))
	}
	for _, size := range sizes {
		for _, offset := range []int64{0, size} {
			if _, err := w.file.ReadAt(header[:], offset); err != nil {
				continue
			}
			if binary.NativeEndian.Uint64(header[metaTxIDOffset:]) == txid && int64(binary.NativeEndian.Uint32(header[metaPageSizeOffset:])) == size {
				w.pageSize = size
				w.pageCount = binary.NativeEndian.Uint64(header[metaPageCountOffset:])
				return binary.NativeEndian.Uint64(header[metaRootOffset:]), nil
			}
		}
	}
	return 0, damagedError(nil, "the file's header is damaged")
}

// read checks the header of a page and returns the page with its overflow pages.
func (w *pageWalker) read(id uint64) ([]byte, error) {
	if id >= w.pageCount {
		return nil, damagedError(nil, fmt.Sprintf("page %d is beyond the end", id))
	}
	header := make([]byte, pageHeaderSize)
	if _, err := w.file.ReadAt(header, int64(id)*w.pageSize); err != nil {
		return nil, readError(err)
	}
	overflow := uint64(binary.NativeEndian.Uint32(header[12:]))
	if binary.NativeEndian.Uint64(header) != id || id+overflow >= w.pageCount {
		return nil, damagedError(nil, fmt.Sprintf("the header of page %d is wrong", id))
	}
	for i := id; i <= id+overflow; i++ {
		if w.seen[i] {
			return nil, damagedError(nil, fmt.Sprintf("page %d is in use twice", i))
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
		return damagedError(err, "the file is too short")
	}
	return ioError(err, "cannot read the file")
}

// visit checks a page and all pages below it.
func (w *pageWalker) visit(id uint64) error {
	page, err := w.read(id)
	if err != nil {
		return err
	}
	flags, count := binary.NativeEndian.Uint16(page[8:]), int(binary.NativeEndian.Uint16(page[10:]))
	if flags != branchPageFlag && flags != leafPageFlag || flags == branchPageFlag && count == 0 ||
		pageHeaderSize+count*pageElementSize > len(page) {
		return damagedError(nil, fmt.Sprintf("the header of page %d is wrong", id))
	}
	for i := range count {
		offset := pageHeaderSize + i*pageElementSize
		child, ok := uint64(0), true
		if flags == branchPageFlag {
			child = binary.NativeEndian.Uint64(page[offset+8:])
		} else {
			child, ok = bucketRoot(page, offset)
		}
		if !ok || flags == branchPageFlag && child == 0 {
			return damagedError(nil, fmt.Sprintf("an element of page %d is wrong", id))
		}
		// Root 0 is a plain value, or a bucket stored inline in the page.
		if child == 0 {
			continue
		}
		if err := w.visit(child); err != nil {
			return err
		}
	}
	return nil
}

// bucketRoot returns the root page of the bucket in the leaf element at the
// offset, 0 for a plain value or an inline bucket, and false when the element
// extends beyond the page or is too short for a bucket.
func bucketRoot(page []byte, offset int) (uint64, bool) {
	flags, pos := binary.NativeEndian.Uint32(page[offset:]), uint64(binary.NativeEndian.Uint32(page[offset+4:]))
	keySize, valueSize := uint64(binary.NativeEndian.Uint32(page[offset+8:])), uint64(binary.NativeEndian.Uint32(page[offset+12:]))
	valueStart := uint64(offset) + pos + keySize
	if valueStart+valueSize > uint64(len(page)) {
		return 0, false
	}
	if flags&bucketElementFlag == 0 {
		return 0, true
	}
	if valueSize < 16 {
		return 0, false
	}
	return binary.NativeEndian.Uint64(page[valueStart:]), true
}
