package orders

import (
	"fmt"
	"strings"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/state"
	"gentiankeel/internal/wire"
)

// fakeLog is the replicated state machine without replication.
type fakeLog struct {
	m     *state.Machine
	fence uint64
	spec  *wire.Spec
	index uint64
}

// newFakeLog returns a log whose applied file names models, each with one adapter.
func newFakeLog(models int, replicas, mem uint64) *fakeLog {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"test\"\nversion = 1\n")
	for i := range models {
		fmt.Fprintf(&b, "[[models]]\nname = \"m%d\"\nversion = \"1\"\nreplicas = %d\nmemory_mib = %d\nidle_after = \"1s\"\n", i, replicas, mem)
		fmt.Fprintf(&b, "[[adapters]]\nname = \"x\"\nmodel = \"m%d\"\nversion = \"1\"\nmemory_mib = 5\n", i)
	}
	file := []byte(b.String())
	l := &fakeLog{m: state.New(state.Options{})}
	r := l.apply(&wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{
		File: file, Version: 1, Digest: spec.Digest(file), Who: "test",
	}}})
	if r.File.GetOutcome() != wire.ApplyOutcome_APPLY_ACCEPTED {
		panic(r.String())
	}
	l.spec = l.m.Spec()
	return l
}

func (l *fakeLog) apply(cmd *wire.Command) *wire.Result {
	l.index++
	return l.m.Apply(l.index, cmd)
}

// nextHolder gives the scheduler's lease to a new holder.
func (l *fakeLog) nextHolder() uint64 {
	l.apply(&wire.Command{Op: &wire.Command_EndLease{EndLease: &wire.EndLease{Name: testLease, Fence: l.fence}}})
	r := l.apply(&wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{
		Name: testLease, Holder: fmt.Sprintf("holder-%d", l.index),
	}}})
	l.fence = r.Lease.GetFence()
	return l.fence
}

func (l *fakeLog) read() Recovered {
	r := l.m.Placements(testCell)
	return Recovered{Index: r.Index, Placements: r.Placements, OpenOrders: r.OpenOrders, Upstreams: r.Upstreams, Spec: r.Spec}
}

// holds tells whether the log has a decision for something that an upstream holds.
func (l *fakeLog) holds(orderID string) bool {
	for _, p := range l.m.Placements(testCell).Placements {
		if p.Order.Id == orderID {
			return true
		}
	}
	return false
}

func (l *fakeLog) names(model string) bool {
	for _, p := range l.m.Placements(testCell).Placements {
		if p.Order.Model == model {
			return true
		}
	}
	return false
}

func replicasOf(s *wire.Spec, model string) int {
	return int(spec.FindModel(s, model).GetReplicas())
}
