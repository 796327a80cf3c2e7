package rafttransport

import (
	"context"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/wire"
)

// queue holds the messages to one peer. When it is full, it drops the oldest periodic
// message or, if there is none, the oldest message.
type queue struct {
	mu      sync.Mutex
	msgs    []*wire.RaftMessage
	limit   int
	wake    chan struct{} // signals pop after a push
	dropped prometheus.Counter
}

func newQueue(limit int, dropped prometheus.Counter) *queue {
	return &queue{limit: limit, wake: make(chan struct{}, 1), dropped: dropped}
}

func (q *queue) push(m *wire.RaftMessage) {
	q.mu.Lock()
	if len(q.msgs) >= q.limit {
		i := max(slices.IndexFunc(q.msgs, isPeriodic), 0)
		q.msgs = slices.Delete(q.msgs, i, i+1)
		q.dropped.Inc()
	}
	q.msgs = append(q.msgs, m)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// isPeriodic reports whether a message of this type is sent again periodically, so that
// the loss of one is harmless.
func isPeriodic(m *wire.RaftMessage) bool {
	switch m.Type {
	case wire.MsgType_MSG_HEARTBEAT, wire.MsgType_MSG_HEARTBEAT_RESP,
		wire.MsgType_MSG_HELLO, wire.MsgType_MSG_HELLO_RESP:
		return true
	}
	return false
}

// pop removes and returns the first message, and waits for one if the queue is empty. It
// returns false when ctx ends.
func (q *queue) pop(ctx context.Context) (*wire.RaftMessage, bool) {
	for {
		q.mu.Lock()
		if len(q.msgs) > 0 {
			m := q.msgs[0]
			q.msgs[0] = nil
			q.msgs = q.msgs[1:]
			q.mu.Unlock()
			return m, true
		}
		q.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil, false
		case <-q.wake:
		}
	}
}

// clear drops all messages and counts them as dropped.
func (q *queue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped.Add(float64(len(q.msgs)))
	q.msgs = nil
}
