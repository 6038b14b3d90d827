package cowmap

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a published version that changes: a request that reads it would
// see a mix of two versions.
func TestVersionsAreImmutable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Map[int]
		model := map[string]int{}
		for range rapid.IntRange(1, 20).Draw(t, "edits") {
			before := map[string]int{}
			for k, v := range m.All {
				before[k] = v
			}
			must.Eq(t, model, before)
			e := m.Edit()
			for range rapid.IntRange(0, 10).Draw(t, "ops") {
				key := strconv.Itoa(rapid.IntRange(0, 200).Draw(t, "key"))
				if v := rapid.IntRange(0, 9).Draw(t, "value"); v == 0 {
					e.Delete(key)
					delete(model, key)
				} else {
					e.Put(key, v)
					model[key] = v
				}
			}
			after := map[string]int{}
			for k, v := range m.All {
				after[k] = v
			}
			must.Eq(t, before, after, must.Sprint("the edit changed the earlier version"))
			m = e.Map()
			must.Eq(t, len(model), m.Len())
		}
	})
}
