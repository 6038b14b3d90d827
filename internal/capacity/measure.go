package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime is the processor time of this process in all its threads.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Bounds of the rounds of one measurement.
const (
	minRounds   = 3
	maxRounds   = 9
	roundBudget = 400 * time.Millisecond
)

// perOp returns the processor time of one call in seconds, garbage collection
// included: the least of several rounds, since other load on the machine only
// adds to it.
func (b *bench) perOp(n int, fn func(i int)) float64 {
	return b.least(n, cpuTime, fn)
}

// elapsed is perOp for elapsed time.
func (b *bench) elapsed(n int, fn func(i int)) float64 {
	start := time.Now()
	return b.least(n, func() time.Duration { return time.Since(start) }, fn)
}

func (b *bench) least(n int, clock func() time.Duration, fn func(i int)) float64 {
	if b.quick {
		n = min(n, 3)
	}
	best, spent, at := time.Duration(1<<63-1), time.Duration(0), 0
	for round := range maxRounds {
		if round >= minRounds && spent > roundBudget || b.quick && round > 0 {
			break
		}
		runtime.GC()
		start := clock()
		for range n {
			fn(at)
			at++
		}
		took := clock() - start
		best, spent = min(best, took), spent+took
	}
	return best.Seconds() / float64(n)
}

// heap returns the live bytes that build's result keeps.
func heap(build func() any) float64 {
	before := live()
	kept := build()
	after := live()
	runtime.KeepAlive(kept)
	return max(0, float64(after)-float64(before))
}

func live() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// sizes returns five sizes up to the largest, or small ones for a quick run.
func (b *bench) sizes(largest int) []int {
	if b.quick {
		largest = min(largest, 64)
	}
	return []int{largest / 16, largest / 8, largest / 4, largest / 2, largest}
}

// sweep measures y at each size and keeps the fit.
func (b *bench) sweep(id, what, of, unit string, sizes []int, y func(n int) float64) {
	var points []Point
	for _, n := range sizes {
		points = append(points, Point{X: float64(n), Y: y(n)})
	}
	b.slopes = append(b.slopes, Fit(id, what, of, unit, points))
}

// tick is the replicas' tick; 0 selects the default.
func (b *bench) tick() time.Duration {
	if b.quick {
		return 5 * time.Millisecond
	}
	return 0
}

func (b *bench) largest(n int) int {
	sizes := b.sizes(n)
	return sizes[len(sizes)-1]
}
