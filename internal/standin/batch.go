package standin

import (
	"context"
	"slices"
	"sync"
	"time"
)

// sequence is one completion in the batch.
type sequence struct {
	// prompt is the number of prompt tokens.
	prompt   int
	priority int
	left     int
	endless  bool
	produced int
	// prefill is how long the sequence occupies its place before its first token.
	prefill time.Duration
	ready   time.Time
	// emit is called with the index of each token.
	emit func(i int)
	// done is closed at the end.
	done      chan struct{}
	cancelled bool
	finished  bool
}

// batch runs up to a number of sequences at once, one token each per step.
type batch struct {
	max  int
	step func() time.Duration
	wake chan struct{}

	mu      sync.Mutex
	waiting []*sequence
	running []*sequence
	stopped bool
	steps   int
	tokens  int
}

func newBatch(maxRunning int, step func() time.Duration) *batch {
	return &batch{max: maxRunning, step: step, wake: make(chan struct{}, 1)}
}

// add queues the sequence behind those with the same or a lower priority value.
func (b *batch) add(s *sequence) {
	b.mu.Lock()
	if b.stopped {
		b.finish(s)
	} else {
		at := len(b.waiting)
		for at > 0 && b.waiting[at-1].priority > s.priority {
			at--
		}
		b.waiting = slices.Insert(b.waiting, at, s)
	}
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// cancel ends the sequence.
func (b *batch) cancel(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.cancelled = true
	b.finish(s)
}

func (b *batch) finish(s *sequence) {
	if !s.finished {
		s.finished = true
		close(s.done)
	}
}

func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return unfinished(b.running), unfinished(b.waiting)
}

// unfinished counts without the sequences that ended since the last step.
func unfinished(list []*sequence) int {
	n := 0
	for _, s := range list {
		if !s.finished {
			n++
		}
	}
	return n
}

// held returns the tokens whose KV values the running sequences hold.
func (b *batch) held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.running {
		n += s.prompt + s.produced
	}
	return n
}

// work returns how many steps were made and how many tokens they produced.
func (b *batch) work() (steps, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.steps, b.tokens
}

// loop makes steps until ctx ends.
func (b *batch) loop(ctx context.Context) {
	defer b.stop()
	for {
		if !b.admit(time.Now()) {
			select {
			case <-b.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if waitFor(ctx, b.step()) != nil {
			return
		}
		b.advance(time.Now())
	}
}

// admit fills the batch and tells whether there is work.
func (b *batch) admit(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isFinished := func(s *sequence) bool { return s.finished }
	b.running = slices.DeleteFunc(b.running, isFinished)
	b.waiting = slices.DeleteFunc(b.waiting, isFinished)
	free := min(b.max-len(b.running), len(b.waiting))
	for _, s := range b.waiting[:free] {
		s.ready = now.Add(s.prefill)
		b.running = append(b.running, s)
	}
	b.waiting = slices.Delete(b.waiting, 0, free)
	return len(b.running) > 0
}

// advance produces one token of each ready sequence.
func (b *batch) advance(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steps++
	for _, s := range b.running {
		if s.finished || now.Before(s.ready) {
			continue
		}
		s.emit(s.produced)
		s.produced++
		b.tokens++
		if s.left--; s.left <= 0 && !s.endless {
			b.finish(s)
		}
	}
}

func (b *batch) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	for _, s := range append(b.waiting, b.running...) {
		s.cancelled = true
		b.finish(s)
	}
	b.waiting, b.running = nil, nil
}
