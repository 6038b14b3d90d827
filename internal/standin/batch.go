package standin

import (
	"context"
	"slices"
	"sync"
	"time"
)

// sequence is one completion in the batch.
type sequence struct {
	// promptTokens is the length of the prompt.
	promptTokens int
	priority     int
	remaining    int
	endless      bool
	produced     int
	// prefill is how long the sequence occupies its batch slot before its first
	// token.
	prefill   time.Duration
	prefilled time.Time // end of the prefill
	// emit is called with the index of each token.
	emit func(i int)
	// done is closed when the sequence has ended.
	done      chan struct{}
	cancelled bool
	finished  bool
}

// batch runs up to max sequences at once. Each step produces one token of each of
// them.
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

// add queues the sequence behind those whose priority value is the same or lower.
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

// cancel ends the sequence before its last token.
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

// counts returns the numbers of running and of waiting sequences.
func (b *batch) counts() (running, waiting int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return unfinished(b.running), unfinished(b.waiting)
}

// unfinished counts the sequences that have not ended. Those that ended since the
// last step are still in the list.
func unfinished(list []*sequence) int {
	n := 0
	for _, s := range list {
		if !s.finished {
			n++
		}
	}
	return n
}

// kvTokens returns the number of tokens in the KV cache for running sequences.
func (b *batch) kvTokens() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.running {
		n += s.promptTokens + s.produced
	}
	return n
}

// totals returns the numbers of steps made and of tokens produced.
func (b *batch) totals() (steps, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.steps, b.tokens
}

// loop runs steps until ctx ends.
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

// admit moves waiting sequences to free batch slots and reports whether any
// sequence runs.
func (b *batch) admit(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	isFinished := func(s *sequence) bool { return s.finished }
	b.running = slices.DeleteFunc(b.running, isFinished)
	b.waiting = slices.DeleteFunc(b.waiting, isFinished)
	free := min(b.max-len(b.running), len(b.waiting))
	for _, s := range b.waiting[:free] {
		s.prefilled = now.Add(s.prefill)
		b.running = append(b.running, s)
	}
	b.waiting = slices.Delete(b.waiting, 0, free)
	return len(b.running) > 0
}

// advance produces one token of each running sequence whose prefill has ended.
func (b *batch) advance(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.steps++
	for _, s := range b.running {
		if s.finished || now.Before(s.prefilled) {
			continue
		}
		s.emit(s.produced)
		s.produced++
		b.tokens++
		if s.remaining--; s.remaining <= 0 && !s.endless {
			b.finish(s)
		}
	}
}

// stop cancels all sequences, including those added later.
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
