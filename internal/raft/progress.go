package raft

import "time"

// monotime is a monotonic time since an epoch chosen by the caller.
type monotime = time.Duration

type progressState int

const (
	probing progressState = iota // one append at a time until the matching index is known
	replicating
	snapshotting
)

// progress is a leader's replication state for one peer.
type progress struct {
	state          progressState
	match          uint64   // highest index acknowledged as synced
	next           uint64   // next index to send
	inflight       []uint64 // last index of each unacknowledged append message
	probeSent      bool
	snapshotIndex  uint64 // index of the snapshot being sent
	snapshotSentAt monotime
	round          uint64 // newest heartbeat round that the peer answered
	lastAck        monotime
}

func newProgress(now monotime, next uint64) *progress {
	return &progress{next: next, lastAck: now}
}

func (p *progress) paused(maxInflight int) bool {
	switch p.state {
	case probing:
		return p.probeSent
	case replicating:
		return len(p.inflight) >= maxInflight
	default:
		return true
	}
}

func (p *progress) becomeProbing() {
	p.state = probing
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.next = max(p.match+1, p.next)
}

func (p *progress) becomeReplicating() {
	p.state = replicating
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.next = p.match + 1
}

func (p *progress) becomeSnapshotting(now monotime, index uint64) {
	p.state = snapshotting
	p.snapshotIndex = index
	p.snapshotSentAt = now
	p.inflight = p.inflight[:0]
}

// releaseInflight removes the in-flight messages that end at or before index.
func (p *progress) releaseInflight(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
}
