package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gentiankeel/internal/pause"
)

// faults holds the failures that a test has asked for.
type faults struct {
	mu          sync.Mutex
	factor      float64 // set by a test; 0: none
	crossed     int
	cuts        int
	lostAnswers int
	silent      bool
	lostOrders  int
}

// attempt returns the identity to answer with; a crossed answer carries another.
func (f *faults) attempt(id string) string {
	if f.take(&f.crossed) {
		return id + "-crossed"
	}
	return id
}

func (f *faults) takeCut() bool       { return f.take(&f.cuts) }
func (f *faults) takeLost() bool      { return f.take(&f.lostAnswers) }
func (f *faults) takeLostOrder() bool { return f.take(&f.lostOrders) }

func (f *faults) take(n *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (f *faults) set(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faults) slowFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.factor
}

func (f *faults) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.silent
}

// SetSlow makes every later token take factor times as long; 1 ends it.
func (s *Server) SetSlow(factor float64) { s.faults.set(func(f *faults) { f.factor = factor }) }

// SetSilent stops the announcements, as a lost path to the entries does.
func (s *Server) SetSilent(silent bool) { s.faults.set(func(f *faults) { f.silent = silent }) }

// CrossAnswers lets the next n answers carry the identity of another attempt.
func (s *Server) CrossAnswers(n int) { s.faults.set(func(f *faults) { f.crossed = n }) }

// CutStreams ends the next n streams in their middle without an end mark.
func (s *Server) CutStreams(n int) { s.faults.set(func(f *faults) { f.cuts = n }) }

// LoseAnswers runs the next n service calls and drops their answers.
func (s *Server) LoseAnswers(n int) { s.faults.set(func(f *faults) { f.lostAnswers = n }) }

// LoseOrderReplies carries the next n orders out and drops their replies.
func (s *Server) LoseOrderReplies(n int) { s.faults.set(func(f *faults) { f.lostOrders = n }) }

// slowPhases makes the upstream a straggler for moments.
type slowPhases struct {
	mu   sync.Mutex
	slow bool
}

func (p *slowPhases) run(ctx context.Context, l Latency, rnd *rand.Rand) {
	if l.SlowEvery <= 0 {
		return
	}
	for {
		for _, phase := range []struct {
			slow bool
			mean time.Duration
		}{{false, l.SlowEvery}, {true, l.SlowFor}} {
			p.mu.Lock()
			p.slow = phase.slow
			p.mu.Unlock()
			if pause.For(ctx, time.Duration(rnd.ExpFloat64()*float64(phase.mean))) != nil {
				return
			}
		}
	}
}

func (p *slowPhases) isSlow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slow
}

// stretch lengthens a delay while the upstream is slow.
func (s *Server) stretch(d time.Duration) time.Duration {
	factor := s.faults.slowFactor()
	if factor <= 0 {
		factor = 1
	}
	if s.phases.isSlow() {
		factor *= s.o.Latency.SlowFactor
	}
	return time.Duration(float64(d) * factor)
}
