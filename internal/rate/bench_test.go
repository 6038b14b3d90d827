package rate

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBorrow measures the lender's cost per call when the demand of all hosts
// exceeds the rate.
func BenchmarkBorrow(b *testing.B) {
	for _, hosts := range []int{9, 100, 1200} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			l := NewLender(1, epoch)
			l.SetTeams(teams(10_000, 100_000), epoch)
			accounts := make([]*Account, hosts)
			for i := range accounts {
				accounts[i] = NewAccount(fmt.Sprint("h", i), 1)
			}
			now := epoch.Add(time.Minute)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(250 * time.Millisecond / time.Duration(hosts))
				a := accounts[i%hosts]
				a.SetDemand("a", 1000)
				exchange(l, a, now)
			}
		})
	}
}
