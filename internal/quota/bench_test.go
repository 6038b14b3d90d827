package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkReport measures one report to the leader of a large deployment: the
// leader takes several hundred of them a second on one core.
func BenchmarkReport(b *testing.B) {
	for _, hosts := range []int{9, 70, 300} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			now := time.Unix(1000, 0)
			d := NewAllocator(now)
			rates := map[string]Rate{}
			var uses []Usage
			for i := range 16 {
				name := fmt.Sprint("team", i)
				rates[name] = Rate{perSecond, burst}
				uses = append(uses, Usage{Team: name, Asked: 1_000, Fraction: 0.01})
			}
			d.SetRates(rates)
			for i := range b.N {
				now = now.Add(time.Second / time.Duration(4*hosts))
				d.Report(fmt.Sprint(i%hosts), uses, now)
			}
		})
	}
}
