package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

// outcome is the result of a proposal.
type outcome struct {
	answer []byte
	index  uint64
	err    error
}

// waiter is a proposer whose entry has been appended to the log in the given term.
type waiter struct {
	term    uint64
	started time.Time
	node    *Node
	done    chan outcome
}

// finish sends the outcome of the entry e that was committed at the waiter's index. If
// e is of another term, it replaced the proposed entry.
func (w *waiter) finish(e *wire.LogEntry, answer []byte) {
	if e.Term != w.term {
		w.done <- outcome{err: ErrUnknownOutcome}
		return
	}
	w.node.metrics.commit.Observe(time.Since(w.started).Seconds())
	w.done <- outcome{answer: answer, index: e.Index}
}

const (
	proposalQueued int32 = iota
	proposalAccepted
	proposalAbandoned
)

// proposal is queued for appending to the log. Its state decides the race between the
// loop, which accepts it, and its proposer, which abandons it at the deadline: the first
// change wins.
type proposal struct {
	data    []byte
	started time.Time
	state   atomic.Int32
	done    chan outcome
}

// MaxProposalBytes is the maximum size of a proposal, since an entry must fit into one
// message.
const MaxProposalBytes = 8 << 20

// Propose implements Log. It also returns ErrTooLarge if data exceeds MaxProposalBytes.
func (n *Node) Propose(ctx context.Context, data []byte) (answer []byte, index uint64, err error) {
	if len(data) > MaxProposalBytes {
		return nil, 0, ErrTooLarge
	}
	p := &proposal{data: data, started: time.Now(), done: make(chan outcome, 1)}
	n.metrics.proposals.Inc()
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, 0, errors.Wrap(ErrNotLeader, "no room before the deadline")
	case <-n.done:
		return nil, 0, ErrStopped
	}
	select {
	case out := <-p.done:
		return out.answer, out.index, out.err
	case <-ctx.Done():
		return n.abandon(p, errors.Wrap(ErrNotLeader, "not taken in before the deadline"))
	case <-n.done:
		return n.abandon(p, ErrStopped)
	}
}

// abandon stops waiting for a proposal. It returns notProposed if the proposal was not
// appended and never will be, otherwise the outcome if known, or ErrUnknownOutcome.
func (n *Node) abandon(p *proposal, notProposed error) ([]byte, uint64, error) {
	if p.state.CompareAndSwap(proposalQueued, proposalAbandoned) {
		return nil, 0, notProposed
	}
	select {
	case out := <-p.done:
		return out.answer, out.index, out.err
	default:
		return nil, 0, ErrUnknownOutcome
	}
}

// propose appends the queued proposals as one batch, which shares a sync and a round trip.
func (n *Node) propose(first *proposal) error {
	var batch []*proposal
	var data [][]byte
	size := 0
	for p := first; p != nil; p = n.nextProposal(len(batch), size) {
		if p.state.CompareAndSwap(proposalQueued, proposalAccepted) {
			batch = append(batch, p)
			data = append(data, p.data)
			size += len(p.data)
		}
	}
	if len(batch) == 0 {
		return nil
	}
	index, term, err := n.core.Propose(n.now(), data)
	if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrTransferring) {
		for _, p := range batch {
			p.done <- outcome{err: ErrNotLeader}
		}
		return nil
	}
	if err != nil {
		for _, p := range batch {
			p.done <- outcome{err: ErrUnknownOutcome}
		}
		return err
	}
	n.metrics.batch.Observe(float64(len(batch)))
	for i, p := range batch {
		n.waiters[index+uint64(i)] = &waiter{term: term, started: p.started, node: n, done: p.done}
	}
	return nil
}

func (n *Node) nextProposal(count, size int) *proposal {
	if count >= maxBatchProposals || size >= maxBatchBytes {
		return nil
	}
	select {
	case p := <-n.proposals:
		return p
	default:
		return nil
	}
}

func (n *Node) failWaiters(err error) {
	for _, w := range n.waiters {
		w.done <- outcome{err: err}
	}
	clear(n.waiters)
}

// runInLoop runs fn in the loop and waits for its end. It returns ErrStopped after a stop,
// or ErrNotLeader if the deadline passed before fn started.
func (n *Node) runInLoop(ctx context.Context, fn func()) error {
	var state atomic.Int32
	ran := make(chan struct{})
	cmd := func() {
		if state.CompareAndSwap(proposalQueued, proposalAccepted) {
			fn()
		}
		close(ran)
	}
	select {
	case n.commands <- cmd:
	case <-ctx.Done():
		return errors.Wrap(ErrNotLeader, "no room before the deadline")
	case <-n.done:
		return ErrStopped
	}
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		err := errors.Wrap(ErrNotLeader, "not taken in before the deadline")
		return abandonCommand(&state, ran, err)
	case <-n.done:
		return abandonCommand(&state, ran, ErrStopped)
	}
}

// abandonCommand cancels a command and returns notRunErr. If the loop has started the
// command, it waits for its end instead.
func abandonCommand(state *atomic.Int32, ran <-chan struct{}, notRunErr error) error {
	if state.CompareAndSwap(proposalQueued, proposalAbandoned) {
		return notRunErr
	}
	<-ran
	return nil
}

// ChangeMembership implements Log. It also returns raft.ErrConfChangePending,
// raft.ErrConfInvalid and raft.ErrLearnerBehind, on which nothing was proposed.
func (n *Node) ChangeMembership(ctx context.Context, cc *wire.ConfChange) error {
	done := make(chan outcome, 1)
	var rejected error
	err := n.runInLoop(ctx, func() {
		var index, term uint64
		index, term, rejected = n.core.ProposeConfChange(n.now(), cc)
		if rejected == nil {
			n.waiters[index] = &waiter{term: term, started: time.Now(), node: n, done: done}
		}
	})
	switch {
	case err != nil:
		return err
	case errors.Is(rejected, raft.ErrNotLeader), errors.Is(rejected, raft.ErrTransferring):
		return ErrNotLeader
	case rejected != nil:
		return rejected
	}
	select {
	case out := <-done:
		return out.err
	case <-ctx.Done():
		return ErrUnknownOutcome
	case <-n.done:
		return ErrUnknownOutcome
	}
}

// TransferLeadership implements Log. Errors: ErrStopped, ErrNotLeader if ctx ended before the
// start, and those of raft.Core.Transfer, such as raft.ErrNotLeader.
func (n *Node) TransferLeadership(ctx context.Context, to uint64) error {
	var rejected error
	if err := n.runInLoop(ctx, func() { rejected = n.core.Transfer(n.now(), to) }); err != nil {
		return err
	}
	return rejected
}

// LeaveRemoved implements Log.
func (n *Node) LeaveRemoved(ctx context.Context) error {
	return n.runInLoop(ctx, func() { n.core.LeaveRemoved() })
}
