package control

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/state"
	"gentiankeel/internal/wire"
)

// stateMachine applies log entries to the replicated state and notifies watchers of
// changes. It implements replica.StateMachine.
type stateMachine struct {
	state *state.Machine
	// onViolation is called when the state violates an invariant after a command.
	onViolation func(error)
	// onApply is called with each command and its result, on the apply goroutine.
	onApply func(*wire.Command, *wire.Result)

	notifiedIndex uint64 // index of the last notification; only the apply goroutine uses it

	mu      sync.Mutex
	changed chan struct{} // closed and replaced after each change
}

func newStateMachine(st *state.Machine) *stateMachine {
	return &stateMachine{
		state:       st,
		onViolation: func(error) {},
		onApply:     func(*wire.Command, *wire.Result) {},
		changed:     make(chan struct{}),
	}
}

// Apply implements replica.StateMachine. Data that can't be decoded gets the result
// RESULT_INVALID: failing on it would stop every replica in turn.
func (m *stateMachine) Apply(index uint64, data []byte) []byte {
	res := &wire.Result{Code: wire.ResultCode_RESULT_INVALID, Detail: "not a command", Index: index}
	if cmd, err := decodeCommand(data); err == nil {
		res = m.state.Apply(index, cmd)
		m.onApply(cmd, res)
		m.checkInvariants(index)
	}
	m.notifyIfChanged(index)
	out, err := proto.Marshal(res)
	if err != nil {
		return nil
	}
	return out
}

// recordsSoftware is the flag, in the term data, of builds whose coordinators record the versions of software.
const recordsSoftware = 1 << 0

// TermData implements replica.TermStarter.
func (m *stateMachine) TermData() []byte { return []byte{recordsSoftware} }

// StartTerm implements replica.TermStarter.
func (m *stateMachine) StartTerm(index uint64, data []byte) {
	if len(data) == 0 || data[0]&recordsSoftware == 0 {
		m.state.ForgetSoftware(index)
	}
}

// notifyIfChanged notifies the watchers if a command changed what they follow. Most
// commands, those of the ledger and of orders, don't; waking every watcher for each of
// them would cost the command rate times the number of watchers.
func (m *stateMachine) notifyIfChanged(index uint64) {
	d := watchedDelta(m.state, m.notifiedIndex)
	if d == nil || !hasChanges(d) {
		return
	}
	m.notifiedIndex = index
	m.notify()
}

// checkInvariants checks the state's invariants over what the last command changed.
func (m *stateMachine) checkInvariants(index uint64) {
	if err := m.state.Check(); err != nil {
		m.onViolation(errors.Wrapf(err, "state at index %d", index))
	}
}

// Snapshot implements replica.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) { return m.state.Snapshot() }

// Restore implements replica.StateMachine.
func (m *stateMachine) Restore(index uint64, snapshot []byte) error {
	err := m.state.Restore(index, snapshot)
	m.notifiedIndex = index
	m.notify()
	return err
}

// nextChange returns a channel that is closed on the next change.
func (m *stateMachine) nextChange() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// notify wakes all watchers.
func (m *stateMachine) notify() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}
