package entry

import "sync"

// tasks runs functions that outlive the request that started them. Unlike with a
// sync.WaitGroup, a task may start during a wait even when none is running.
type tasks struct {
	mu    sync.Mutex
	idle  *sync.Cond
	count int
}

func (t *tasks) init() { t.idle = sync.NewCond(&t.mu) }

func (t *tasks) start(f func()) {
	t.mu.Lock()
	t.count++
	t.mu.Unlock()
	go func() {
		defer t.end()
		f()
	}()
}

func (t *tasks) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count--; t.count == 0 {
		t.idle.Broadcast()
	}
}

func (t *tasks) runningCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// wait blocks until no task is running.
func (t *tasks) wait() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.count > 0 {
		t.idle.Wait()
	}
}
