package state

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// MaxQuarantines limits the table. Each quarantined fingerprint has crashed at least
// 2 backend servers within an hour, so the limit is far above what a fleet could survive.
const MaxQuarantines = 4096

// quarantines maps a fingerprint to its quarantine.
type quarantines map[string]*apiv1.PutQuarantine

// put sets or replaces a quarantine. A quarantine that has already ended is removed,
// which allows an operator to lift it.
func (q quarantines) put(p *apiv1.PutQuarantine, nowUnixMs int64) {
	if len(p.GetFingerprint()) != sha256.Size {
		return
	}
	q.expire(nowUnixMs)
	if p.GetUntilUnixMs() <= nowUnixMs {
		delete(q, string(p.GetFingerprint()))
		return
	}
	q[string(p.GetFingerprint())] = p
	if len(q) > MaxQuarantines {
		// The entry that ends first is evicted.
		first := slices.MinFunc(q.sorted(), func(a, b *apiv1.PutQuarantine) int {
			return cmp.Compare(a.GetUntilUnixMs(), b.GetUntilUnixMs())
		})
		delete(q, string(first.GetFingerprint()))
	}
}

func (q quarantines) expire(nowUnixMs int64) {
	maps.DeleteFunc(q, func(_ string, p *apiv1.PutQuarantine) bool { return p.GetUntilUnixMs() <= nowUnixMs })
}

func (q quarantines) sorted() []*apiv1.PutQuarantine {
	out := make([]*apiv1.PutQuarantine, 0, len(q))
	for _, k := range slices.Sorted(maps.Keys(q)) {
		out = append(out, q[k])
	}
	return out
}

func (q quarantines) active(nowUnixMs int64) []*apiv1.PutQuarantine {
	return slices.DeleteFunc(q.sorted(), func(p *apiv1.PutQuarantine) bool { return p.GetUntilUnixMs() <= nowUnixMs })
}
