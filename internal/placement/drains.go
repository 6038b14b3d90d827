package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// victim is a resident that may be drained.
type victim struct {
	at    place
	ref   int
	value float64 // expected demand that its slot serves
	busy  bool
	used  time.Time
}

// drains makes room for the missing loads and keeps the spare slots.
func (p *Planner) drains(actions []Action, missing []want) []Action {
	actions = p.supersededDrains(actions)
	actions, missing = p.teamDrains(actions, missing)
	for _, base := range slices.Sorted(maps.Keys(p.x.bases)) {
		actions = p.baseDrains(actions, base, missing)
	}
	return actions
}

// baseDrains drains on the engines of one base model.
func (p *Planner) baseDrains(actions []Action, base string, missing []want) []Action {
	var mine []want
	for _, w := range missing {
		if p.x.refs[w.ref].demand.BaseModel == base {
			mine = append(mine, w)
		}
	}
	b := p.x.bases[base]
	need := min(len(mine), p.opts.MaxStarts) + p.spare(b) - b.free - b.draining
	if need <= 0 {
		return actions
	}
	for _, v := range p.victims(base, "", mine) {
		if need == 0 {
			break
		}
		if p.displaces(mine, v) {
			actions = append(actions, p.drain(v, ReasonSpare))
			need--
		}
	}
	return actions
}

// spare is the number of slots to keep free. Where slots are few, an idle adapter
// that is still resident is worth more than a slot that is free in advance.
func (p *Planner) spare(b *baseState) int { return min(p.opts.Spare, b.slots/minSlotsPerSpare) }

// displaces tells whether a load is worth the victim's slot. An idle victim
// gives way to waiting requests; without them, the demand decides.
func (p *Planner) displaces(missing []want, v victim) bool {
	if p.x.refs[v.ref].ready == 0 {
		return false // its other replicas are being drained
	}
	if v.busy {
		return p.longestWait(missing) >= p.opts.BusyWait
	}
	for _, w := range missing {
		if w.reason == ReasonWaiting || w.value > p.opts.Hysteresis*v.value {
			return true
		}
	}
	// Nothing is missing: keep spare slots only at the cost of idle adapters.
	return v.value < p.opts.RefillArrivals
}

func (p *Planner) longestWait(missing []want) time.Duration {
	var longest time.Duration
	for _, w := range missing {
		if w.reason == ReasonWaiting {
			longest = max(longest, p.x.refs[w.ref].demand.OldestWait)
		}
	}
	return longest
}

// victims returns the least valuable residents that may be drained on engines of
// the base model, of one team if it is not empty. Nothing with waiting requests
// or a short residence is among them.
func (p *Planner) victims(base, team string, missing []want) []victim {
	busyAllowed := p.longestWait(missing) >= p.opts.BusyWait
	out := top[victim]{k: p.horizon(), compare: p.compareVictims}
	for i := range p.x.refs {
		r := &p.x.refs[i]
		if r.waiting() > 0 || r.ready == 0 || team != "" && r.team != team {
			continue
		}
		for _, at := range r.residents {
			if p.x.engines[at.engine].BaseModel != base {
				continue
			}
			if v, ok := p.victim(i, at); ok && (busyAllowed || !v.busy) {
				out.add(v)
			}
		}
	}
	return out.items
}

func (p *Planner) victim(ref int, at place) (victim, bool) {
	e, r := &p.x.engines[at.engine], &p.x.refs[ref]
	res := e.resident(at.slot)
	if !e.usable() || res.State != Ready || p.x.now.Sub(res.Since) < p.opts.MinResidence {
		return victim{}, false
	}
	v := victim{at: at, ref: ref, value: r.arrivals() / float64(r.ready), busy: res.InFlight > 0, used: res.LastUsed}
	if r.superseded {
		v.value = 0
	}
	return v, true
}

func (p *Planner) compareVictims(a, b victim) int {
	if a.busy != b.busy {
		if a.busy {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(a.value, b.value),
		a.used.Compare(b.used),
		p.x.refs[a.ref].ref.Compare(p.x.refs[b.ref].ref),
		cmp.Compare(a.at.engine, b.at.engine),
	)
}

func (p *Planner) drain(v victim, reason string) Action {
	e, r := &p.x.engines[v.at.engine], &p.x.refs[v.ref]
	r.ready--
	r.draining++
	p.x.base(e.BaseModel).draining++
	p.x.team(r.team).draining++
	return Action{Drain, e.Name, r.ref, r.team, reason}
}

// supersededDrains drains unused versions of which another version is ready.
func (p *Planner) supersededDrains(actions []Action) []Action {
	for i := range p.x.refs {
		r := &p.x.refs[i]
		if !r.superseded {
			continue
		}
		for _, at := range r.residents {
			v, ok := p.victim(i, at)
			if ok && !v.busy && p.x.now.Sub(v.used) >= p.opts.SupersededIdle {
				actions = append(actions, p.drain(v, ReasonSuperseded))
			}
		}
	}
	return actions
}

// teamDrains makes room within the bound of teams that have reached it. It
// returns the missing loads of the other teams.
func (p *Planner) teamDrains(actions []Action, missing []want) ([]Action, []want) {
	var others []want
	done := map[string]bool{}
	for _, w := range missing {
		r := &p.x.refs[w.ref]
		t := p.x.team(r.team)
		if !t.full() {
			others = append(others, w)
			continue
		}
		if w.reason != ReasonWaiting || done[t.name] || !t.overfull() {
			continue
		}
		done[t.name] = true
		for _, v := range p.victims(r.demand.BaseModel, t.name, []want{w}) {
			if p.displaces([]want{w}, v) {
				actions = append(actions, p.drain(v, ReasonTeamBound))
				break
			}
		}
	}
	return actions, others
}
