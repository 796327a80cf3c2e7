// Package replicatest provides an in-memory replica.Log of a single replica for tests.
package replicatest

import (
	"context"
	"sync"

	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

// Log is a replica.Log whose entries are committed and applied immediately. It is safe for
// concurrent use.
type Log struct {
	applyMu sync.Mutex // held while an entry is applied
	sm      replica.StateMachine

	mu      sync.Mutex // not held while an entry is applied; guards what is below
	index   uint64
	leader  bool
	stopped bool
	done    chan struct{}
}

// New returns a log that leads and applies its entries to sm.
func New(sm replica.StateMachine) *Log { return &Log{sm: sm, leader: true, done: make(chan struct{})} }

// SetLeader sets whether the log leads. Otherwise its calls return replica.ErrNotLeader.
func (l *Log) SetLeader(leader bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = leader
}

// check returns the error of a call at this moment, nil if the log leads.
func (l *Log) check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return replica.ErrStopped
	}
	if !l.leader {
		return replica.ErrNotLeader
	}
	return nil
}

// Propose implements replica.Log.
func (l *Log) Propose(_ context.Context, data []byte) ([]byte, uint64, error) {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	index := l.Status().Applied + 1
	if err := l.check(); err != nil {
		return nil, 0, err
	}
	answer := l.sm.Apply(index, data)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = index
	return answer, index, nil
}

// ReadBarrier implements replica.Log. It waits for the entry that is being applied.
func (l *Log) ReadBarrier(context.Context) error {
	l.applyMu.Lock()
	defer l.applyMu.Unlock()
	return l.check()
}

// ChangeMembership implements replica.Log.
func (l *Log) ChangeMembership(context.Context, *wire.ConfChange) error {
	return l.check()
}

// Status implements replica.Log.
func (l *Log) Status() replica.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := replica.Status{ID: 1, Term: 1, IsLeader: l.leader, Commit: l.index, Applied: l.index}
	if l.leader {
		s.Leader = 1
	}
	return s
}

// LeaveRemoved implements replica.Log. The only replica is never removed.
func (l *Log) LeaveRemoved(context.Context) error { return nil }

// TransferLeadership implements replica.Log. There is no other replica.
func (l *Log) TransferLeadership(context.Context, uint64) error { return replica.ErrNotLeader }

// Stop implements replica.Log.
func (l *Log) Stop() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.stopped = true
		close(l.done)
	}
	return nil
}

// Replace always returns replica.ErrNotLeader: the only replica can't be replaced.
func (l *Log) Replace(context.Context, uint64, *wire.Member, func(replica.ReplaceStep)) error {
	return replica.ErrNotLeader
}

// Done returns a channel that is closed by Stop.
func (l *Log) Done() <-chan struct{} { return l.done }

// Err returns nil, since the log stops only by Stop.
func (l *Log) Err() error { return nil }
