package gateway

// recordReadiness records what an upstream's response says about further requests.
func (x *exchange) recordReadiness(sl *slot, info ResponseInfo) {
	s := x.server
	if info.InvalidRetryAfter != "" {
		s.log.Warn("An upstream's pause is ignored as invalid.", "upstream", sl.target.ID, "born", sl.processBorn(),
			"retry_after", info.InvalidRetryAfter, "request", x.info.ID)
	}
	if !info.Readiness.Leaving && info.Readiness.RetryAfter == 0 {
		return
	}
	s.mu.Lock()
	isNews := s.core.RecordReadiness(s.now(), sl.target.ID, sl.processBorn(), info.Readiness)
	s.observeUnready()
	s.mu.Unlock()
	if !isNews {
		return
	}
	s.log.Info("An upstream's readiness changed.", "upstream", sl.target.ID, "born", sl.processBorn(), "request", x.info.ID,
		"leaving", info.Readiness.Leaving, "retry_after", info.Readiness.RetryAfter)
	s.signalReport()
}

// observeUnready sets the gauges of upstreams that take no requests by their answers. mu must be held.
func (s *Server) observeUnready() {
	leaving, quiet := s.core.Unready()
	s.m.unready.WithLabelValues("leaving").Set(float64(leaving))
	s.m.unready.WithLabelValues("retry_after").Set(float64(quiet))
}
