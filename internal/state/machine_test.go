package state

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/calls"
	"github.com/jasminesaddle/jasminesaddle/internal/fault"
	"github.com/jasminesaddle/jasminesaddle/internal/manifest"
)

const (
	accepted      = apiv1.ApplyOutcome_APPLY_OUTCOME_ACCEPTED
	already       = apiv1.ApplyOutcome_APPLY_OUTCOME_ALREADY_ACCEPTED
	conflict      = apiv1.ApplyOutcome_APPLY_OUTCOME_CONFLICT
	invalidChange = apiv1.ApplyOutcome_APPLY_OUTCOME_INVALID
)

func baseModel(name string) *apiv1.Op {
	return &apiv1.Op{Op: &apiv1.Op_PutBaseModel{PutBaseModel: &apiv1.BaseModel{Name: name}}}
}

func changeOf(number uint64, author string, ops ...*apiv1.Op) *apiv1.Command {
	return &apiv1.Command{UnixMs: int64(number), Command: &apiv1.Command_Change{
		Change: &apiv1.ChangeCommand{Number: number, Author: author, Ops: ops},
	}}
}

func initialized() *Machine {
	m := New()
	m.Apply(1, &apiv1.Command{Command: &apiv1.Command_Initialize{Initialize: &apiv1.Initialize{Cluster: "c"}}})
	return m
}

// Of changes with equal numbers only one may be accepted, a resent change must be
// recognised, and a refused change must not alter the configuration in force.
func TestNumberedChanges(t *testing.T) {
	m := initialized()
	wrongCluster := changeOf(2, "eve")
	wrongCluster.GetChange().Manifest = &apiv1.Manifest{Cluster: "other"}
	both := changeOf(2, "eve", baseModel("x"))
	both.GetChange().Manifest = &apiv1.Manifest{Cluster: "c"}
	for i, step := range []struct {
		cmd      *apiv1.Command
		outcome  apiv1.ApplyOutcome
		revision uint64
		author   string
	}{
		{changeOf(2, "ann", baseModel("a")), conflict, 0, ""},
		{changeOf(0, "ann", baseModel("a")), conflict, 0, ""},
		{changeOf(1, "ann", baseModel("a b")), invalidChange, 0, ""},
		{changeOf(1, "ann", baseModel("a")), accepted, 1, "ann"},
		{changeOf(1, "ann", baseModel("a")), already, 1, "ann"},
		{changeOf(1, "bob", baseModel("a")), already, 1, "ann"},
		{changeOf(1, "bob", baseModel("b")), conflict, 1, "ann"},
		{changeOf(2, "bob"), invalidChange, 1, ""},
		{wrongCluster, invalidChange, 1, ""},
		{both, invalidChange, 1, ""},
		{changeOf(2, string(make([]byte, 200)), baseModel("b")), invalidChange, 1, ""},
		{changeOf(2, "bob", baseModel("b")), accepted, 2, "bob"},
		{changeOf(1, "ann", baseModel("a")), already, 2, "ann"},
		{changeOf(4, "ann", baseModel("d")), conflict, 2, ""},
	} {
		changed := m.Changed()
		resp := m.Apply(uint64(i+2), step.cmd).(*apiv1.ApplyResponse)
		must.Eq(t, step.outcome, resp.GetOutcome(), must.Sprintf("step %d: %s", i, resp.GetMessage()))
		must.Eq(t, step.revision, resp.GetRevision(), must.Sprint(i))
		must.Eq(t, step.revision, m.Config().Revision, must.Sprint(i))
		must.Eq(t, step.author, resp.GetInForceAuthor(), must.Sprint(i))
		must.Eq(t, step.author != "", len(resp.GetInForceDigest()) == 32)
		must.Eq(t, step.outcome == conflict || step.outcome == invalidChange, resp.GetMessage() != "")
		select {
		case <-changed:
			must.Eq(t, accepted, step.outcome)
		default:
			must.NotEq(t, accepted, step.outcome)
		}
	}
	must.Eq(t, invalidChange, New().Apply(1, changeOf(1, "", baseModel("a"))).(*apiv1.ApplyResponse).GetOutcome())
}

// A whole manifest must be stored as the difference from the configuration in force,
// so that hosts get a delta.
func TestManifestBecomesDelta(t *testing.T) {
	m := initialized()
	m.Apply(2, changeOf(1, "", baseModel("a"), baseModel("b")))
	cmd := &apiv1.Command{Command: &apiv1.Command_Change{Change: &apiv1.ChangeCommand{Number: 2, Manifest: &apiv1.Manifest{
		Cluster: "c", BaseModels: []*apiv1.BaseModel{{Name: "c"}, {Name: "b"}},
	}}}}
	must.Eq(t, accepted, m.Apply(3, cmd).(*apiv1.ApplyResponse).GetOutcome())
	must.Eq(t, already, m.Apply(4, cmd).(*apiv1.ApplyResponse).GetOutcome())
	changes, ok := m.ChangesSince(1)
	must.True(t, ok)
	must.Len(t, 1, changes)
	must.Len(t, 2, changes[0].GetOps())
}

// A resent change must be recognised as long as its number is retained, also after
// its ops were dropped and after a restart, and an older one must not be accepted
// again.
func TestHistoryBounds(t *testing.T) {
	m := initialized()
	const n = MaxRetainedNumbers + 10
	for i := uint64(1); i <= n; i++ {
		m.Apply(i+1, changeOf(i, "ann", baseModel(fmt.Sprint(i%7))))
	}
	restored := New()
	encoded, err := m.Snapshot()
	must.NoError(t, err)
	must.NoError(t, restored.Restore(encoded))
	for _, m := range []*Machine{m, restored} {
		resp := func(i uint64, model string) apiv1.ApplyOutcome {
			return m.Apply(n+2, changeOf(i, "ann", baseModel(model))).(*apiv1.ApplyResponse).GetOutcome()
		}
		must.Eq(t, conflict, resp(10, fmt.Sprint(10%7)))
		must.Eq(t, already, resp(11, fmt.Sprint(11%7)))
		must.Eq(t, conflict, resp(11, "other"))
		must.Eq(t, already, resp(n, fmt.Sprint(n%7)))
		_, ok := m.ChangesSince(n - MaxChanges - 1)
		must.False(t, ok)
		changes, ok := m.ChangesSince(n - MaxChanges)
		must.True(t, ok)
		must.Len(t, MaxChanges, changes)
		_, ok = m.ChangesSince(n + 1)
		must.False(t, ok)
		list := m.History(0, 5)
		must.Len(t, 5, list)
		must.Eq(t, uint64(11), list[0].GetNumber())
		must.SliceEmpty(t, list[0].GetOps())
		must.Len(t, 1, m.History(n, 5))
		must.SliceEmpty(t, m.History(n+1, 5))
	}
}

// A quarantine must end on time, and the table must not exceed its limit.
func TestQuarantines(t *testing.T) {
	m := New()
	put := func(i int, now, until int64) {
		fingerprint := bytes.Repeat([]byte{byte(i), byte(i >> 8)}, 16)
		m.Apply(1, &apiv1.Command{UnixMs: now, Command: &apiv1.Command_PutQuarantine{PutQuarantine: &apiv1.PutQuarantine{
			Fingerprint: fingerprint, UntilUnixMs: until,
		}}})
	}
	for i := range MaxQuarantines + 1 {
		put(i, 0, int64(1000+i))
	}
	must.Len(t, MaxQuarantines, m.Quarantined(0))
	must.Len(t, MaxQuarantines-1, m.Quarantined(1001))
	put(MaxQuarantines, 5, 5)
	must.Len(t, MaxQuarantines-1, m.Quarantined(0), must.Sprint("a quarantine was not lifted"))
	put(1, 1010, 2000)
	must.Len(t, MaxQuarantines-10, m.Quarantined(0))
	m.Apply(1, &apiv1.Command{UnixMs: 1 << 40, Command: &apiv1.Command_ExpireCalls{ExpireCalls: &apiv1.ExpireCalls{}}})
	must.SliceEmpty(t, m.Quarantined(0))
}

// drawCommand draws a random command that is valid often enough to reach each state.
func drawCommand(t *rapid.T, m *Machine, now int64) *apiv1.Command {
	cmd := &apiv1.Command{UnixMs: now}
	id := &apiv1.CallId{Team: rapid.SampledFrom([]string{"t", "u"}).Draw(t, "team"), Route: "r", IdempotencyKey: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "key")}
	host := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host")
	name := rapid.SampledFrom([]string{"a", "b", "c", "!"}).Draw(t, "name")
	bits := byte(rapid.IntRange(0, 2).Draw(t, "bits"))
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0, 1:
		op := drawOp(t, name, bits)
		number := m.Config().Revision + uint64(rapid.IntRange(0, 2).Draw(t, "number"))
		cmd.Command = changeOf(number, host, op).Command
	case 2:
		cmd.Command = &apiv1.Command_Change{Change: &apiv1.ChangeCommand{Number: m.Config().Revision + 1, Manifest: &apiv1.Manifest{
			Cluster: "c", BaseModels: []*apiv1.BaseModel{{Name: name}, {Name: "z"}}, Teams: []*apiv1.Team{team("t1")}, Keys: []*apiv1.Key{key(name, "t1")}}}}
	case 3:
		cmd.Command = &apiv1.Command_BeginCall{BeginCall: &apiv1.BeginCall{
			Id: id, Fingerprint: bytes.Repeat([]byte{bits}, 32), Owner: host, OwnerIncarnation: 1, RequestId: "r"}}
	case 4:
		cmd.Command = &apiv1.Command_FinishCall{FinishCall: &apiv1.FinishCall{
			Id: id, Owner: host, OwnerIncarnation: 1, RequestId: "r", State: apiv1.CallState(bits + 2), Answer: &apiv1.Answer{Status: 200, Body: []byte(name)}}}
	case 5:
		cmd.Command = &apiv1.Command_ExpireCalls{ExpireCalls: &apiv1.ExpireCalls{BeforeUnixMs: now}}
	case 6:
		cmd.Command = &apiv1.Command_PutQuarantine{PutQuarantine: &apiv1.PutQuarantine{
			Fingerprint: bytes.Repeat([]byte{bits}, 32), UntilUnixMs: now + int64(bits)*1000}}
	}
	return cmd
}

func team(name string) *apiv1.Team {
	return &apiv1.Team{Name: name, Rate: &apiv1.Rate{TokensPerSecond: 1, BurstTokens: 1}}
}

func key(id, team string) *apiv1.Key {
	return &apiv1.Key{Id: id, Team: team, Sha256: manifest.HashKey(id)}
}

// drawOp draws a put or delete of a base model, a team or a key.
func drawOp(t *rapid.T, name string, bits byte) *apiv1.Op {
	teamName := fmt.Sprint("t", bits)
	switch rapid.IntRange(0, 5).Draw(t, "op") {
	case 0:
		return &apiv1.Op{Op: &apiv1.Op_DeleteBaseModel{DeleteBaseModel: name}}
	case 1:
		return &apiv1.Op{Op: &apiv1.Op_PutTeam{PutTeam: team(teamName)}}
	case 2:
		return &apiv1.Op{Op: &apiv1.Op_DeleteTeam{DeleteTeam: teamName}}
	case 3:
		return &apiv1.Op{Op: &apiv1.Op_PutKey{PutKey: key(name, teamName)}}
	case 4:
		return &apiv1.Op{Op: &apiv1.Op_DeleteKey{DeleteKey: name}}
	}
	return baseModel(name)
}

// A replica that starts from a snapshot must have the state of the replica that
// made it, and return the same results for all later commands.
func TestRestoreEqualsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := initialized(), New()
		snapshotAt := rapid.IntRange(0, 60).Draw(t, "snapshotAt")
		now := int64(0)
		for i := range 80 {
			if i == snapshotAt {
				encoded, err := a.Snapshot()
				must.NoError(t, err)
				must.NoError(t, b.Restore(encoded))
			}
			now += int64(rapid.IntRange(-1000, 20_000_000).Draw(t, "step"))
			cmd := drawCommand(t, a, now)
			result := a.Apply(uint64(i+2), cmd)
			if i >= snapshotAt {
				again := b.Apply(uint64(i+2), proto.Clone(cmd).(*apiv1.Command))
				if result != nil {
					must.True(t, proto.Equal(result.(proto.Message), again.(proto.Message)))
				}
			}
		}
		mustBeEqual(t, a, b)
		must.True(t, indexMatchesRebuilt(a))
	})
}

// indexMatchesRebuilt reports whether the index updated by the changes accepts and
// refuses the same deletions of teams as a rebuilt one.
func indexMatchesRebuilt(m *Machine) bool {
	fresh := manifest.NewIndex(m.Config())
	for _, team := range m.Config().Teams() {
		ops := []*apiv1.Op{{Op: &apiv1.Op_DeleteTeam{DeleteTeam: team.GetName()}}}
		if fmt.Sprint(fresh.Check(m.Config(), ops)) != fmt.Sprint(m.index.Check(m.Config(), ops)) {
			return false
		}
	}
	return true
}

func mustBeEqual(t must.T, a, b *Machine) {
	t.Helper()
	x, err := a.Snapshot()
	must.NoError(t, err)
	y, err := b.Snapshot()
	must.NoError(t, err)
	must.True(t, bytes.Equal(x, y), must.Sprint("the snapshots differ"))
	must.Eq(t, a.Config().Digest(), b.Config().Digest())
	must.Eq(t, a.CallCount(), b.CallCount())
}

// A damaged or newer snapshot must be refused and must not alter the state.
func TestRestoreRefuses(t *testing.T) {
	good := initialized()
	good.Apply(2, changeOf(1, "ann", baseModel("a")))
	good.Apply(3, changeOf(2, "ann", baseModel("b")))
	encoded, err := good.Snapshot()
	must.NoError(t, err)
	for name, c := range map[string]struct {
		change func(*apiv1.StateSnapshot)
		want   fault.Kind
	}{
		"newer":      {func(s *apiv1.StateSnapshot) { s.Format = snapshotFormat + 1 }, fault.KindStorageVersion},
		"empty":      {func(s *apiv1.StateSnapshot) { proto.Reset(s) }, fault.KindStorageDamaged},
		"content":    {func(s *apiv1.StateSnapshot) { s.Config.BaseModels[0].Name = "x" }, fault.KindStorageDamaged},
		"gap":        {func(s *apiv1.StateSnapshot) { s.Changes[0].Number = 9 }, fault.KindStorageDamaged},
		"revision":   {func(s *apiv1.StateSnapshot) { s.Revision = 3 }, fault.KindStorageDamaged},
		"call":       {func(s *apiv1.StateSnapshot) { s.Calls = []*apiv1.CallRecord{{}} }, fault.KindStorageDamaged},
		"quarantine": {func(s *apiv1.StateSnapshot) { s.Quarantines = []*apiv1.PutQuarantine{{}} }, fault.KindStorageDamaged},
	} {
		s := &apiv1.StateSnapshot{}
		must.NoError(t, proto.Unmarshal(encoded, s))
		c.change(s)
		damagedData, err := proto.Marshal(s)
		must.NoError(t, err)
		m := New()
		must.NoError(t, m.Restore(encoded))
		must.Eq(t, c.want, fault.KindOf(m.Restore(damagedData)), must.Sprint(name))
		mustBeEqual(t, good, m)
	}
	must.Eq(t, fault.KindStorageDamaged, fault.KindOf(New().Restore([]byte{0xff})))
}

func FuzzRestore(f *testing.F) {
	m := initialized()
	m.Apply(2, changeOf(1, "ann", baseModel("a")))
	m.Apply(3, &apiv1.Command{Command: &apiv1.Command_BeginCall{BeginCall: &apiv1.BeginCall{
		Id: &apiv1.CallId{Team: "t", Route: "r", IdempotencyKey: "k"}, Fingerprint: make([]byte, 32), Owner: "h", RequestId: "r"}}})
	must.Eq(f, 1, m.CallCount())
	encoded, err := m.Snapshot()
	must.NoError(f, err)
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := New()
		if err := m.Restore(data); err != nil {
			_, ok := fault.As(err)
			must.True(t, ok)
			return
		}
		again := New()
		x, err := m.Snapshot()
		must.NoError(t, err)
		must.NoError(t, again.Restore(x))
		mustBeEqual(t, m, again)
	})
}

func FuzzCommand(f *testing.F) {
	for _, cmd := range []*apiv1.Command{
		changeOf(2, "ann", baseModel("b")),
		{Command: &apiv1.Command_Change{Change: &apiv1.ChangeCommand{Number: 2, Manifest: &apiv1.Manifest{Cluster: "c", Teams: []*apiv1.Team{{}}}}}},
		{Command: &apiv1.Command_FinishCall{FinishCall: &apiv1.FinishCall{}}},
		{Command: &apiv1.Command_PutQuarantine{PutQuarantine: &apiv1.PutQuarantine{Fingerprint: make([]byte, 32), UntilUnixMs: 9}}},
		{UnixMs: -1, Command: &apiv1.Command_ExpireCalls{ExpireCalls: &apiv1.ExpireCalls{BeforeUnixMs: 1}}},
	} {
		encoded, err := proto.Marshal(cmd)
		must.NoError(f, err)
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cmd := &apiv1.Command{}
		if proto.Unmarshal(data, cmd) != nil {
			return
		}
		m := initialized()
		m.Apply(2, changeOf(1, "ann", baseModel("a")))
		m.Apply(3, cmd)
		encoded, err := m.Snapshot()
		must.NoError(t, err)
		again := New()
		must.NoError(t, again.Restore(encoded))
		mustBeEqual(t, m, again)
		must.LessEq(t, calls.MaxRecords, m.CallCount())
	})
}
