package residency

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/jasminesaddle/jasminesaddle/internal/catalog"
)

// fullFleet returns a table of engines whose adapter slots are all taken.
func fullFleet(engines int, now time.Time) *Table {
	t := New(Options{})
	t.SetCatalog(&catalog.Catalog{Services: []catalog.Service{{Name: service, Engine: &catalog.Engine{
		AdapterSlots: 9, MemoryMB: 75_000, Models: []catalog.Model{{Name: model, MB: 72_700, AdapterMB: 66}},
	}}}})
	var list []ListedEngine
	for i := range engines {
		e := ListedEngine{Instance: fmt.Sprint("e", i), Service: service, Address: fmt.Sprint(i), Residents: []Resident{{Ref{Model: model}, 1}}}
		for k := range 9 {
			e.Residents = append(e.Residents, Resident{Ref{model, fmt.Sprint("a", i*9+k)}, 1})
		}
		list = append(list, e)
	}
	t.ObserveList(list, now)
	for i := range list {
		t.SetOrderable(list[i].Instance, true)
		t.ObserveReport(list[i].Instance, Report{Residents: list[i].Residents}, now)
	}
	return t
}

// The cost of placing an adapter must grow with the number of engines, not with its square,
// which takes the processor of a leader of many engines.
func TestAcquireCostNotSquareOfEngines(t *testing.T) {
	cost := func(engines int) float64 {
		now := time.Unix(1000, 0)
		table := fullFleet(engines, now)
		now = now.Add(5 * time.Second)
		before := table.Examined()
		const requests = 20
		for i := range requests {
			must.True(t, table.Acquire(Request{Service: service, Ref: Ref{model, fmt.Sprint("cold", i)}}, now).Load)
		}
		return float64(table.Examined()-before) / requests
	}
	few, many := cost(20), cost(200)
	t.Log("engines and residents examined for a load: ", few, " with 20 engines, ", many, " with 200")
	must.LessEq(t, 10*few, many)
}

func BenchmarkAcquire(b *testing.B) {
	for _, engines := range []int{12, 112} {
		b.Run(fmt.Sprint(engines, " engines"), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table := fullFleet(engines, now)
			now = now.Add(5 * time.Second)
			for i := 0; b.Loop(); i++ {
				table.Acquire(Request{Service: service, Ref: Ref{model, fmt.Sprint("cold", i%5000)}}, now)
			}
		})
	}
}
