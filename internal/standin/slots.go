package standin

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("queue is full")

// slots runs at most size requests at once and queues the others by priority, then
// by arrival.
type slots struct {
	size     int
	queueMax int

	mu      sync.Mutex
	running int
	arrival uint64
	queue   waiterQueue
}

type waiter struct {
	priority int
	arrival  uint64
	index    int
	admitted chan struct{}
}

// acquire waits for a slot. The caller gives it back with release.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w, err := s.enqueue(priority)
	if err != nil || w == nil {
		return err
	}
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index < 0 { // admitted while the context ended
		s.next()
	} else {
		heap.Remove(&s.queue, w.index)
	}
	return ctx.Err()
}

func (s *slots) enqueue(priority int) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.size {
		s.running++
		return nil, nil
	}
	if len(s.queue) >= s.queueMax {
		return nil, errQueueFull
	}
	s.arrival++
	w := &waiter{priority: priority, arrival: s.arrival, admitted: make(chan struct{})}
	heap.Push(&s.queue, w)
	return w, nil
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next()
}

// next hands a freed slot to the first waiter.
func (s *slots) next() {
	if len(s.queue) == 0 {
		s.running--
		return
	}
	w := heap.Pop(&s.queue).(*waiter)
	close(w.admitted)
}

func (s *slots) load() (running, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.queue)
}

type waiterQueue []*waiter

func (q waiterQueue) Len() int { return len(q) }

func (q waiterQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waiterQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waiterQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waiterQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	*q = old[:len(old)-1]
	w.index = -1
	return w
}
