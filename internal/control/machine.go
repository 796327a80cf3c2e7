package control

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/state"
	"gentiankeel/internal/wire"
)

// machine drives the replicated state from the log and wakes the watchers after each
// change. It implements replica.StateMachine.
type machine struct {
	state *state.Machine
	// onBroken is told when a command left the state with a broken invariant.
	onBroken func(error)
	// onApply sees each command with its result, on the apply goroutine.
	onApply func(*wire.Command, *wire.Result)

	told uint64 // index up to which watchers were woken; used by the apply goroutine

	mu      sync.Mutex
	changed chan struct{} // closed and replaced after each change
}

func newMachine(st *state.Machine) *machine {
	return &machine{
		state:    st,
		onBroken: func(error) {},
		onApply:  func(*wire.Command, *wire.Result) {},
		changed:  make(chan struct{}),
	}
}

// Apply implements replica.StateMachine. Data that is no command is answered as
// invalid: it must not stop the replicas one after the other.
func (m *machine) Apply(index uint64, data []byte) []byte {
	res := &wire.Result{Code: wire.ResultCode_RESULT_INVALID, Detail: "not a command", Index: index}
	if cmd, err := decodeCommand(data); err == nil {
		res = m.state.Apply(index, cmd)
		m.onApply(cmd, res)
		m.check(index)
	}
	m.wakeIfWatched(index)
	out, err := proto.Marshal(res)
	if err != nil {
		return nil
	}
	return out
}

// wakeIfWatched wakes the watchers when the command changed what they follow. Most
// commands, of the ledger and of orders, do not; waking every watcher for each would
// cost the product of both rates.
func (m *machine) wakeIfWatched(index uint64) {
	d := watchedDelta(m.state, m.told)
	if d == nil || !worthSending(d) {
		return
	}
	m.told = index
	m.wake()
}

// check asserts the state's invariants over what the command changed.
func (m *machine) check(index uint64) {
	if err := m.state.Check(); err != nil {
		m.onBroken(errors.Wrapf(err, "state at index %d", index))
	}
}

// Snapshot implements replica.StateMachine.
func (m *machine) Snapshot() ([]byte, error) { return m.state.Snapshot() }

// Restore implements replica.StateMachine.
func (m *machine) Restore(index uint64, snapshot []byte) error {
	err := m.state.Restore(index, snapshot)
	m.told = index
	m.wake()
	return err
}

// wait returns a channel that is closed at the next change.
func (m *machine) wait() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *machine) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}
