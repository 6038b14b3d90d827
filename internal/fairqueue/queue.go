// Package fairqueue implements the queue of the requests that wait on an entry
// host. Classes are served by priority, with a minimum fraction for batch, and teams
// within a class by start-time fair queueing on tokens.
package fairqueue

import (
	"cmp"
	"container/heap"
	"time"
)

// Class orders requests; a lower class is served first.
type Class int

// Classes in order of priority.
const (
	Interactive Class = iota
	Batch
	numClasses
)

// Item is one waiting request.
type Item[T any] struct {
	Team  string
	Class Class
	// Group is the adapter version. A group whose head is not ready does not
	// block other groups.
	Group string
	// Cost is the number of tokens charged to the team.
	Cost               uint64
	Enqueued, Deadline time.Time
	Value              T
}

// Options sets the limits of a Queue. Zero fields take the default.
type Options struct {
	// MaxItems limits the items in the queue.
	MaxItems int
	// MaxTeamItems limits the items of one team.
	MaxTeamItems int
	// BatchShare is the minimum fraction of tokens that batch gets while batch items
	// wait.
	BatchShare float64
}

func (o Options) withDefaults() Options {
	o.MaxItems = cmp.Or(o.MaxItems, 4096)
	o.MaxTeamItems = cmp.Or(o.MaxTeamItems, 1024)
	o.BatchShare = cmp.Or(o.BatchShare, 0.1)
	return o
}

// Ticket identifies a queued item.
type Ticket uint64

// Queue is a bounded fair queue. It is not safe for concurrent use.
type Queue[T any] struct {
	opts      Options
	weights   map[string]uint32
	counts    map[string]int // items by team
	items     map[Ticket]*node[T]
	classes   [numClasses]class[T]
	deadlines deadlines[T]
	last      Ticket
	// batchDebt is the number of tokens that batch has received less than its
	// fraction; negative if it has received more.
	batchDebt float64
}

// New returns an empty queue.
func New[T any](opts Options) *Queue[T] {
	q := &Queue[T]{
		opts: opts.withDefaults(), weights: map[string]uint32{},
		counts: map[string]int{}, items: map[Ticket]*node[T]{},
	}
	for i := range q.classes {
		q.classes[i].teams = map[string]*team[T]{}
	}
	return q
}

// SetWeight sets the team's weight in fair queueing; 0 means 1.
func (q *Queue[T]) SetWeight(name string, weight uint32) {
	q.weights[name] = max(weight, 1)
	for i := range q.classes {
		if t := q.classes[i].teams[name]; t != nil {
			t.weight = q.weight(name)
		}
	}
}

func (q *Queue[T]) weight(name string) float64 { return float64(max(q.weights[name], 1)) }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds an item. It returns false if the team's or the queue's limit is
// reached.
func (q *Queue[T]) Push(item Item[T]) (Ticket, bool) {
	if item.Class < 0 || item.Class >= numClasses {
		item.Class = Batch
	}
	if len(q.items) >= q.opts.MaxItems || q.counts[item.Team] >= q.opts.MaxTeamItems {
		return 0, false
	}
	q.last++
	n := &node[T]{item: item, ticket: q.last}
	q.items[n.ticket] = n
	q.counts[item.Team]++
	q.classes[item.Class].push(n, q.weight(item.Team))
	heap.Push(&q.deadlines, n)
	return n.ticket, true
}

// Remove removes an item from the queue. It returns false if the item is no longer
// queued.
func (q *Queue[T]) Remove(t Ticket) bool {
	n := q.items[t]
	if n == nil {
		return false
	}
	q.remove(n)
	return true
}

func (q *Queue[T]) remove(n *node[T]) {
	delete(q.items, n.ticket)
	if q.counts[n.item.Team]--; q.counts[n.item.Team] == 0 {
		delete(q.counts, n.item.Team)
	}
	heap.Remove(&q.deadlines, n.index)
	q.classes[n.item.Class].remove(n)
}

// RemoveExpired removes and returns the items whose deadline has passed, the earliest
// deadline first.
func (q *Queue[T]) RemoveExpired(now time.Time) []Item[T] {
	var out []Item[T]
	for len(q.deadlines) > 0 && !now.Before(q.deadlines[0].item.Deadline) {
		n := q.deadlines[0]
		q.remove(n)
		out = append(out, n.item)
	}
	return out
}

// Pop removes and returns the next item that is ready. It calls ready at most once
// per class, team and group, with the head of the group. ready may reserve what the
// item needs, since Pop returns the first item for which ready returns true.
func (q *Queue[T]) Pop(now time.Time, ready func(*Item[T]) bool) (Item[T], bool) {
	order := [numClasses]Class{Interactive, Batch}
	if q.batchDebt > 0 {
		order = [numClasses]Class{Batch, Interactive}
	}
	for _, c := range order {
		if n := q.classes[c].next(now, ready); n != nil {
			q.charge(c, float64(n.item.Cost))
			q.remove(n)
			return n.item, true
		}
		if c == Batch {
			// No batch item was ready. Without this, batch items that wait for loads
			// would accumulate a debt and later delay interactive items for long.
			q.batchDebt = min(q.batchDebt, 0)
		}
	}
	return Item[T]{}, false
}

// charge updates batchDebt for served tokens. The debt grows with the tokens served
// to interactive only while batch items wait.
func (q *Queue[T]) charge(c Class, cost float64) {
	batchShare := q.opts.BatchShare
	switch {
	case c == Batch:
		q.batchDebt = max(q.batchDebt-cost*(1-batchShare), -maxBatchDebt)
	case q.classes[Batch].count > 0:
		q.batchDebt = min(q.batchDebt+cost*batchShare, maxBatchDebt)
	default:
		q.batchDebt = min(q.batchDebt, 0)
	}
}

// maxBatchDebt limits, in tokens, how long one class can be served in preference to
// the other.
const maxBatchDebt = 16384

// TokensAhead estimates how many tokens are served before a new item of the team in the
// class.
func (q *Queue[T]) TokensAhead(name string, c Class) uint64 {
	if c != Interactive {
		c = Batch
	}
	ahead := q.classes[c].ahead(name, q.weight(name))
	batchShare := q.opts.BatchShare
	if c == Interactive {
		return uint64(ahead + min(q.classes[Batch].cost, ahead*batchShare/(1-batchShare)))
	}
	interactive := q.classes[Interactive].cost
	return uint64(ahead + min(interactive, max(ahead, 1)*(1-batchShare)/batchShare))
}
