package replica

import (
	"context"
	"time"

	"gentiankeel/internal/raft"
)

// barrier is one caller of ReadBarrier.
type barrier struct {
	done chan error
}

// readGroup is a set of barriers that share one ReadIndex.
type readGroup struct {
	id       uint64
	deadline time.Duration
	index    uint64 // 0: not yet confirmed
	barriers []*barrier
}

// readGroups holds at most one group that awaits its confirmation; barriers that come
// meanwhile form the next one, since a read must not use a round that began before it.
type readGroups struct {
	lastID    uint64
	open      *readGroup
	waiting   []*barrier
	confirmed []*readGroup
}

const electionsPerRead = 2

// ReadBarrier implements Log. A follower asks its leader for the index to wait for.
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
	return n.openReads()
}

// openReads starts the next group unless one is awaiting its confirmation.
func (n *Node) openReads() error {
	r := &n.reads
	if r.open != nil || len(r.waiting) == 0 {
		return nil
	}
	r.lastID++
	r.open = &readGroup{
		id:       r.lastID,
		deadline: n.now() + electionsPerRead*n.opts.ElectionTimeout,
		barriers: r.waiting,
	}
	r.waiting = nil
	return n.core.ReadIndex(n.now(), r.open.id)
}

func (n *Node) onReadStates(states []raft.ReadState) error {
	for _, s := range states {
		g := n.reads.open
		if g == nil || g.id != s.ID {
			continue
		}
		n.reads.open = nil
		if s.Err != nil {
			g.finish(ErrNotLeader)
		} else {
			g.index = s.Index
			n.reads.confirmed = append(n.reads.confirmed, g)
		}
	}
	n.reads.release(n.appliedTo)
	return n.openReads()
}

func (g *readGroup) finish(err error) {
	for _, b := range g.barriers {
		b.done <- err
	}
	g.barriers = nil
}

// release answers the groups whose index is applied.
func (r *readGroups) release(applied uint64) {
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

// expire fails the groups whose deadline passed: an answer may have been lost.
func (r *readGroups) expire(now time.Duration) {
	if r.open != nil && now >= r.open.deadline {
		r.open.finish(ErrNotLeader)
		r.open = nil
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

func (r *readGroups) fail(err error) {
	if r.open != nil {
		r.open.finish(err)
		r.open = nil
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
