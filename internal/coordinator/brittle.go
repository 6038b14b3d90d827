package coordinator

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/places"
)

// exchangeBrittle records what a host knows of brittle servers and needs there, and returns its places.
func (l *leader) exchangeBrittle(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	demands := map[string]places.Demand{}
	for _, b := range req.GetBrittle() {
		fact := places.Fact{
			Instance: b.GetInstance(), Tolerated: int(b.GetTolerated()), NamedAt: now.Add(-time.Duration(b.GetAgeMs()) * time.Millisecond),
		}
		if l.brittle.Observe(fact) {
			l.log.Info().Str("event", "server_brittle").Str("server", fact.Instance).Int("tolerated", fact.Tolerated).
				Str("entry_host", req.GetHost()).Msg("backend server says whether it is brittle")
		}
		demands[fact.Instance] = places.Demand{
			InFlight: int(b.GetInFlight()), Held: int(b.GetPlaces()), Wanted: int(b.GetWanted()), Refusals: int(b.GetRefusals()),
		}
	}
	if l.brittle.Len() == 0 {
		return
	}
	present := func(instance string) bool { return !l.listed || l.table.Has(instance) }
	for _, f := range l.brittle.Facts(present, now) {
		granted := l.brittle.Grant(req.GetHost(), f.Instance, l.table.Slots(f.Instance), demands[f.Instance], now)
		resp.Brittle = append(resp.Brittle, &apiv1.BrittleServer{
			Instance: f.Instance, Tolerated: uint32(f.Tolerated), AgeMs: uint32(now.Sub(f.NamedAt).Milliseconds()), Places: uint32(granted),
		})
	}
}
