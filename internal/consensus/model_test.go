package consensus

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

// modelSeed and modelChecks are the fixed seed and the number of random
// histories of a normal run. JASMINE_MODEL_SEED and JASMINE_MODEL_CHECKS
// override them.
const (
	modelSeed   = "20261204"
	modelChecks = "400"
)

func setFlag(t *testing.T, name, env, value string) {
	if v := os.Getenv(env); v != "" {
		value = v
	}
	must.NoError(t, flag.Set(name, value))
	t.Logf("%s=%s", name, value)
}

// Guards against two leaders in one term, lost committed commands and
// overlapping leases under any mix of crashes, lost disks, membership changes
// and network faults.
func TestModel(t *testing.T) {
	setFlag(t, "rapid.seed", "JASMINE_MODEL_SEED", modelSeed)
	setFlag(t, "rapid.checks", "JASMINE_MODEL_CHECKS", modelChecks)
	setFlag(t, "rapid.steps", "JASMINE_MODEL_STEPS", "200")
	setFlag(t, "rapid.nofailfile", "JASMINE_MODEL_NOFAILFILE", "true")
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"run":     m.advanceTime,
			"run2":    m.advanceTime,
			"propose": m.propose,
			"crash":   m.crash,
			"restart": m.restart,
			"reset":   m.restartAll,
			"orphan":  m.restartOthers,
			"network": m.network,
			"cut":     m.cutLinks,
			"isolate": m.isolateLeader,
			"heal":    m.heal,
			"compact": m.compact,
			"add":     m.addMember,
			"remove":  m.removeMember,
			"empty":   m.emptyDisk,
			"copy":    m.copyDisk,
			"revert":  m.restoreDisk,
			"handoff": m.transfer,
		})
		m.finish()
	})
}

type model struct {
	w         *world
	lostDisks int
	copies    map[string]*disk
}

func newModel(t *rapid.T) *model {
	count := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
	seed := rapid.Uint64().Draw(t, "seed")
	return &model{w: newWorld(seed, count, t.Fatalf), copies: map[string]*disk{}}
}

func (m *model) pick(t *rapid.T) *simHost { return rapid.SampledFrom(m.w.hosts).Draw(t, "host") }

func (m *model) advanceTime(t *rapid.T) {
	m.w.run(worldStep * time.Duration(rapid.IntRange(1, 60).Draw(t, "steps")))
}

func (m *model) propose(t *rapid.T) {
	h := m.pick(t)
	if l := m.w.leader(); l != nil && rapid.Bool().Draw(t, "leader") {
		h = l
	}
	for range rapid.IntRange(1, 12).Draw(t, "count") {
		if h.node != nil {
			m.w.propose(h)
		}
	}
	if h.node != nil {
		m.w.process(h)
	}
}

func (m *model) crash(t *rapid.T) {
	h := m.pick(t)
	h.crash = crashPoint(rapid.IntRange(int(noCrash), int(crashPoints)-1).Draw(t, "point"))
	if h.crash == noCrash {
		h.node = nil
	}
}

func (m *model) restart(t *rapid.T) {
	if h := m.pick(t); h.node == nil {
		m.w.start(h)
	}
}

// restartAll crashes all hosts, immediately or at their next save, and restarts
// them together.
func (m *model) restartAll(t *rapid.T) {
	point := rapid.SampledFrom([]crashPoint{noCrash, beforeSave, afterSave}).Draw(t, "point")
	for _, h := range m.w.hosts {
		h.crash = point
		if point == noCrash {
			h.node = nil
		}
	}
	m.advanceTime(t)
	for _, h := range m.w.hosts {
		if h.node == nil {
			m.w.start(h)
		}
	}
}

// restartOthers isolates the leader and restarts all other hosts at once, so that
// they try to elect a new leader while the old one's lease is still valid.
func (m *model) restartOthers(t *rapid.T) {
	l := m.w.leader()
	if l == nil {
		return
	}
	for _, h := range m.w.hosts {
		if h == l {
			continue
		}
		m.w.cut[[2]string{l.name, h.name}], m.w.cut[[2]string{h.name, l.name}] = true, true
		m.w.start(h)
	}
	m.w.run(worldStep * time.Duration(rapid.IntRange(1, 20).Draw(t, "steps")))
}

func (m *model) network(t *rapid.T) {
	m.w.loss = rapid.SampledFrom([]float64{0, 0, 0.1, 0.5}).Draw(t, "loss")
	m.w.dup = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "duplicated")
	m.w.maxDelay = rapid.SampledFrom([]time.Duration{worldStep, worldStep, 300 * time.Millisecond, 4 * time.Second}).Draw(t, "delay")
}

func (m *model) cutLinks(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "links") {
		m.w.cut[[2]string{m.pick(t).name, m.pick(t).name}] = true
	}
}

func (m *model) isolateLeader(t *rapid.T) {
	l := m.w.leader()
	if l == nil {
		return
	}
	in, out := rapid.Bool().Draw(t, "in"), rapid.Bool().Draw(t, "out")
	for _, h := range m.w.hosts {
		if in {
			m.w.cut[[2]string{h.name, l.name}] = true
		}
		if out {
			m.w.cut[[2]string{l.name, h.name}] = true
		}
	}
	m.w.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
}

func (m *model) heal(*rapid.T) { clear(m.w.cut) }

func (m *model) compact(t *rapid.T) {
	if h := m.pick(t); h.node != nil {
		m.w.compact(h)
	}
}

func (m *model) addMember(t *rapid.T) {
	l := m.w.leader()
	if l == nil || len(m.w.hosts) >= 9 {
		return
	}
	h := m.pick(t)
	if rapid.Bool().Draw(t, "new") {
		h = m.w.addHost()
		m.w.start(h)
	}
	_, _ = l.node.AddMember(&apiv1.Member{Host: h.name, Address: h.name, DiskId: h.disk.id})
	m.w.process(l)
}

func (m *model) removeMember(t *rapid.T) {
	l := m.w.leader()
	if l == nil {
		return
	}
	members := l.node.Members().GetMembers()
	_, _ = l.node.RemoveMember(rapid.SampledFrom(members).Draw(t, "member").GetDiskId())
	m.w.process(l)
}

// emptyDisk gives a host an empty disk with a new identity, once in a history: a
// second lost disk may remove a majority, after which no progress is guaranteed.
func (m *model) emptyDisk(t *rapid.T) {
	h := m.pick(t)
	if m.lostDisks > 0 {
		return
	}
	m.lostDisks++
	h.disk = m.w.newDisk()
	m.w.start(h)
}

func (m *model) copyDisk(t *rapid.T) {
	h := m.pick(t)
	m.copies[h.disk.id] = h.disk.clone()
}

// restoreDisk starts a host on an earlier copy of its disk, once all others
// have saved that they saw a later run or save. Before that, no protocol can
// detect the old copy.
func (m *model) restoreDisk(t *rapid.T) {
	h := m.pick(t)
	old := m.copies[h.disk.id]
	if m.lostDisks > 0 || old == nil || h.refused {
		return
	}
	for _, o := range m.w.hosts {
		if o != h && o.disk.runs[h.disk.id].Saves <= old.saves {
			return
		}
	}
	// A single voter has no peer that could refuse it.
	if old.loneVoter() || h.disk.loneVoter() {
		return
	}
	m.lostDisks++
	h.disk = old.clone()
	m.w.start(h)
	h.refused = true
}

func (d *disk) loneVoter() bool {
	l, err := newLog(d.saved.Snapshot, d.saved.Entries)
	return err != nil || slices.ContainsFunc(l.members, func(c memberChange) bool { return len(voters(c.set)) < 2 })
}

func (m *model) transfer(*rapid.T) {
	if l := m.w.leader(); l != nil {
		_ = l.node.TransferLeadership()
	}
}

// finish ends all faults and checks for progress, unless a lost disk may have
// removed the majority of a member set.
func (m *model) finish() {
	m.w.heal()
	m.w.run(5 * time.Second)
	if m.lostDisks > 0 && m.w.leader() == nil {
		return
	}
	m.w.settle()
}
