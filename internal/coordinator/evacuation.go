package coordinator

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
)

// SetEvacuated begins or ends the evacuation of a failure domain. It returns once a quorum has the order; an order that
// changes nothing succeeds.
func (c *Coordinator) SetEvacuated(ctx context.Context, domain string, evacuated bool) error {
	if l := c.Leadership(); !l.GetLeading() {
		return notLeader(l)
	}
	if err := c.checkDomain(domain); err != nil {
		return err
	}
	_, err := c.put(ctx, &apiv1.Command{
		UnixMs:  time.Now().UnixMilli(),
		Command: &apiv1.Command_PutEvacuation{PutEvacuation: &apiv1.PutEvacuation{FailureDomain: domain, Evacuated: evacuated}},
	})
	return err
}

// checkDomain returns an error unless the settings, the list or an earlier order name the failure domain.
func (c *Coordinator) checkDomain(domain string) error {
	known := map[string]bool{}
	for _, d := range c.opts.Domains {
		known[d] = true
	}
	for _, e := range c.machine().Evacuations() {
		known[e.GetFailureDomain()] = true
	}
	listed := false
	if l := c.currentLeader(); l != nil {
		l.mu.Lock()
		listed = l.listed
		for _, e := range l.table.Engines() {
			known[e.Domain] = true
		}
		l.mu.Unlock()
	}
	switch {
	case known[domain]:
		return nil
	case len(c.opts.Domains) == 0 && !listed:
		return fault.New(fault.KindUnavailable, "the failure domains are not known yet", "send the order again").At("failure_domain")
	}
	return fault.Newf(fault.KindInvalidRequest, "name one of "+strings.Join(slices.Sorted(maps.Keys(known)), ", "),
		"no failure domain has the name %q", domain).At("failure_domain")
}

// syncEvacuations applies the committed evacuations. The caller holds mu.
func (l *leader) syncEvacuations(now time.Time) {
	domains := map[string]bool{}
	for _, e := range l.c.machine().Evacuations() {
		if e.GetEvacuated() {
			domains[e.GetFailureDomain()] = true
		}
	}
	if maps.Equal(domains, l.evacuated) {
		return
	}
	for domain := range domains {
		if !l.evacuated[domain] {
			l.logEvacuation(domain, true)
		}
	}
	for domain := range l.evacuated {
		if !domains[domain] {
			l.logEvacuation(domain, false)
			l.holdReturned(domain, now)
		}
	}
	l.evacuated = domains
	l.table.SetEvacuated(domains)
}

func (l *leader) logEvacuation(domain string, begins bool) {
	l.log.Info().Str("event", "evacuation").Str("failure_domain", domain).Bool("begins", begins).Int("in_flight", l.inFlightIn(domain)).
		Msg("evacuation of a failure domain")
}

// inFlightIn returns the number of requests that run at the servers of a failure domain.
func (l *leader) inFlightIn(domain string) int {
	n := 0
	for _, e := range l.table.Engines() {
		if e.Domain == domain {
			n += l.hosts.total(e.Instance).InFlight
		}
	}
	return n
}

// evacuatedInFlight returns the number of requests that run in evacuated failure domains.
func (l *leader) evacuatedInFlight() uint64 {
	n := 0
	for domain := range l.evacuated {
		n += l.inFlightIn(domain)
	}
	return uint64(n)
}

// logEvacuationProgress logs how much still runs in each evacuated failure domain, when it has become nothing.
func (l *leader) logEvacuationProgress() {
	for domain := range l.evacuated {
		if n := l.inFlightIn(domain); n > 0 {
			delete(l.emptied, domain)
		} else if !l.emptied[domain] {
			l.emptied[domain] = true
			l.log.Info().Str("event", "evacuation_empty").Str("failure_domain", domain).Msg("nothing runs at the servers of the evacuated failure domain")
		}
	}
	maps.DeleteFunc(l.emptied, func(domain string, _ bool) bool { return !l.evacuated[domain] })
}

// EvacuationStatus tells how far the evacuation of a failure domain is.
type EvacuationStatus struct {
	FailureDomain string
	Evacuated     bool
	// Since is when the evacuation began or ended.
	Since time.Time
	// Servers is the number of backend servers there, and InFlight the number of requests that run at them.
	Servers, InFlight int
}

// Evacuations returns the failure domains that are or were evacuated, sorted by name. The read is linearizable.
func (c *Coordinator) Evacuations(ctx context.Context) ([]EvacuationStatus, error) {
	if l := c.Leadership(); !l.GetLeading() {
		return nil, notLeader(l)
	}
	if err := c.opts.Log.Barrier(ctx); err != nil {
		return nil, err
	}
	var out []EvacuationStatus
	for _, e := range c.machine().Evacuations() {
		s := EvacuationStatus{FailureDomain: e.GetFailureDomain(), Evacuated: e.GetEvacuated(), Since: time.UnixMilli(e.GetSinceUnixMs())}
		if l := c.currentLeader(); l != nil {
			l.mu.Lock()
			s.InFlight = l.inFlightIn(s.FailureDomain)
			for _, engine := range l.table.Engines() {
				if engine.Domain == s.FailureDomain {
					s.Servers++
				}
			}
			l.mu.Unlock()
		}
		out = append(out, s)
	}
	return out, nil
}
