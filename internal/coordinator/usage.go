package coordinator

import (
	"time"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/residency"
)

// hostReport is the last report of one entry host.
type hostReport struct {
	lastSeen    time.Time
	incarnation uint64
	// address is the host's base URL for other hosts; running is the number of its requests, and cutOff
	// is true while it reaches no backend server.
	address, domain string
	running         uint32
	cutOff          bool
	// loads holds the host's load on each backend server, by instance.
	loads map[string]*apiv1.HostLoad
}

// hostUsage holds the last report of each entry host and the totals of all hosts.
//
// Invariant: each total is the sum of the loads of the current reports, so that the cost of a
// report does not depend on the number of hosts.
type hostUsage struct {
	reports map[string]*hostReport
	totals  map[string]*residency.EngineUsage
	// examined counts the loads that were looked at, a measure of the cost that does not
	// depend on the machine.
	examined uint64
}

func newHostUsage() *hostUsage {
	return &hostUsage{reports: map[string]*hostReport{}, totals: map[string]*residency.EngineUsage{}}
}

// record replaces the host's report and returns the instances whose totals may have changed.
func (u *hostUsage) record(host string, loads []*apiv1.HostLoad, now time.Time) map[string]bool {
	changed := u.remove(host)
	report := &hostReport{lastSeen: now, loads: map[string]*apiv1.HostLoad{}}
	for _, load := range loads {
		report.loads[load.GetInstance()] = load
	}
	for instance, load := range report.loads {
		changed[instance] = true
		u.add(load, 1)
	}
	u.reports[host] = report
	return changed
}

// remove removes the host's report and returns the instances whose totals may have changed.
func (u *hostUsage) remove(host string) map[string]bool {
	changed := map[string]bool{}
	if old := u.reports[host]; old != nil {
		for instance, load := range old.loads {
			changed[instance] = true
			u.add(load, -1)
		}
	}
	delete(u.reports, host)
	return changed
}

// add adds a load to the totals, or subtracts it if sign is -1.
func (u *hostUsage) add(load *apiv1.HostLoad, sign int) {
	u.examined++
	total := u.totals[load.GetInstance()]
	if total == nil {
		total = &residency.EngineUsage{Adapters: map[residency.Ref]int{}}
		u.totals[load.GetInstance()] = total
	}
	total.InFlight += sign * int(load.GetInFlight())
	total.PendingTokens += sign * int(load.GetPendingTokens())
	for _, a := range load.GetAdapters() {
		ref := residency.Ref{Model: a.GetModel(), Adapter: a.GetAdapter()}
		if total.Adapters[ref] += sign * int(a.GetInFlight()); total.Adapters[ref] == 0 {
			delete(total.Adapters, ref)
		}
	}
	if total.InFlight == 0 && total.PendingTokens == 0 && len(total.Adapters) == 0 {
		delete(u.totals, load.GetInstance())
	}
}

// total returns what all hosts have in flight at an instance. The caller must not change it.
func (u *hostUsage) total(instance string) residency.EngineUsage {
	u.examined++
	if total := u.totals[instance]; total != nil {
		return *total
	}
	return residency.EngineUsage{}
}

// load returns the host's own load on an instance, nil if it has none.
func (u *hostUsage) load(host, instance string) *apiv1.HostLoad {
	u.examined++
	if report := u.reports[host]; report != nil {
		return report.loads[instance]
	}
	return nil
}
