package standin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"gentiankeel/internal/pause"
)

// attempts holds the cancel functions of running attempts by attempt ID.
type attempts struct {
	mu          sync.Mutex
	cancelFuncs map[string]context.CancelFunc
}

// start returns a context for an attempt that cancel(id) ends, and the function to call
// when the attempt is over.
func (a *attempts) start(parent context.Context, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	if id == "" {
		return ctx, cancel
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelFuncs[id] = cancel
	return ctx, func() {
		cancel()
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.cancelFuncs, id)
	}
}

func (a *attempts) cancel(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancelFunc, ok := a.cancelFuncs[id]; ok {
		cancelFunc()
	}
}

// delayedLoad holds the load as it was some time ago.
type delayedLoad struct {
	mu              sync.Mutex
	running, queued uint32
}

// run samples the load of s and publishes each sample after lag.
func (l *delayedLoad) run(ctx context.Context, lag time.Duration, s *slots) {
	for {
		running, queued := s.counts()
		if pause.For(ctx, lag) != nil {
			return
		}
		l.mu.Lock()
		l.running, l.queued = uint32(running), uint32(queued)
		l.mu.Unlock()
	}
}

func (l *delayedLoad) get() (running, queued uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, l.queued
}

// parseFence parses a fencing number. A malformed one yields 0, which is older than every
// valid one.
func parseFence(s string) uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
