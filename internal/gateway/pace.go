package gateway

// recordEvent records an event of an attempt's stream. The first one shows that the upstream has
// read the prompt, for which other entries may wait.
func (s *Server) recordEvent(sl *slot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.core.RecordEvent(s.now(), sl.slotRequestID))
	if sl.firstOutputAt == sl.lastOutputAt {
		s.signalReport()
	}
}
