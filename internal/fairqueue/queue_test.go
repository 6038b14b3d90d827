package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(team, group string, cost uint64) Item[int] {
	return Item[int]{Team: team, Group: group, Cost: cost, Enqueued: epoch, Deadline: epoch.Add(time.Minute)}
}

func alwaysReady(*Item[int]) bool { return true }

// popTokens pops items with at least the given number of tokens in total and returns
// the tokens by team and class.
func popTokens(q *Queue[int], tokens uint64) map[string]uint64 {
	got := map[string]uint64{}
	for sum := uint64(0); sum < tokens; {
		it, ok := q.Pop(epoch, alwaysReady)
		if !ok {
			break
		}
		sum += it.Cost
		got[it.Team] += it.Cost
		got[fmt.Sprint("class ", it.Class)] += it.Cost
	}
	return got
}

// Guards against a team with many requests that starves another, and against
// ignoring the weights or the batch fraction.
func TestShares(t *testing.T) {
	q := New[int](Options{MaxTeamItems: 4000, MaxItems: 20000, BatchShare: 0.2})
	q.SetWeight("heavy", 3)
	for range 1000 {
		q.Push(item("flood", "f", 100))
		q.Push(item("heavy", "h", 50))
		q.Push(item("heavy", "h", 50))
		b := item("batch", "b", 100)
		b.Class = Batch
		q.Push(b)
	}
	got := popTokens(q, 50_000)
	must.Between(t, 9_500, got["flood"], 10_500)
	must.Between(t, 29_500, got["heavy"], 30_500)
	must.Between(t, 9_500, got["class 1"], 10_500)
	must.LessEq(t, 400, q.TokensAhead("small", Interactive))
	must.Greater(t, 80_000, q.TokensAhead("flood", Interactive))
	q.Push(item("small", "s", 100))
	for i := 0; ; i++ {
		must.Less(t, 6, i, must.Sprint("the team with a single item waits for too long"))
		if it, _ := q.Pop(epoch, alwaysReady); it.Team == "small" {
			break
		}
	}
}

// Guards against a group that waits for a load and blocks its team, against calling
// ready for every item, and against serving a team's groups in another order than by
// age.
func TestWaitingGroupDoesNotBlock(t *testing.T) {
	q := New[int](Options{})
	for i := range 200 {
		it := item("a", []string{"cold", "warm"}[i%2], 10)
		it.Value = i
		q.Push(it)
	}
	calls := 0
	it, ok := q.Pop(epoch, func(i *Item[int]) bool { calls++; return i.Group == "warm" })
	must.True(t, ok)
	must.Eq(t, "warm", it.Group)
	must.Eq(t, 2, calls)
	groups := q.Groups()
	must.Eq(t, 100, groups[0].Waiting)
	must.Eq(t, 99, groups[1].Waiting)
	for _, want := range []int{0, 2, 3, 4} { // in order of age once all are ready
		it, _ = q.Pop(epoch, alwaysReady)
		must.Eq(t, want, it.Value)
	}
}

// Guards against batch requests that accumulate a debt while they wait for a load
// and later delay all interactive requests.
func TestWaitingBatchAccumulatesNoDebt(t *testing.T) {
	q := New[int](Options{})
	for i := range 400 {
		it := item("a", []string{"warm", "cold"}[i%2], 100)
		it.Class = Class(i % 2)
		q.Push(it)
	}
	for range 150 {
		it, _ := q.Pop(epoch, func(i *Item[int]) bool { return i.Group == "warm" })
		must.Eq(t, Interactive, it.Class)
	}
	must.Between(t, 3500, popTokens(q, 4000)["class 0"], 3700)
}

// Guards, with random operations, against lost, duplicated or reordered items within
// a group, wrong limits and items that stay queued after their deadline.
func TestQueueModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New[int](Options{MaxItems: 30, MaxTeamItems: 12})
		now := epoch
		waiting := map[Ticket]Item[int]{}
		newest := map[string]int{} // last popped value by team, class and group
		next := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				next++
				it := item(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "group"), rapid.Uint64Range(0, 100).Draw(t, "cost"))
				it.Value, it.Class = next, Class(rapid.IntRange(0, 1).Draw(t, "class"))
				it.Deadline = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "deadline")) * time.Second)
				team := 0
				for _, w := range waiting {
					if w.Team == it.Team {
						team++
					}
				}
				ticket, ok := q.Push(it)
				must.Eq(t, len(waiting) < 30 && team < 12, ok)
				if ok {
					waiting[ticket] = it
				}
			case 2:
				group := rapid.SampledFrom([]string{"x", "y", ""}).Draw(t, "ready")
				it, ok := q.Pop(now, func(i *Item[int]) bool { return group == "" || i.Group == group })
				if !ok {
					for _, w := range waiting {
						must.True(t, group != "" && w.Group != group)
					}
					continue
				}
				key := fmt.Sprint(it.Team, it.Class, it.Group)
				must.Greater(t, newest[key], it.Value)
				newest[key] = it.Value
				must.True(t, deleteByValue(waiting, it.Value))
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "advance")) * time.Second)
				for _, it := range q.RemoveExpired(now) {
					must.False(t, now.Before(it.Deadline))
					must.True(t, deleteByValue(waiting, it.Value))
				}
				for _, w := range waiting {
					must.True(t, now.Before(w.Deadline))
				}
			case 4:
				ticket := Ticket(rapid.IntRange(0, next).Draw(t, "ticket"))
				_, ok := waiting[ticket]
				must.Eq(t, ok, q.Remove(ticket))
				delete(waiting, ticket)
			}
			must.Eq(t, len(waiting), q.Len())
		}
	})
}

// deleteByValue deletes the item with the value and reports whether there was one.
func deleteByValue(waiting map[Ticket]Item[int], value int) bool {
	for k, w := range waiting {
		if w.Value == value {
			delete(waiting, k)
			return true
		}
	}
	return false
}

// BenchmarkPop shows whether the cost grows with the number of items.
func BenchmarkPop(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(n, " items"), func(b *testing.B) {
			q := New[int](Options{MaxItems: n + 1, MaxTeamItems: n + 1})
			for i := range n {
				q.Push(item(fmt.Sprint("team-", i%5), fmt.Sprint("group-", i%50), 100))
			}
			b.ReportAllocs()
			for b.Loop() {
				it, _ := q.Pop(epoch, alwaysReady)
				q.Push(it)
			}
		})
	}
}
