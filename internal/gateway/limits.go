package gateway

import (
	"gentiankeel/internal/ratelimit"
)

// suspensionTicks is the number of ticks without one that show that the process was suspended.
const suspensionTicks = 4

// recordLimit records what an upstream's response says about its limit. The end of one only
// counts if the upstream itself has answered.
func (x *exchange) recordLimit(sl *slot, info ResponseInfo) {
	s := x.server
	if info.InvalidLimit != "" {
		s.log.Warn("An upstream's limit is ignored as invalid.", "upstream", sl.target.ID, "born", sl.processBorn(),
			"limit", info.InvalidLimit, "request", x.info.ID)
	}
	if info.Limit == nil || !info.Limit.Limited && !info.Signed && !info.NotRun {
		return
	}
	if s.recordStatement(sl, *info.Limit) {
		s.log.Info("An upstream's limit changed.", "upstream", sl.target.ID, "born", sl.processBorn(), "request", x.info.ID,
			"limited", info.Limit.Limited, "per_second", info.Limit.PerSecond)
	}
}

// recordStatement passes a statement to the core and reports whether it is news. While this process was
// suspended, the response may have waited.
func (s *Server) recordStatement(sl *slot, st ratelimit.Statement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	at := now
	switch {
	case !st.Limited:
		at = sl.sentAt // the answer may have been begun before the upstream named its limit
	case now-s.lastTick > suspensionTicks*tickInterval:
		at = max(s.lastTick, sl.sentAt)
	}
	if !s.core.RecordLimit(now, at, sl.target.ID, sl.processBorn(), st) {
		return false
	}
	s.m.limited.Set(float64(s.core.Limited()))
	s.signalReport()
	return true
}
