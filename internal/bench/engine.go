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
	// promptChunk is the maximum number of prompt tokens read in one step.
	promptChunk = 512
	// cachedBlocks is the number of block uses after which a block that was not used
	// again is evicted from the cache.
	cachedBlocks = 400
	blockTokens  = 64
	// restartTime is the duration of a restart.
	restartTime = 3 * time.Second
)

// fullRate is the throughput of a full batch of one adapter, in tokens per second.
var fullRate = maxBatch / (stepBase + maxBatch*stepPerRequest + stepPerAdapter).Seconds()

// fakeEngine simulates an engine with continuous batching: requests enter and leave
// the batch between steps.
type fakeEngine struct {
	index         int
	downUntil     time.Time
	queue         []*request
	running       []*request
	inFlight      map[placement.Ref]int // running and queued
	stepEnd       time.Time
	busy          time.Duration
	tokens        int
	cache         map[uint64]int // block hash to the value of blockUses at its last use
	blockUses     int
	prefillChunks map[*request]int
	finished      func(*request)
}

func newFakeEngine(i int, finished func(*request)) *fakeEngine {
	return &fakeEngine{
		index: i, inFlight: map[placement.Ref]int{}, cache: map[uint64]int{},
		prefillChunks: map[*request]int{}, finished: finished,
	}
}

func (e *fakeEngine) up(now time.Time) bool { return !now.Before(e.downUntil) }

func (e *fakeEngine) submit(r *request, now time.Time) {
	r.prefillLeft, r.outputLeft = r.prompt-e.cachePrompt(r), r.output
	e.inFlight[r.ref]++
	e.queue = append(e.queue, r)
	if len(e.running) == 0 {
		e.stepEnd = now
	}
}

// cachePrompt returns the number of prompt tokens found in the cache, and caches the
// blocks of the prompt.
func (e *fakeEngine) cachePrompt(r *request) int {
	tokens, hit := 0, true
	for _, block := range r.prefix {
		if _, ok := e.cache[block]; ok && hit {
			tokens += blockTokens
		} else {
			hit = false
		}
		e.blockUses++
		e.cache[block] = e.blockUses
	}
	if len(e.cache) > cachedBlocks {
		maps.DeleteFunc(e.cache, func(_ uint64, used int) bool { return used <= e.blockUses-cachedBlocks })
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
	unfinished := e.running[:0]
	for _, r := range e.running {
		if chunk := e.prefillChunks[r]; r.prefillLeft > 0 {
			r.prefillLeft -= chunk
			if r.prefillLeft > 0 {
				unfinished = append(unfinished, r)
				continue
			}
		}
		if r.firstToken.IsZero() {
			r.firstToken = e.stepEnd
		}
		r.outputLeft--
		e.tokens++
		if r.outputLeft > 0 {
			unfinished = append(unfinished, r)
			continue
		}
		e.removeInFlight(r)
		e.finished(r)
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
}

func (e *fakeEngine) removeInFlight(r *request) {
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
	clear(e.prefillChunks)
	budget, adapters := promptChunk, map[placement.Ref]bool{}
	for _, r := range e.running {
		adapters[r.ref] = true
		if r.prefillLeft > 0 {
			e.prefillChunks[r] = min(budget, r.prefillLeft)
			budget -= e.prefillChunks[r]
		}
	}
	d := stepBase + time.Duration(len(e.running))*stepPerRequest +
		time.Duration(len(adapters))*stepPerAdapter + time.Duration(promptChunk-budget)*stepPerPrompt
	e.busy += d
	e.stepEnd = e.stepEnd.Add(d)
}

// crash drops all state and returns the requests that were in flight.
func (e *fakeEngine) crash(now time.Time) []*request {
	lost := append(e.running, e.queue...)
	e.running, e.queue = nil, nil
	clear(e.inFlight)
	clear(e.cache)
	e.downUntil = now.Add(restartTime)
	return lost
}

// dropHost removes and returns the requests of a crashed host, whose connections are
// broken.
func (e *fakeEngine) dropHost(host int) []*request {
	var lost []*request
	keep := func(list []*request) []*request {
		var out []*request
		for _, r := range list {
			if r.host == host {
				lost = append(lost, r)
				e.removeInFlight(r)
			} else {
				out = append(out, r)
			}
		}
		return out
	}
	e.running, e.queue = keep(e.running), keep(e.queue)
	return lost
}
