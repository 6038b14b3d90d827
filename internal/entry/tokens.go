package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/fairqueue"
)

// batchStartInterval is the interval, in started requests, at which a batch
// request takes precedence when both classes of a team wait for tokens, so that a
// team's interactive requests never starve its batch requests.
const batchStartInterval = 8

// tokenQueue holds the requests that wait for tokens, by team and class in the
// order of arrival. Teams do not compete here: each has its own rate.
type tokenQueue struct {
	teams map[string]*teamWaiters
}

type teamWaiters struct {
	classes [2][]*admittedRequest
	started int
}

func (q *tokenQueue) init() { q.teams = map[string]*teamWaiters{} }

func classIndex(c fairqueue.Class) int {
	if c == fairqueue.Batch {
		return 1
	}
	return 0
}

// hasEarlier reports whether earlier requests of the same team and class wait
// for tokens.
func (q *tokenQueue) hasEarlier(ar *admittedRequest) bool {
	team := q.teams[ar.x.team]
	return team != nil && len(team.classes[classIndex(ar.class)]) > 0
}

// maxTokenWaiters limits the requests of one team and class that wait for
// tokens.
const maxTokenWaiters = 1024

func (q *tokenQueue) push(ar *admittedRequest) bool {
	team := q.teams[ar.x.team]
	if team == nil {
		team = &teamWaiters{}
		q.teams[ar.x.team] = team
	}
	list := &team.classes[classIndex(ar.class)]
	if len(*list) >= maxTokenWaiters {
		return false
	}
	*list = append(*list, ar)
	return true
}

func (q *tokenQueue) remove(ar *admittedRequest) {
	team := q.teams[ar.x.team]
	if team == nil {
		return
	}
	list := &team.classes[classIndex(ar.class)]
	if at := slices.Index(*list, ar); at >= 0 {
		*list = slices.Delete(*list, at, at+1)
	}
	q.dropEmpty(ar.x.team)
}

func (q *tokenQueue) dropEmpty(name string) {
	if team := q.teams[name]; team != nil && len(team.classes[0])+len(team.classes[1]) == 0 {
		delete(q.teams, name)
	}
}

// poll moves the requests whose tokens are available to the fair queue and
// refuses those whose deadline has passed. It sets the account's demand to the
// tokens of the others.
func (q *tokenQueue) poll(d *dispatch, now time.Time) {
	if len(q.teams) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(q.teams)) {
		team := q.teams[name]
		team.expire(d, now)
		for team.startNext(d, now) {
		}
		team.setDemand(d, name)
		q.dropEmpty(name)
	}
}

// startNext reserves tokens for the first request of one class and moves it to
// the fair queue. It reports whether it could reserve them.
func (t *teamWaiters) startNext(d *dispatch, now time.Time) bool {
	order := [2]int{0, 1}
	if t.started%batchStartInterval == batchStartInterval-1 {
		order = [2]int{1, 0}
	}
	for _, class := range order {
		list := t.classes[class]
		if len(list) == 0 {
			continue
		}
		ar := list[0]
		if !d.reserve(ar, now) {
			return false
		}
		t.classes[class] = slices.Delete(list, 0, 1)
		t.started++
		ar.state = stateNew
		if e := d.enqueue(ar, now); e != nil {
			ar.refuse(e)
		}
		return true
	}
	return false
}

func (t *teamWaiters) expire(d *dispatch, now time.Time) {
	for class, list := range t.classes {
		t.classes[class] = slices.DeleteFunc(list, func(ar *admittedRequest) bool {
			if now.Before(ar.deadline) {
				return false
			}
			ar.refuse(rateLimited(d.s.opts.Account.RetryAfter(ar.x.team, ar.tokens, now)))
			return true
		})
	}
}

func (t *teamWaiters) setDemand(d *dispatch, name string) {
	var sum uint64
	for _, list := range t.classes {
		for _, ar := range list {
			sum += ar.tokens
		}
	}
	if sum > 0 {
		d.s.opts.Account.SetDemand(name, sum)
	}
}
