package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReport measures the processing of one report by the leader of a large
// deployment, where the leader gets several hundred reports per second on one core.
func BenchmarkReport(b *testing.B) {
	for _, hosts := range []int{9, 70, 300} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			now := time.Unix(1000, 0)
			allocator := NewAllocator(now)
			rates := map[string]Rate{}
			var usages []Usage
			for i := range 16 {
				name := fmt.Sprint("team", i)
				rates[name] = Rate{perSecond, burst}
				usages = append(usages, Usage{Team: name, Asked: 1_000, Fraction: 0.01})
			}
			allocator.SetRates(rates)
			for i := range b.N {
				now = now.Add(time.Second / time.Duration(4*hosts))
				allocator.Report(fmt.Sprint(i%hosts), usages, now)
			}
		})
	}
}
