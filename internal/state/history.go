package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	// MaxChanges limits the changes retained with their ops. Hosts at most this far
	// behind get a delta. At 54,000 changes a day it covers 3.6 hours.
	MaxChanges = 8192
	// MaxChangeBytes limits the size of these changes in memory and snapshots. 8192
	// changes of one adapter each take about 0.9 MB, so the limit is reached only by
	// consecutive whole manifests.
	MaxChangeBytes = 8 << 20
	// MaxRetainedNumbers limits the accepted numbers retained with their digests. A resent
	// change is recognised within this many changes, which cover 29 hours at 54,000
	// changes a day.
	MaxRetainedNumbers = 65_536
)

// history holds the last accepted changes and the receipts of the changes before
// them. The numbers are contiguous and end at the revision in force.
type history struct {
	receipts []*apiv1.ChangeReceipt
	changes  []*apiv1.Change
	// bytes is the total size of changes.
	bytes int
}

func (h *history) add(c *apiv1.Change) {
	h.changes = append(h.changes, c)
	h.bytes += proto.Size(c)
	for len(h.changes) > MaxChanges || h.bytes > MaxChangeBytes {
		h.dropOldestOps()
	}
	for len(h.receipts) > 0 && len(h.receipts)+len(h.changes) > MaxRetainedNumbers {
		h.receipts[0] = nil
		h.receipts = h.receipts[1:]
	}
}

// dropOldestOps replaces the oldest change by its receipt.
func (h *history) dropOldestOps() {
	c := h.changes[0]
	h.bytes -= proto.Size(c)
	h.changes[0] = nil
	h.changes = h.changes[1:]
	h.receipts = append(h.receipts, receiptOf(c))
}

func receiptOf(c *apiv1.Change) *apiv1.ChangeReceipt {
	return &apiv1.ChangeReceipt{
		Number: c.GetNumber(), Digest: c.GetDigest(), AcceptedUnixMs: c.GetAcceptedUnixMs(), Author: c.GetAuthor(),
	}
}

// oldest returns the oldest retained number, or 0 if there is none.
func (h *history) oldest() uint64 {
	if len(h.receipts) > 0 {
		return h.receipts[0].GetNumber()
	}
	if len(h.changes) > 0 {
		return h.changes[0].GetNumber()
	}
	return 0
}

// last returns the newest number, or 0 if there is none.
func (h *history) last() uint64 {
	if n := len(h.changes); n > 0 {
		return h.changes[n-1].GetNumber()
	}
	if n := len(h.receipts); n > 0 {
		return h.receipts[n-1].GetNumber()
	}
	return 0
}

// receipt returns the receipt of the number, and false if it is not retained.
func (h *history) receipt(number uint64) (*apiv1.ChangeReceipt, bool) {
	oldest := h.oldest()
	if oldest == 0 || number < oldest || number > h.last() {
		return nil, false
	}
	offset := number - oldest
	if offset < uint64(len(h.receipts)) {
		return h.receipts[offset], true
	}
	return receiptOf(h.changes[offset-uint64(len(h.receipts))]), true
}

// since returns the changes after the revision, and false if some of them are not
// retained or the revision is not reached yet.
func (h *history) since(revision uint64) ([]*apiv1.Change, bool) {
	last := h.last()
	if revision == last {
		return nil, true
	}
	if revision > last || len(h.changes) == 0 || revision+1 < h.changes[0].GetNumber() {
		return nil, false
	}
	return slices.Clone(h.changes[revision+1-h.changes[0].GetNumber():]), true
}

// list returns at most limit changes, starting at the number.
func (h *history) list(from uint64, limit int) []*apiv1.Change {
	var out []*apiv1.Change
	oldest, last := h.oldest(), h.last()
	if oldest == 0 {
		return nil
	}
	for n := max(from, oldest); n <= last && len(out) < limit; n++ {
		offset := n - oldest
		if offset >= uint64(len(h.receipts)) {
			out = append(out, h.changes[offset-uint64(len(h.receipts))])
			continue
		}
		r := h.receipts[offset]
		out = append(out, &apiv1.Change{
			Number: r.GetNumber(), Digest: r.GetDigest(), AcceptedUnixMs: r.GetAcceptedUnixMs(), Author: r.GetAuthor(),
		})
	}
	return out
}
