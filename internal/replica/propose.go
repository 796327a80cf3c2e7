package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/wire"
)

// outcome answers a proposer.
type outcome struct {
	answer []byte
	index  uint64
	err    error
}

// waiter is a proposer whose entry is in the log.
type waiter struct {
	term  uint64
	begin time.Time
	node  *Node
	done  chan outcome
}

// finish answers with the entry that was committed at the waiter's index.
func (w *waiter) finish(e *wire.LogEntry, answer []byte) {
	if e.Term != w.term {
		w.done <- outcome{err: ErrUnknownOutcome}
		return
	}
	w.node.metrics.commit.Observe(time.Since(w.begin).Seconds())
	w.done <- outcome{answer: answer, index: e.Index}
}

const (
	proposalWaiting int32 = iota
	proposalTaken
	proposalGivenUp
)

// proposal waits in the queue before the log. Whoever changes its state first, the loop
// or the caller, decides whether it may enter the log.
type proposal struct {
	data  []byte
	begin time.Time
	state atomic.Int32
	done  chan outcome
}

// MaxProposalBytes bounds one proposal: an entry must fit into one message.
const MaxProposalBytes = 8 << 20

// Propose implements Log; it also returns ErrTooLarge.
func (n *Node) Propose(ctx context.Context, data []byte) (answer []byte, index uint64, err error) {
	if len(data) > MaxProposalBytes {
		return nil, 0, ErrTooLarge
	}
	p := &proposal{data: data, begin: time.Now(), done: make(chan outcome, 1)}
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
		return n.giveUp(p, errors.Wrap(ErrNotLeader, "not taken in before the deadline"))
	case <-n.done:
		return n.giveUp(p, ErrStopped)
	}
}

// giveUp ends the wait for a proposal; notRun is the error where it never entered the
// log.
func (n *Node) giveUp(p *proposal, notRun error) ([]byte, uint64, error) {
	if p.state.CompareAndSwap(proposalWaiting, proposalGivenUp) {
		return nil, 0, notRun
	}
	select {
	case out := <-p.done:
		return out.answer, out.index, out.err
	default:
		return nil, 0, ErrUnknownOutcome
	}
}

// propose appends the waiting proposals together: they share a sync and a round trip.
func (n *Node) propose(first *proposal) error {
	var batch []*proposal
	var data [][]byte
	size := 0
	for p := first; p != nil; p = n.nextProposal(len(batch), size) {
		if p.state.CompareAndSwap(proposalWaiting, proposalTaken) {
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
		n.waiters[index+uint64(i)] = &waiter{term: term, begin: p.begin, node: n, done: p.done}
	}
	return nil
}

func (n *Node) nextProposal(count, size int) *proposal {
	if count >= maxBatch || size >= maxBatchBytes {
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

// do runs fn in the loop and waits for it. Errors: ErrStopped, or ErrNotLeader where
// the deadline passed before fn ran.
func (n *Node) do(ctx context.Context, fn func()) error {
	var state atomic.Int32
	ran := make(chan struct{})
	cmd := func() {
		if state.CompareAndSwap(proposalWaiting, proposalTaken) {
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
		return awaitTaken(&state, ran, err)
	case <-n.done:
		return awaitTaken(&state, ran, ErrStopped)
	}
}

// awaitTaken gives a command up with notRun unless the loop has begun it.
func awaitTaken(state *atomic.Int32, ran <-chan struct{}, notRun error) error {
	if state.CompareAndSwap(proposalWaiting, proposalGivenUp) {
		return notRun
	}
	<-ran
	return nil
}

// ChangeMembership implements Log. Besides the errors of a Log it returns
// raft.ErrConfOpen, raft.ErrConfInvalid and raft.ErrLearnerBehind; nothing was proposed
// then.
func (n *Node) ChangeMembership(ctx context.Context, cc *wire.ConfChange) error {
	done := make(chan outcome, 1)
	var refused error
	err := n.do(ctx, func() {
		var index, term uint64
		index, term, refused = n.core.ProposeConfChange(n.now(), cc)
		if refused == nil {
			n.waiters[index] = &waiter{term: term, begin: time.Now(), node: n, done: done}
		}
	})
	switch {
	case err != nil:
		return err
	case errors.Is(refused, raft.ErrNotLeader), errors.Is(refused, raft.ErrTransferring):
		return ErrNotLeader
	case refused != nil:
		return refused
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

// TransferLeadership asks a voter to take over, the most advanced one where to is 0. It
// returns once the transfer has begun.
func (n *Node) TransferLeadership(ctx context.Context, to uint64) error {
	var refused error
	if err := n.do(ctx, func() { refused = n.core.Transfer(n.now(), to) }); err != nil {
		return err
	}
	return refused
}
