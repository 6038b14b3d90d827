package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// apply applies an entry and checks that all hosts apply the same entries in the
// same order.
func (w *world) apply(h *simHost, e *apiv1.LogEntry) {
	if e.GetIndex() != h.applied+1 {
		w.fail("%s applied %d after %d", h.name, e.GetIndex(), h.applied)
	}
	var prev [8]byte
	binary.BigEndian.PutUint64(prev[:], h.chain)
	h.chain = xxhash.Sum64(append(prev[:], e.GetData()...))
	h.applied = e.GetIndex()
	got := committed{term: e.GetTerm(), chain: h.chain}
	if c, ok := w.log[h.applied]; ok && c != got {
		w.fail("%s applied at %d an entry of term %d, another host one of term %d", h.name, h.applied, got.term, c.term)
	}
	w.log[h.applied] = got
}

// checkLeader checks that each term has at most one leader and that its log
// contains all committed entries.
func (w *world) checkLeader(h *simHost) {
	if h.node.role != Leader {
		return
	}
	if other, ok := w.leaders[h.node.term]; ok {
		if other != h.disk.id {
			w.fail("term %d has leaders %s and %s", h.node.term, other, h.disk.id)
		}
		return
	}
	w.leaders[h.node.term] = h.disk.id
	for index, c := range w.log {
		if c.term >= h.node.term {
			continue
		}
		if t, ok := h.node.log.term(index); index > h.node.log.offset && (!ok || t != c.term) {
			w.fail("the leader of term %d lacks the committed entry %d of term %d", h.node.term, index, c.term)
		}
	}
}

// checkLeases checks that a lease begins only after all leases of earlier terms
// have ended by their holders' clocks. Where leases end with their process,
// leases of processes that are gone are ignored.
func (w *world) checkLeases() {
	if w.leaseEndsWithProcess {
		clear(w.leaseUntil)
	}
	for _, h := range w.hosts {
		if h.node == nil {
			continue
		}
		remaining := h.node.Lease().Sub(w.clock(h))
		if remaining <= 0 {
			continue
		}
		until := w.now + time.Duration(float64(remaining)/h.rate)
		w.leaseUntil[h.node.term] = max(w.leaseUntil[h.node.term], until)
		for term, other := range w.leaseUntil {
			if term < h.node.term && other > w.now {
				w.fail("term %d holds a lease while that of term %d lasts %v more", h.node.term, term, other-w.now)
			}
			if term > h.node.term {
				w.fail("term %d holds a lease after term %d had one", h.node.term, term)
			}
		}
	}
}

// settle runs until a new command is applied on all members of the latest set,
// and fails after 60 s.
func (w *world) settle() {
	for range 60 {
		w.run(time.Second)
		l := w.leader()
		if l == nil || !w.propose(l) {
			continue
		}
		w.run(2 * time.Second)
		done := true
		for _, m := range l.node.Members().GetMembers() {
			i := slices.IndexFunc(w.hosts, func(h *simHost) bool { return h.disk.id == m.GetDiskId() && !h.refused })
			// A member whose disk belongs to no host any more is skipped.
			done = done && (i < 0 || w.hosts[i].node != nil && w.hosts[i].applied+3 >= l.applied)
		}
		if done && l.node != nil && l.applied == l.node.log.last() {
			return
		}
	}
	w.fail("no progress within 60 s of the end of all faults: %s", w.describe())
}

func (w *world) describe() string {
	text := ""
	for _, h := range w.hosts {
		if h.node == nil {
			text += h.name + " down; "
			continue
		}
		s := h.node.Status()
		text += fmt.Sprintf("%s %s refused=%v %v term %d last %d commit %d members %v; ", h.name, h.disk.id, h.refused, s.Role, s.Term, s.Last, s.Commit, voters(h.node.Members()))
	}
	return text
}
