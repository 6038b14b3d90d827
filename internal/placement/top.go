package placement

import "slices"

// topK retains the first k items by compare without sorting all of them: of tens
// of thousands of adapters, only a few loads start per Plan call.
type topK[T any] struct {
	items   []T
	k       int
	compare func(a, b T) int
}

func (t *topK[T]) add(x T) {
	if len(t.items) == t.k {
		if t.k == 0 || t.compare(x, t.items[t.k-1]) >= 0 {
			return
		}
		t.items = t.items[:t.k-1]
	}
	i, _ := slices.BinarySearchFunc(t.items, x, t.compare)
	t.items = slices.Insert(t.items, i, x)
}
