package capacity

import (
	"runtime"
	"syscall"
	"time"
)

// cpuTime returns the processor time of this process over all its threads.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Limits of the rounds of one measurement.
const (
	minRounds    = 3
	maxRounds    = 9
	maxTotalTime = 400 * time.Millisecond // after minRounds, no further round starts
)

// cpuPerOp returns the processor time of one call of fn in seconds, garbage
// collection included. It is the minimum over several rounds of n calls, since
// other load on the machine can only increase it.
func (b *bench) cpuPerOp(n int, fn func(i int)) float64 {
	return b.minPerOp(n, cpuTime, fn)
}

// elapsedPerOp is like cpuPerOp, but measures elapsed time.
func (b *bench) elapsedPerOp(n int, fn func(i int)) float64 {
	start := time.Now()
	return b.minPerOp(n, func() time.Duration { return time.Since(start) }, fn)
}

func (b *bench) minPerOp(n int, clock func() time.Duration, fn func(i int)) float64 {
	if b.quick {
		n = min(n, 3)
	}
	best, total, op := time.Duration(1<<63-1), time.Duration(0), 0
	for round := range maxRounds {
		if round >= minRounds && total > maxTotalTime || b.quick && round > 0 {
			break
		}
		runtime.GC()
		start := clock()
		for range n {
			fn(op)
			op++
		}
		duration := clock() - start
		best, total = min(best, duration), total+duration
	}
	return best.Seconds() / float64(n)
}

// heapBytes returns the live heap that build's result retains.
func heapBytes(build func() any) float64 {
	before := liveHeapBytes()
	result := build()
	after := liveHeapBytes()
	runtime.KeepAlive(result)
	return max(0, float64(after)-float64(before))
}

// liveHeapBytes returns the size of the heap after two collections, so that
// objects that survive the first one through a pool or finalizer are gone too.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// sizes returns five sizes up to largest, which a quick run reduces to 64.
func (b *bench) sizes(largest int) []int {
	if b.quick {
		largest = min(largest, 64)
	}
	return []int{largest / 16, largest / 8, largest / 4, largest / 2, largest}
}

// sweep measures y at each size and records the fit.
func (b *bench) sweep(id, description, sizeUnit, costUnit string, sizes []int, y func(n int) float64) {
	var points []Point
	for _, n := range sizes {
		points = append(points, Point{X: float64(n), Y: y(n)})
	}
	b.slopes = append(b.slopes, Fit(id, description, sizeUnit, costUnit, points))
}

// tickInterval returns the replicas' tick interval; 0 selects the default.
func (b *bench) tickInterval() time.Duration {
	if b.quick {
		return 5 * time.Millisecond
	}
	return 0
}

func (b *bench) largestSize(n int) int {
	sizes := b.sizes(n)
	return sizes[len(sizes)-1]
}
