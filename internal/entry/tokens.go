package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
)

// batchTurn is how often a batch request goes first when both classes of a
// team lack tokens, so that batch work is never starved by its own team.
const batchTurn = 8

// tokenQueue holds the requests that lack tokens, by team and class in the
// order of arrival. Teams do not compete here: each has its own rate.
type tokenQueue struct {
	teams map[string]*teamTokens
}

type teamTokens struct {
	classes [2][]*work
	turns   int
}

func (q *tokenQueue) init() { q.teams = map[string]*teamTokens{} }

func classIndex(c fairqueue.Class) int {
	if c == fairqueue.Batch {
		return 1
	}
	return 0
}

// hasWaiting reports whether a request would overtake earlier ones of its class.
func (q *tokenQueue) hasWaiting(w *work) bool {
	team := q.teams[w.x.team]
	return team != nil && len(team.classes[classIndex(w.class)]) > 0
}

// maxTokenWaiters bounds the requests of a team that wait for tokens.
const maxTokenWaiters = 1024

func (q *tokenQueue) push(w *work) bool {
	team := q.teams[w.x.team]
	if team == nil {
		team = &teamTokens{}
		q.teams[w.x.team] = team
	}
	list := &team.classes[classIndex(w.class)]
	if len(*list) >= maxTokenWaiters {
		return false
	}
	*list = append(*list, w)
	return true
}

func (q *tokenQueue) remove(w *work) {
	team := q.teams[w.x.team]
	if team == nil {
		return
	}
	list := &team.classes[classIndex(w.class)]
	if at := slices.Index(*list, w); at >= 0 {
		*list = slices.Delete(*list, at, at+1)
	}
	q.dropEmpty(w.x.team)
}

func (q *tokenQueue) dropEmpty(name string) {
	if team := q.teams[name]; team != nil && len(team.classes[0])+len(team.classes[1]) == 0 {
		delete(q.teams, name)
	}
}

// poll queues the requests whose tokens have arrived and refuses those whose
// wait has ended. It tells the account what the others still lack.
func (q *tokenQueue) poll(d *dispatch, now time.Time) {
	if len(q.teams) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(q.teams)) {
		team := q.teams[name]
		team.expire(d, now)
		for team.next(d, now) {
		}
		team.want(d, name)
		q.dropEmpty(name)
	}
}

// next starts the first request of one class; it reports false when nothing
// could be reserved.
func (t *teamTokens) next(d *dispatch, now time.Time) bool {
	order := [2]int{0, 1}
	if t.turns%batchTurn == batchTurn-1 {
		order = [2]int{1, 0}
	}
	for _, class := range order {
		list := t.classes[class]
		if len(list) == 0 {
			continue
		}
		w := list[0]
		if !d.reserve(w, now) {
			return false
		}
		t.classes[class] = slices.Delete(list, 0, 1)
		t.turns++
		w.state = workNew
		if e := d.enqueue(w, now); e != nil {
			w.refuse(e)
		}
		return true
	}
	return false
}

func (t *teamTokens) expire(d *dispatch, now time.Time) {
	for class, list := range t.classes {
		t.classes[class] = slices.DeleteFunc(list, func(w *work) bool {
			if now.Before(w.deadline) {
				return false
			}
			w.refuse(rateLimited(d.s.opts.Account.RetryAfter(w.x.team, w.tokens, now)))
			return true
		})
	}
}

func (t *teamTokens) want(d *dispatch, name string) {
	var sum uint64
	for _, list := range t.classes {
		for _, w := range list {
			sum += w.tokens
		}
	}
	if sum > 0 {
		d.s.opts.Account.SetDemand(name, sum)
	}
}
