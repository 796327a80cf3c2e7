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
	machine *state.Machine
	fence   uint64
	spec    *wire.Spec
	index   uint64
}

// newFakeLog returns a log whose applied file has models m0, m1, ..., each with the adapter
// x.
func newFakeLog(models int, replicas, memoryMiB uint64) *fakeLog {
	var b strings.Builder
	fmt.Fprintf(&b, "name = \"test\"\nversion = 1\n")
	for i := range models {
		fmt.Fprintf(&b, "[[models]]\nname = \"m%d\"\nversion = \"1\"\nreplicas = %d\nmemory_mib = %d\nidle_after = \"1s\"\n", i, replicas, memoryMiB)
		fmt.Fprintf(&b, "[[adapters]]\nname = \"x\"\nmodel = \"m%d\"\nversion = \"1\"\nmemory_mib = 5\n", i)
	}
	file := []byte(b.String())
	l := &fakeLog{machine: state.New(state.Options{})}
	r := l.apply(&wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{
		File: file, Version: 1, Digest: spec.Digest(file), Who: "test",
	}}})
	if r.File.GetOutcome() != wire.ApplyOutcome_APPLY_ACCEPTED {
		panic(r.String())
	}
	l.spec = l.machine.Spec()
	return l
}

func (l *fakeLog) apply(cmd *wire.Command) *wire.Result {
	l.index++
	return l.machine.Apply(l.index, cmd)
}

// nextHolder ends the scheduler's lease, grants it to a new holder and returns its fencing
// number.
func (l *fakeLog) nextHolder() uint64 {
	l.apply(&wire.Command{Op: &wire.Command_EndLease{EndLease: &wire.EndLease{Name: testLease, Fence: l.fence}}})
	r := l.apply(&wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{
		Name: testLease, Holder: fmt.Sprintf("holder-%d", l.index),
	}}})
	l.fence = r.Lease.GetFence()
	return l.fence
}

func (l *fakeLog) read() LogRead {
	r := l.machine.Placements(testCell)
	return LogRead{Index: r.Index, Placements: r.Placements, OpenOrders: r.OpenOrders, Upstreams: r.Upstreams, Spec: r.Spec}
}

// hasOrder reports whether the log has a placement with the load order.
func (l *fakeLog) hasOrder(orderID string) bool {
	for _, p := range l.machine.Placements(testCell).Placements {
		if p.Order.Id == orderID {
			return true
		}
	}
	return false
}

// hasModel reports whether the log has a placement of the model.
func (l *fakeLog) hasModel(model string) bool {
	for _, p := range l.machine.Placements(testCell).Placements {
		if p.Order.Model == model {
			return true
		}
	}
	return false
}

func allowedReplicas(s *wire.Spec, model string) int {
	return int(spec.FindModel(s, model).GetReplicas())
}
