package consensus

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
)

const (
	worldStep       = 50 * time.Millisecond
	electionTimeout = time.Second
	helloSteps      = 20
	// maxDrift gives the fastest and the slowest clock rates with a ratio of 1.22,
	// within the 1.25 that LeaseFraction allows.
	maxDrift = 0.1
)

// crashPoint is a step of the driver's loop at which a host may crash.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSave
	afterSave
	afterSend
	afterApply
	beforeCompactSave
	crashPoints
)

// disk is the state that survives a crash.
type disk struct {
	id    string
	saves uint64
	// ownRuns contains all runs on this disk, the newest last.
	ownRuns []Run
	saved   Saved
	runs    Runs
}

func (d *disk) clone() *disk {
	c := *d
	c.saved.Entries = slices.Clone(d.saved.Entries)
	c.ownRuns = slices.Clone(d.ownRuns)
	c.runs = maps.Clone(d.runs)
	return &c
}

func (d *disk) save(rd Ready, runs Runs) {
	d.saves++
	if rd.HardState != nil {
		d.saved.HardState = *rd.HardState
	}
	if rd.Snapshot != nil {
		d.saved.Snapshot, d.saved.Entries = rd.Snapshot, nil
	}
	if len(rd.Entries) > 0 {
		first := rd.Entries[0].GetIndex()
		d.saved.Entries = slices.DeleteFunc(slices.Clone(d.saved.Entries), func(e *apiv1.LogEntry) bool { return e.GetIndex() >= first })
		d.saved.Entries = append(d.saved.Entries, rd.Entries...)
	}
	d.runs = maps.Clone(runs)
}

// simHost is a host with its disk; node is nil while it is down.
type simHost struct {
	name    string
	rate    float64
	disk    *disk
	node    *Node
	run     Run
	earlier []Run
	runs    Runs
	// recordedRuns contains the peers' runs that the disk recorded before the start.
	recordedRuns Runs
	applied      uint64
	chain        uint64
	crash        crashPoint
	// refused is true for a host that runs on an old copy of its disk, which its
	// peers must refuse.
	refused bool
}

type packet struct {
	at       time.Duration
	from, to string
	disk     string
	run      Run
	earlier  []Run
	// message is nil in a hello, which carries the earlier runs and what the
	// sender has seen of the receiver.
	message  *apiv1.LogMessage
	seen     *Run
	seenDisk string
}

type committed struct{ term, chain uint64 }

// world simulates hosts, disks, clocks and the network, and checks the
// invariants after each step.
type world struct {
	fail  func(format string, args ...any)
	rng   *rand.Rand
	now   time.Duration
	steps int
	hosts []*simHost
	// cut contains the directed links that drop all packets.
	cut        map[[2]string]bool
	loss, dup  float64
	maxDelay   time.Duration
	queue      []packet
	leaders    map[uint64]string
	log        map[uint64]committed
	leaseUntil map[uint64]time.Duration
	disks      int
	proposed   int
	// leaseEndsWithProcess is the setting of all nodes.
	leaseEndsWithProcess bool
}

func newWorld(seed uint64, count int, fail func(string, ...any)) *world {
	w := &world{
		leaseEndsWithProcess: seed%2 == 1,
		fail:                 fail, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]string]bool{}, maxDelay: worldStep,
		leaders: map[uint64]string{}, log: map[uint64]committed{1: {term: 1}}, leaseUntil: map[uint64]time.Duration{},
	}
	set := &apiv1.MemberSet{}
	for range count {
		h := w.addHost()
		set.Members = append(set.Members, &apiv1.Member{Host: h.name, Address: h.name, DiskId: h.disk.id, Voter: true})
	}
	for _, h := range w.hosts {
		h.disk.saved = Saved{HardState: HardState{Term: 1}, Snapshot: &Snapshot{Index: 1, Term: 1, Members: set, Data: make([]byte, 8)}}
		w.start(h)
	}
	return w
}

func (w *world) newDisk() *disk {
	w.disks++
	return &disk{id: fmt.Sprintf("d%d", w.disks), runs: Runs{}}
}

func (w *world) addHost() *simHost {
	h := &simHost{name: fmt.Sprintf("h%d", len(w.hosts)), rate: 1 + maxDrift*(2*w.rng.Float64()-1), disk: w.newDisk()}
	w.hosts = append(w.hosts, h)
	return h
}

func (w *world) clock(h *simHost) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(w.now) * h.rate))
}

func (w *world) start(h *simHost) {
	h.run = Run{Boot: 1, Nonce: w.rng.Uint64()}
	if k := len(h.disk.ownRuns); k > 0 {
		h.disk.ownRuns[k-1].Saves = h.disk.saves
		h.run.Boot = h.disk.ownRuns[k-1].Boot + 1
	}
	h.earlier = slices.Clone(h.disk.ownRuns)
	h.disk.ownRuns = append(h.disk.ownRuns, h.run)
	h.disk.saves++
	h.runs = maps.Clone(h.disk.runs)
	h.recordedRuns = maps.Clone(h.disk.runs)
	cfg := Config{ID: h.disk.id, ElectionTimeout: electionTimeout, HeartbeatInterval: 200 * time.Millisecond,
		MaxMessageBytes: 100, MaxInFlight: 16, PromoteLag: 5, Seed: w.rng.Uint64(),
		LeaseEndsWithProcess: w.leaseEndsWithProcess}
	// The node gets its own copy, as a real restart reads the disk.
	node, err := New(cfg, h.disk.clone().saved, w.clock(h))
	if err != nil {
		w.fail("%s cannot start: %v", h.name, err)
	}
	h.node, h.crash = node, noCrash
	h.applied, h.chain = 0, 0
	if s := h.disk.saved.Snapshot; s != nil {
		w.restore(h, s)
	}
	w.hello(h)
}

func (w *world) restore(h *simHost, s *Snapshot) {
	h.applied, h.chain = s.Index, binary.BigEndian.Uint64(s.Data)
	if c, ok := w.log[s.Index]; !ok || c.chain != h.chain {
		w.fail("%s restored a snapshot at %d that differs from the committed state", h.name, s.Index)
	}
}

// step lets one step of time pass on all hosts.
func (w *world) step() {
	w.now += worldStep
	w.steps++
	w.deliver()
	for _, h := range w.hosts {
		if h.node == nil {
			continue
		}
		h.node.Tick(w.clock(h))
		w.process(h)
		if h.node != nil && w.steps%helloSteps == 0 {
			w.hello(h)
		}
	}
	w.checkLeases()
}

func (w *world) run(d time.Duration) {
	for range int(d / worldStep) {
		w.step()
	}
}

// hello announces the host's run to all other hosts, as the driver does.
func (w *world) hello(h *simHost) {
	for _, other := range w.hosts {
		if other != h {
			w.sendPacket(h, other.disk.id, nil)
		}
	}
}

func (w *world) sendPacket(h *simHost, to string, m *apiv1.LogMessage) {
	i := slices.IndexFunc(w.hosts, func(o *simHost) bool { return o.disk.id == to })
	if i < 0 {
		return
	}
	p := packet{from: h.name, to: w.hosts[i].name, disk: h.disk.id, run: h.run, message: m}
	if m == nil {
		p.earlier = h.earlier
		if seen, ok := h.runs[to]; ok {
			p.seen, p.seenDisk = &seen, to
		}
	}
	p.run.Saves = h.disk.saves
	for range 2 {
		if w.rng.Float64() >= w.loss {
			p.at = w.now + time.Duration(w.rng.Int64N(int64(w.maxDelay)+1))
			w.queue = append(w.queue, p)
		}
		if w.rng.Float64() >= w.dup {
			return
		}
	}
}

// deliver delivers the due packets in random order.
func (w *world) deliver() {
	var due, rest []packet
	for _, p := range w.queue {
		if p.at <= w.now {
			due = append(due, p)
		} else {
			rest = append(rest, p)
		}
	}
	w.queue = rest
	w.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, p := range due {
		h := w.host(p.to)
		if h.node == nil || w.cut[[2]string{p.from, p.to}] {
			continue
		}
		w.receive(h, p)
	}
}

func (w *world) receive(h *simHost, p packet) {
	switch h.runs.Check(p.disk, p.run, p.earlier) {
	case OldRun:
		return
	case NewRun:
		h.disk.save(Ready{}, h.runs)
		w.sendPacket(h, p.disk, nil)
	}
	// The driver stops permanently when a peer shows that its disk is an old copy.
	run := h.run
	run.Saves = h.disk.saves
	if p.seen != nil && p.seenDisk == h.disk.id && !Continues(run, h.earlier, *p.seen) {
		if !h.refused {
			w.fail("%s was refused on its own disk", h.name)
		}
		h.node = nil
		return
	}
	if p.seen != nil && p.seen.Nonce == h.run.Nonce && h.recordedRuns[p.disk].Nonce != p.run.Nonce {
		h.node.PeerRestarted(w.clock(h), p.disk)
	}
	if p.message != nil {
		h.node.Step(w.clock(h), proto.Clone(p.message).(*apiv1.LogMessage))
		w.process(h)
	}
}

func (w *world) host(name string) *simHost {
	return w.hosts[slices.IndexFunc(w.hosts, func(o *simHost) bool { return o.name == name })]
}

// process is the driver's loop with its crash points.
func (w *world) process(h *simHost) {
	h.node.Flush()
	for h.node.HasReady() {
		rd := h.node.Ready()
		w.sendAll(h, rd.Early)
		if rd.HardState != nil || rd.Snapshot != nil || len(rd.Entries) > 0 {
			if w.crashed(h, beforeSave) {
				return
			}
			h.disk.save(rd, h.runs)
			if w.crashed(h, afterSave) {
				return
			}
		}
		w.sendAll(h, rd.Messages)
		if w.crashed(h, afterSend) {
			return
		}
		if rd.Snapshot != nil {
			w.restore(h, rd.Snapshot)
		}
		for _, e := range rd.Committed {
			w.apply(h, e)
		}
		if w.crashed(h, afterApply) {
			return
		}
		h.node.Advance(rd)
	}
	w.checkLeader(h)
}

func (w *world) sendAll(h *simHost, messages []*apiv1.LogMessage) {
	for _, m := range messages {
		w.sendPacket(h, m.GetTo(), m)
	}
}

func (w *world) crashed(h *simHost, at crashPoint) bool {
	if h.crash == at {
		h.node, h.crash = nil, noCrash
		return true
	}
	return false
}

func (w *world) leader() *simHost {
	var best *simHost
	for _, h := range w.hosts {
		if h.node != nil && h.node.role == Leader && (best == nil || h.node.term > best.node.term) {
			best = h
		}
	}
	return best
}

// propose proposes a command on the host and reports whether it was accepted; a
// host that does not lead rejects it.
func (w *world) propose(h *simHost) bool {
	w.proposed++
	_, err := h.node.Propose(fmt.Appendf(nil, "command %d", w.proposed))
	return err == nil
}

func (w *world) compact(h *simHost) {
	crash := h.crash == beforeCompactSave
	// The state takes five chunks of a snapshot.
	data := make([]byte, 450)
	binary.BigEndian.PutUint64(data, h.chain)
	s, keep := h.node.Compact(h.applied, data, 5)
	if crash {
		w.crashed(h, beforeCompactSave)
		return
	}
	if s == nil {
		return
	}
	h.disk.saves++
	h.disk.saved.Snapshot = s
	h.disk.saved.Entries = slices.DeleteFunc(slices.Clone(h.disk.saved.Entries), func(e *apiv1.LogEntry) bool { return e.GetIndex() < keep })
}

// heal ends all faults of the network and restarts all hosts.
func (w *world) heal() {
	clear(w.cut)
	w.loss, w.dup, w.maxDelay = 0, 0, worldStep
	for _, h := range w.hosts {
		h.crash = noCrash
		if h.node == nil {
			w.start(h)
		}
	}
}
