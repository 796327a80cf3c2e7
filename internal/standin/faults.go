package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"gentiankeel/internal/pause"
)

// faults holds the failures that a test has requested. Its counters are the numbers of
// failures still to inject.
type faults struct {
	mu                  sync.Mutex
	slowdown            float64 // factor for delays; 0: unset
	wrongAttemptIDs     int
	streamCuts          int
	droppedAnswers      int
	announcementsPaused bool
	droppedOrderReplies int
}

// answerAttemptID returns the attempt ID to answer with: id, or another one while
// wrong IDs are requested.
func (f *faults) answerAttemptID(id string) string {
	if f.consume(&f.wrongAttemptIDs) {
		return id + "-crossed"
	}
	return id
}

func (f *faults) consumeStreamCut() bool         { return f.consume(&f.streamCuts) }
func (f *faults) consumeDroppedAnswer() bool     { return f.consume(&f.droppedAnswers) }
func (f *faults) consumeDroppedOrderReply() bool { return f.consume(&f.droppedOrderReplies) }

// consume decrements a counter of requested failures and reports whether one was left.
func (f *faults) consume(remaining *int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

func (f *faults) update(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faults) slowdownFactor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slowdown
}

func (f *faults) areAnnouncementsPaused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announcementsPaused
}

// SetSlowdown makes later delays factor times as long; 1 restores normal speed.
func (s *Server) SetSlowdown(factor float64) {
	s.faults.update(func(f *faults) { f.slowdown = factor })
}

// PauseAnnouncements stops or resumes the announcements. Stopping them acts like a network cut
// between the upstream and the entries.
func (s *Server) PauseAnnouncements(paused bool) {
	s.faults.update(func(f *faults) { f.announcementsPaused = paused })
}

// MismatchAnswers makes the next n answers carry another attempt's ID.
func (s *Server) MismatchAnswers(n int) { s.faults.update(func(f *faults) { f.wrongAttemptIDs = n }) }

// CutStreams aborts the next n streams halfway, without an end marker.
func (s *Server) CutStreams(n int) { s.faults.update(func(f *faults) { f.streamCuts = n }) }

// DropAnswers makes the next n service calls run without an answer.
func (s *Server) DropAnswers(n int) { s.faults.update(func(f *faults) { f.droppedAnswers = n }) }

// DropOrderReplies executes the next n orders without sending a reply.
func (s *Server) DropOrderReplies(n int) {
	s.faults.update(func(f *faults) { f.droppedOrderReplies = n })
}

// slowPhases alternates between normal and slow phases of random length.
type slowPhases struct {
	mu   sync.Mutex
	slow bool
}

func (p *slowPhases) run(ctx context.Context, l Latency, rng *rand.Rand) {
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
			if pause.For(ctx, time.Duration(rng.ExpFloat64()*float64(phase.mean))) != nil {
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

// scaleDelay multiplies a delay by the slowdowns in effect.
func (s *Server) scaleDelay(d time.Duration) time.Duration {
	factor := s.faults.slowdownFactor()
	if factor <= 0 {
		factor = 1
	}
	if s.phases.isSlow() {
		factor *= s.opts.Latency.SlowFactor
	}
	return time.Duration(float64(d) * factor)
}
