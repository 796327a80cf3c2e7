package standin

import (
	"context"
	"strconv"
	"sync"
	"time"

	"gentiankeel/internal/pause"
)

// attempts lets a running attempt be cancelled by its identity.
type attempts struct {
	mu     sync.Mutex
	cancel map[string]context.CancelFunc
}

func (a *attempts) start(parent context.Context, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	if id == "" {
		return ctx, cancel
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel[id] = cancel
	return ctx, func() {
		cancel()
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.cancel, id)
	}
}

func (a *attempts) stop(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cancel, ok := a.cancel[id]; ok {
		cancel()
	}
}

// lateLoad reports the load as it was some time ago.
type lateLoad struct {
	mu              sync.Mutex
	running, queued uint32
}

func (l *lateLoad) run(ctx context.Context, lag time.Duration, s *slots) {
	for {
		running, queued := s.load()
		if pause.For(ctx, lag) != nil {
			return
		}
		l.mu.Lock()
		l.running, l.queued = uint32(running), uint32(queued)
		l.mu.Unlock()
	}
}

func (l *lateLoad) get() (running, queued uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, l.queued
}

// parseUint reads a number; a malformed one is 0, older than every fencing number.
func parseUint(s string) uint64 {
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}
