package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// victim is a resident that may be drained.
type victim struct {
	pos      slotPosition
	ref      int
	value    float64 // arrivals per second that its slot serves
	busy     bool
	lastUsed time.Time
}

// drains frees slots for the unplaced loads and keeps the spare slots free.
func (p *Planner) drains(actions []Action, unplaced []loadCandidate) []Action {
	actions = p.supersededDrains(actions)
	actions, unplaced = p.teamDrains(actions, unplaced)
	for _, base := range slices.Sorted(maps.Keys(p.idx.bases)) {
		actions = p.baseDrains(actions, base, unplaced)
	}
	return actions
}

// baseDrains plans the drains on the engines of one base model.
func (p *Planner) baseDrains(actions []Action, base string, unplaced []loadCandidate) []Action {
	var baseLoads []loadCandidate
	for _, c := range unplaced {
		if p.idx.refs[c.ref].demand.BaseModel == base {
			baseLoads = append(baseLoads, c)
		}
	}
	b := p.idx.bases[base]
	need := min(len(baseLoads), p.opts.MaxStarts) + p.spareSlots(b) - b.free - b.draining
	if need <= 0 {
		return actions
	}
	for _, v := range p.victims(base, "", baseLoads) {
		if need == 0 {
			break
		}
		if p.displaces(baseLoads, v) {
			actions = append(actions, p.drain(v, ReasonSpare))
			need--
		}
	}
	return actions
}

// spareSlots returns the number of slots to keep free. Where slots are few, an
// idle resident adapter saves more loads than a slot that is free in advance.
func (p *Planner) spareSlots(b *baseState) int { return min(p.opts.Spare, b.slots/minSlotsPerSpare) }

// displaces reports whether the victim may be drained for the unplaced loads. An
// idle victim is evicted if requests wait; otherwise the demand decides.
func (p *Planner) displaces(unplaced []loadCandidate, v victim) bool {
	if p.idx.refs[v.ref].ready == 0 {
		return false // all replicas of the version are being drained already
	}
	if v.busy {
		return p.longestWait(unplaced) >= p.opts.BusyDrainWait
	}
	for _, c := range unplaced {
		if c.reason == ReasonWaiting || c.value > p.opts.Hysteresis*v.value {
			return true
		}
	}
	// No unplaced load justifies the drain: keep spare slots free only by draining
	// adapters with little demand.
	return v.value < p.opts.RefillArrivals
}

// longestWait returns the longest wait of a request for one of the loads.
func (p *Planner) longestWait(unplaced []loadCandidate) time.Duration {
	var longest time.Duration
	for _, c := range unplaced {
		if c.reason == ReasonWaiting {
			longest = max(longest, p.idx.refs[c.ref].demand.OldestWait)
		}
	}
	return longest
}

// victims returns the least valuable residents that may be drained on engines of
// the base model, restricted to the team unless it is empty. It leaves out
// versions with waiting requests and residents that were loaded recently.
func (p *Planner) victims(base, team string, unplaced []loadCandidate) []victim {
	busyAllowed := p.longestWait(unplaced) >= p.opts.BusyDrainWait
	out := topK[victim]{k: p.candidateLimit(), compare: p.compareVictims}
	for i := range p.idx.refs {
		r := &p.idx.refs[i]
		if r.waiting() > 0 || r.ready == 0 || team != "" && r.team != team {
			continue
		}
		for _, pos := range r.residents {
			if p.idx.engines[pos.engine].BaseModel != base {
				continue
			}
			if v, ok := p.victim(i, pos); ok && (busyAllowed || !v.busy) {
				out.add(v)
			}
		}
	}
	return out.items
}

// victim returns the resident at the position as a victim. It returns false if the
// resident may not be drained.
func (p *Planner) victim(ref int, pos slotPosition) (victim, bool) {
	e, r := &p.idx.engines[pos.engine], &p.idx.refs[ref]
	res := e.resident(pos.slot)
	if !e.usable() || res.State != Ready || p.idx.now.Sub(res.Since) < p.opts.MinResidence {
		return victim{}, false
	}
	v := victim{pos: pos, ref: ref, value: r.arrivals() / float64(r.ready), busy: res.InFlight > 0, lastUsed: res.LastUsed}
	if r.superseded {
		v.value = 0
	}
	return v, true
}

// compareVictims orders victims by the order in which they are drained.
func (p *Planner) compareVictims(a, b victim) int {
	if a.busy != b.busy {
		if a.busy {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(a.value, b.value),
		a.lastUsed.Compare(b.lastUsed),
		p.idx.refs[a.ref].ref.Compare(p.idx.refs[b.ref].ref),
		cmp.Compare(a.pos.engine, b.pos.engine),
	)
}

// drain updates the counts for the drain and returns its action.
func (p *Planner) drain(v victim, reason string) Action {
	e, r := &p.idx.engines[v.pos.engine], &p.idx.refs[v.ref]
	r.ready--
	r.draining++
	p.idx.base(e.BaseModel).draining++
	p.idx.team(r.team).draining++
	return Action{Drain, e.Name, r.ref, r.team, reason}
}

// supersededDrains drains unused versions of adapters that have a ready version
// with more demand.
func (p *Planner) supersededDrains(actions []Action) []Action {
	for i := range p.idx.refs {
		r := &p.idx.refs[i]
		if !r.superseded {
			continue
		}
		for _, pos := range r.residents {
			v, ok := p.victim(i, pos)
			if ok && !v.busy && p.idx.now.Sub(v.lastUsed) >= p.opts.SupersededIdle {
				actions = append(actions, p.drain(v, ReasonSuperseded))
			}
		}
	}
	return actions
}

// teamDrains plans one drain for each team that has waiting requests and has
// reached its slot limit. It returns the unplaced loads of the other teams.
func (p *Planner) teamDrains(actions []Action, unplaced []loadCandidate) ([]Action, []loadCandidate) {
	var others []loadCandidate
	done := map[string]bool{}
	for _, c := range unplaced {
		r := &p.idx.refs[c.ref]
		t := p.idx.team(r.team)
		if !t.atLimit() {
			others = append(others, c)
			continue
		}
		if c.reason != ReasonWaiting || done[t.name] || !t.atLimitAfterDrains() {
			continue
		}
		done[t.name] = true
		for _, v := range p.victims(r.demand.BaseModel, t.name, []loadCandidate{c}) {
			if p.displaces([]loadCandidate{c}, v) {
				actions = append(actions, p.drain(v, ReasonTeamLimit))
				break
			}
		}
	}
	return actions, others
}
