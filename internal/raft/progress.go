package raft

import "time"

// monotime is monotonic time since a start of the caller's choice.
type monotime = time.Duration

type progressState int

const (
	probing progressState = iota // one message at a time until the match is known
	replicating
	snapshotting
)

// progress is what a leader knows about one peer.
type progress struct {
	state        progressState
	match        uint64 // highest synced index
	next         uint64 // next index to send
	inflight     []uint64
	probeSent    bool
	snapshot     uint64 // index of the snapshot being sent
	snapshotSent monotime
	round        uint64 // newest heartbeat round answered
	lastAck      monotime
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

func (p *progress) toProbing() {
	p.state = probing
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.next = max(p.match+1, p.next)
}

func (p *progress) toReplicating() {
	p.state = replicating
	p.probeSent = false
	p.inflight = p.inflight[:0]
	p.next = p.match + 1
}

func (p *progress) toSnapshotting(now monotime, index uint64) {
	p.state = snapshotting
	p.snapshot = index
	p.snapshotSent = now
	p.inflight = p.inflight[:0]
}

// ackTo forgets the messages in flight that end at or before index.
func (p *progress) ackTo(index uint64) {
	n := 0
	for n < len(p.inflight) && p.inflight[n] <= index {
		n++
	}
	p.inflight = append(p.inflight[:0], p.inflight[n:]...)
}
