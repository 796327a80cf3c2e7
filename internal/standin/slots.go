package standin

import (
	"container/heap"
	"context"
	"errors"
	"sync"
)

var errQueueFull = errors.New("queue is full")

// slots lets at most capacity requests run concurrently and queues the others by
// priority, then by arrival.
type slots struct {
	capacity  int
	maxQueued int

	mu      sync.Mutex
	running int
	arrival uint64 // number of the last arrival
	queue   waiterQueue
}

type waiter struct {
	priority int
	arrival  uint64
	index    int           // in the queue; -1 once removed
	admitted chan struct{} // closed when the slot is handed over
}

// acquire waits for a slot, which release frees. It fails with errQueueFull or the
// error of ctx.
func (s *slots) acquire(ctx context.Context, priority int) error {
	w, err := s.acquireOrEnqueue(priority)
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
	if w.index < 0 { // admitted while the context ended: pass the slot on
		s.releaseLocked()
	} else {
		heap.Remove(&s.queue, w.index)
	}
	return ctx.Err()
}

// acquireOrEnqueue takes a free slot and returns nil, or returns a queued waiter.
func (s *slots) acquireOrEnqueue(priority int) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running < s.capacity {
		s.running++
		return nil, nil
	}
	if len(s.queue) >= s.maxQueued {
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
	s.releaseLocked()
}

// releaseLocked passes a slot to the first waiter, or frees it if none waits.
func (s *slots) releaseLocked() {
	if len(s.queue) == 0 {
		s.running--
		return
	}
	w := heap.Pop(&s.queue).(*waiter)
	close(w.admitted)
}

func (s *slots) counts() (running, queued int) {
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
