package gateway

import (
	"time"

	"gentiankeel/internal/wire"
)

// maxWriteTime is the time for passing an event on above which the next one may have waited for the
// caller's connection.
const maxWriteTime = 5 * time.Millisecond

// recordEvent records an event of an attempt's stream that was read now. The first one shows that the
// upstream has read the prompt, for which other entries may wait.
func (s *Server) recordEvent(sl *slot, previous time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.noteSuspension(now)
	gap := sl.lastOutputAt - previous
	blocked := sl.readAgainAt-previous > maxWriteTime
	suspended := s.resumedAt > previous || now-s.lastTick > suspensionTicks*tickInterval
	if previous == 0 || blocked || suspended {
		gap = 0 // it tells nothing about the upstream
	}
	s.deliver(s.core.RecordEvent(now, sl.slotRequestID, gap))
	if previous == 0 {
		s.signalReport()
	}
}

// minSuspension is the shortest suspension of the process that keeps attempts in progress from being learned from.
// Shorter ones come from a lack of processor time and prolong later streams as well.
const minSuspension = time.Second

// noteSuspension tells the core of a suspension that the tick loop has not noticed yet. mu must be held.
func (s *Server) noteSuspension(now time.Duration) {
	if s.lastTick > 0 && now-s.lastTick >= minSuspension {
		s.core.Resumed(now)
	}
}

// observePaces updates the metrics of runners' speed. mu must be held.
func (s *Server) observePaces() {
	spread := s.core.Paces()
	s.m.pace.WithLabelValues("min").Set(float64(spread.Min) / 1000)
	s.m.pace.WithLabelValues("median").Set(float64(spread.Median) / 1000)
	s.m.pace.WithLabelValues("max").Set(float64(spread.Max) / 1000)
	waits := s.core.PrefillWaits()
	s.m.prefillWaits.Add(float64(waits - s.prefillWaits))
	s.prefillWaits = waits
}

// takePaces returns what was observed of runners' speed, for a report that is sent anyway.
func (s *Server) takePaces() []*wire.UpstreamPace {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.TakePaces(s.now())
}
