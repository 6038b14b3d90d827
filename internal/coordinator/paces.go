package coordinator

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/pace"
)

// paceInterval is the time between two decisions on what hosts are told of the servers' paces.
const paceInterval = 200 * time.Millisecond

// exchangePaces records what servers told a host of their pace, and returns the paces that the host lacks.
func (l *leader) exchangePaces(req *apiv1.ExchangeRequest, resp *apiv1.ExchangeResponse, now time.Time) {
	for _, s := range req.GetPaces() {
		l.paces.Observe(pace.Sum{Instance: s.GetInstance(), Total: float64(s.GetTotal()), Count: int(s.GetCount())}, now)
	}
	since := req.GetPaceEpoch()
	if req.GetTerm() != l.term {
		since = 0
	}
	changed, epoch := l.paces.Since(since)
	for _, f := range changed {
		resp.Paces = append(resp.Paces, &apiv1.ServerPace{Instance: f.Instance, Factor: float32(f.Factor)})
	}
	resp.PaceEpoch = epoch
}

// updatePaces has hosts and placement learn of the paces that changed. The caller holds mu.
func (l *leader) updatePaces(now time.Time) {
	if now.Before(l.nextPaces) {
		return
	}
	l.nextPaces = now.Add(paceInterval)
	l.paces.Update(l.table.Has, now)
	for _, e := range l.table.Engines() {
		l.table.SetPace(e.Instance, l.paces.Factor(e.Instance))
	}
}
