package bench

import (
	"maps"
	"time"

	"github.com/jasminesaddle/jasminesaddle/internal/placement"
)

const (
	maxBatch = 16
	// A step takes stepBase + stepPerRequest per running request + stepPerAdapter
	// per distinct adapter + stepPerPrompt per prompt token read.
	stepBase       = 12 * time.Millisecond
	stepPerRequest = 600 * time.Microsecond
	stepPerAdapter = 150 * time.Microsecond
	stepPerPrompt  = 40 * time.Microsecond
	// promptChunk bounds the prompt tokens read in one step.
	promptChunk = 512
	// cachedBlocks is how many uses of blocks ago a cached block may have been used.
	cachedBlocks = 400
	blockTokens  = 64
	// downTime is how long a restart takes.
	downTime = 3 * time.Second
)

// fullRate is the tokens per second of a full batch of one adapter.
var fullRate = maxBatch / (stepBase + maxBatch*stepPerRequest + stepPerAdapter).Seconds()

// fakeEngine batches continuously: requests join and leave between steps.
type fakeEngine struct {
	index     int
	downUntil time.Time
	queue     []*request
	running   []*request
	inFlight  map[placement.Ref]int // running and queued
	stepEnd   time.Time
	busy      time.Duration
	tokens    int
	cache     map[uint64]int // block to last use
	uses      int
	chunks    map[*request]int
	finished  func(*request)
}

func newFakeEngine(i int, finished func(*request)) *fakeEngine {
	return &fakeEngine{
		index: i, inFlight: map[placement.Ref]int{}, cache: map[uint64]int{},
		chunks: map[*request]int{}, finished: finished,
	}
}

func (e *fakeEngine) up(now time.Time) bool { return !now.Before(e.downUntil) }

func (e *fakeEngine) submit(r *request, now time.Time) {
	r.prefillLeft, r.outputLeft = r.prompt-e.cached(r), r.output
	e.inFlight[r.ref]++
	e.queue = append(e.queue, r)
	if len(e.running) == 0 {
		e.stepEnd = now
	}
}

// cached returns the prompt tokens found in the cache and stores the prompt.
func (e *fakeEngine) cached(r *request) int {
	tokens, hit := 0, true
	for _, block := range r.prefix {
		if _, ok := e.cache[block]; ok && hit {
			tokens += blockTokens
		} else {
			hit = false
		}
		e.uses++
		e.cache[block] = e.uses
	}
	if len(e.cache) > cachedBlocks {
		maps.DeleteFunc(e.cache, func(_ uint64, used int) bool { return used <= e.uses-cachedBlocks })
	}
	return tokens
}

// advance runs the steps that end by now.
func (e *fakeEngine) advance(now time.Time) {
	for len(e.running)+len(e.queue) > 0 && !e.stepEnd.After(now) {
		e.finishStep()
		e.beginStep()
	}
}

func (e *fakeEngine) finishStep() {
	left := e.running[:0]
	for _, r := range e.running {
		if chunk := e.chunks[r]; r.prefillLeft > 0 {
			r.prefillLeft -= chunk
			if r.prefillLeft > 0 {
				left = append(left, r)
				continue
			}
		}
		if r.firstToken.IsZero() {
			r.firstToken = e.stepEnd
		}
		r.outputLeft--
		e.tokens++
		if r.outputLeft > 0 {
			left = append(left, r)
			continue
		}
		e.leave(r)
		e.finished(r)
	}
	clear(e.running[len(left):])
	e.running = left
}

func (e *fakeEngine) leave(r *request) {
	if e.inFlight[r.ref]--; e.inFlight[r.ref] == 0 {
		delete(e.inFlight, r.ref)
	}
}

func (e *fakeEngine) beginStep() {
	for len(e.running) < maxBatch && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return
	}
	clear(e.chunks)
	budget, adapters := promptChunk, map[placement.Ref]bool{}
	for _, r := range e.running {
		adapters[r.ref] = true
		if r.prefillLeft > 0 {
			e.chunks[r] = min(budget, r.prefillLeft)
			budget -= e.chunks[r]
		}
	}
	d := stepBase + time.Duration(len(e.running))*stepPerRequest +
		time.Duration(len(adapters))*stepPerAdapter + time.Duration(promptChunk-budget)*stepPerPrompt
	e.busy += d
	e.stepEnd = e.stepEnd.Add(d)
}

// crash drops everything and returns the requests that were in flight.
func (e *fakeEngine) crash(now time.Time) []*request {
	lost := append(e.running, e.queue...)
	e.running, e.queue = nil, nil
	clear(e.inFlight)
	clear(e.cache)
	e.downUntil = now.Add(downTime)
	return lost
}

// drop removes the requests of a lost host, whose connections are broken.
func (e *fakeEngine) drop(host int) []*request {
	var lost []*request
	keep := func(list []*request) []*request {
		var out []*request
		for _, r := range list {
			if r.host == host {
				lost = append(lost, r)
				e.leave(r)
			} else {
				out = append(out, r)
			}
		}
		return out
	}
	e.running, e.queue = keep(e.running), keep(e.queue)
	return lost
}
