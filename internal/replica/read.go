package replica

import (
	"context"
	"time"

	"gentiankeel/internal/raft"
)

// barrier is a pending call of ReadBarrier.
type barrier struct {
	done chan error
}

// readGroup is a set of barriers that share one ReadIndex call.
type readGroup struct {
	id       uint64
	deadline time.Duration
	index    uint64 // 0: not yet confirmed
	barriers []*barrier
}

// readGroups batches barriers. At most one group awaits its read index; barriers that
// arrive meanwhile form the next group, since a read must not use a heartbeat round that
// started before it.
type readGroups struct {
	lastID    uint64
	inFlight  *readGroup
	waiting   []*barrier
	confirmed []*readGroup
}

// readElectionTimeouts is the deadline of a read group in election timeouts.
const readElectionTimeouts = 2

// ReadBarrier implements Log. A follower requests the index to wait for from the leader.
func (n *Node) ReadBarrier(ctx context.Context) error {
	b := &barrier{done: make(chan error, 1)}
	select {
	case n.barriers <- b:
	case <-ctx.Done():
		return ErrNotLeader
	case <-n.done:
		return ErrStopped
	}
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		return ErrNotLeader
	case <-n.done:
		return ErrStopped
	}
}

func (n *Node) addBarrier(b *barrier) error {
	n.reads.waiting = append(n.reads.waiting, b)
	for range proposalsLen {
		select {
		case b = <-n.barriers:
			n.reads.waiting = append(n.reads.waiting, b)
			continue
		default:
		}
		break
	}
	return n.startReadGroup()
}

// startReadGroup starts the next group unless one awaits its read index.
func (n *Node) startReadGroup() error {
	r := &n.reads
	if r.inFlight != nil || len(r.waiting) == 0 {
		return nil
	}
	r.lastID++
	r.inFlight = &readGroup{
		id:       r.lastID,
		deadline: n.now() + readElectionTimeouts*n.opts.ElectionTimeout,
		barriers: r.waiting,
	}
	r.waiting = nil
	return n.core.ReadIndex(n.now(), r.inFlight.id)
}

func (n *Node) onReadStates(states []raft.ReadState) error {
	for _, s := range states {
		g := n.reads.inFlight
		if g == nil || g.id != s.ID {
			continue
		}
		n.reads.inFlight = nil
		if s.Err != nil {
			g.finish(ErrNotLeader)
		} else {
			g.index = s.Index
			n.reads.confirmed = append(n.reads.confirmed, g)
		}
	}
	n.reads.completeApplied(n.appliedIndex)
	return n.startReadGroup()
}

func (g *readGroup) finish(err error) {
	for _, b := range g.barriers {
		b.done <- err
	}
	g.barriers = nil
}

// completeApplied completes the confirmed groups whose index is applied.
func (r *readGroups) completeApplied(applied uint64) {
	rest := r.confirmed[:0]
	for _, g := range r.confirmed {
		if g.index <= applied {
			g.finish(nil)
			continue
		}
		rest = append(rest, g)
	}
	r.confirmed = rest
}

// expire fails the groups whose deadline has passed, since the leader's answer may have
// been lost.
func (r *readGroups) expire(now time.Duration) {
	if r.inFlight != nil && now >= r.inFlight.deadline {
		r.inFlight.finish(ErrNotLeader)
		r.inFlight = nil
	}
	rest := r.confirmed[:0]
	for _, g := range r.confirmed {
		if now >= g.deadline {
			g.finish(ErrNotLeader)
			continue
		}
		rest = append(rest, g)
	}
	r.confirmed = rest
}

func (r *readGroups) failAll(err error) {
	if r.inFlight != nil {
		r.inFlight.finish(err)
		r.inFlight = nil
	}
	for _, g := range r.confirmed {
		g.finish(err)
	}
	r.confirmed = nil
	for _, b := range r.waiting {
		b.done <- err
	}
	r.waiting = nil
}
