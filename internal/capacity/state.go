package capacity

import (
	"fmt"

	apiv1 "github.com/jasminesaddle/jasminesaddle/internal/api/v1"
	"github.com/jasminesaddle/jasminesaddle/internal/state"
)

// measureState measures the replicated state machine by adapters and call
// records.
func (b *bench) measureState() error {
	adapters, records := b.sizes(28_000), b.sizes(20_000)
	b.sweep("state.apply", "apply a committed change of one adapter", "adapters", "s", adapters, func(n int) float64 {
		m := newMachine(manifest(n, 0, 4, 1))
		return b.cpuPerOp(20, func(int) { applyNext(m, n) })
	})
	b.sweep("state.memory", "state machine, live heap", "adapters", "bytes", adapters, func(n int) float64 {
		return heapBytes(func() any { return newMachine(manifest(n, 0, 4, 1)) })
	})
	b.sweep("state.snapshot", "encode the state", "adapters", "s", adapters, func(n int) float64 {
		m := newMachine(manifest(n, 0, 4, 1))
		return b.cpuPerOp(2, func(int) { encodeState(m) })
	})
	b.sweep("state.snapshot.bytes", "encoded state", "adapters", "bytes", adapters, func(n int) float64 {
		return float64(len(encodeState(newMachine(manifest(n, 0, 4, 1)))))
	})
	b.sweep("state.restore", "restore the state", "adapters", "s", adapters, func(n int) float64 {
		data := encodeState(newMachine(manifest(n, 0, 4, 1)))
		return b.cpuPerOp(1, func(int) { _ = state.New().Restore(data) })
	})
	b.sweep("calls.memory", "call records without answers, live heap", "records", "bytes", records, func(n int) float64 {
		m := newMachine(manifest(0, 0, 4, 1))
		return heapBytes(func() any { recordCalls(m, 0, n); return m })
	})
	b.sweep("calls.snapshot.bytes", "encoded call records", "records", "bytes", records, func(n int) float64 {
		m := newMachine(manifest(0, 0, 4, 1))
		recordCalls(m, 0, n)
		return float64(len(encodeState(m)))
	})
	b.sweep("calls.snapshot", "encode call records", "records", "s", records, func(n int) float64 {
		m := newMachine(manifest(0, 0, 4, 1))
		recordCalls(m, 0, n)
		return b.cpuPerOp(1, func(int) { encodeState(m) })
	})
	b.sweep("calls.apply", "apply Begin and Finish of calls", "calls", "s", records, func(n int) float64 {
		return b.cpuPerOp(1, func(int) { recordCalls(newMachine(manifest(0, 0, 4, 1)), 0, n) })
	})
	return nil
}

// applyNext applies the next numbered change, which puts one adapter.
func applyNext(m *state.Machine, adapters int) {
	number := m.Config().Revision + 1
	mustAccept(m.Apply(number+1, changeCommand(number, adapters, 4)))
}

func encodeState(m *state.Machine) []byte {
	data, err := m.Snapshot()
	if err != nil {
		panic(err)
	}
	return data
}

// recordCalls records n finished calls, spread over four teams because the number
// of call records per team is limited.
func recordCalls(m *state.Machine, from, n int) {
	for i := from; i < from+n; i++ {
		begin, finish := callCommands(i)
		m.Apply(uint64(2*i+3), begin)
		m.Apply(uint64(2*i+4), finish)
	}
}

func callCommands(i int) (begin, finish *apiv1.Command) {
	id := &apiv1.CallId{Team: teamName(i % 4), Route: "payments", IdempotencyKey: fmt.Sprintf("5f0c9d2e-%08d", i)}
	begin = &apiv1.Command{UnixMs: 1_800_000_000_000, Command: &apiv1.Command_BeginCall{BeginCall: &apiv1.BeginCall{
		Id: id, Fingerprint: make([]byte, 32), Owner: hostName(1), OwnerIncarnation: 1, RequestId: fmt.Sprint("entry-0001-", i),
	}}}
	finish = &apiv1.Command{UnixMs: 1_800_000_000_000, Command: &apiv1.Command_FinishCall{FinishCall: &apiv1.FinishCall{
		Id: id, Owner: hostName(1), OwnerIncarnation: 1, RequestId: fmt.Sprint("entry-0001-", i),
		State: apiv1.CallState_CALL_STATE_FINISHED, Answer: &apiv1.Answer{Status: 200, Body: make([]byte, 256)},
	}}}
	return begin, finish
}
