package rafttransport

import (
	"context"
	"slices"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"gentiankeel/internal/wire"
)

// queue holds the messages for one peer. A full queue drops the oldest message that is
// repeated anyway, or else the oldest of all.
type queue struct {
	mu      sync.Mutex
	msgs    []*wire.RaftMessage
	limit   int
	wake    chan struct{}
	dropped prometheus.Counter
}

func newQueue(limit int, dropped prometheus.Counter) *queue {
	return &queue{limit: limit, wake: make(chan struct{}, 1), dropped: dropped}
}

func (q *queue) push(m *wire.RaftMessage) {
	q.mu.Lock()
	if len(q.msgs) >= q.limit {
		i := max(slices.IndexFunc(q.msgs, isRepeated), 0)
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

func isRepeated(m *wire.RaftMessage) bool {
	switch m.Type {
	case wire.MsgType_MSG_HEARTBEAT, wire.MsgType_MSG_HEARTBEAT_RESP,
		wire.MsgType_MSG_HELLO, wire.MsgType_MSG_HELLO_RESP:
		return true
	}
	return false
}

// pop waits for a message; false after the end of ctx.
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

func (q *queue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped.Add(float64(len(q.msgs)))
	q.msgs = nil
}
