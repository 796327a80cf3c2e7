package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/wire"
)

const (
	// streamTimeout is the time without a message after which a stream is closed. It exceeds
	// three keep-alive intervals of the coordinator.
	streamTimeout = 1000 * time.Millisecond
	// minReconnect and maxReconnect bound the back-off between attempts to attach.
	minReconnect = 30 * time.Millisecond
	maxReconnect = 120 * time.Millisecond
	// urgentReportDelay is the pause before a report while requests wait for a slot;
	// defaultReportInterval is the pause otherwise, until the coordinator sets another one.
	urgentReportDelay     = 4 * time.Millisecond
	defaultReportInterval = 100 * time.Millisecond
	// reportKeepAlive is the longest pause between reports while an organisation has a limit. The
	// coordinator takes an entry for out of contact after three of them.
	reportKeepAlive = 400 * time.Millisecond
	// refreshTimeout bounds the lookup of the control group's leader.
	refreshTimeout = 2 * time.Second
)

// followCoordinator stays attached to the acting coordinator until ctx ends.
func (s *Server) followCoordinator(ctx context.Context) {
	backoff := minReconnect
	for ctx.Err() == nil {
		if s.o.ControlClient.Leader() == "" {
			s.refreshLeader(ctx)
			if s.o.ControlClient.Leader() == "" {
				_ = pause.For(ctx, backoff/2+rand.N(backoff))
				backoff = min(2*backoff, maxReconnect)
				continue
			}
		}
		attached, addr, err := s.attach(ctx)
		s.loseQuotas()
		if ctx.Err() != nil {
			return
		}
		redirected := s.o.ControlClient.StreamFailed(addr, err)
		s.m.detached.Inc()
		s.log.Info("Coordinator lost.", append(s.configAttrs(), "address", addr, "was_attached", attached, "error", err)...)
		if attached {
			backoff = minReconnect
		}
		if !redirected || !attached {
			_ = pause.For(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxReconnect)
		}
	}
}

// refreshLeader looks up the control group's leader. A failure is only logged.
func (s *Server) refreshLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := s.o.ControlClient.RefreshMembers(ctx); err != nil {
		s.log.Debug("The control group's leader was not found.", "error", err)
	}
}

// attach applies one coordinator's updates until its stream ends. attached reports whether
// any update arrived.
func (s *Server) attach(parent context.Context) (attached bool, addr string, err error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	defer func() {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
	}()
	watchdog := time.AfterFunc(streamTimeout, func() { cancel(ctlclient.ErrStreamSilent) })
	defer watchdog.Stop()
	stream, addr, err := s.o.ControlClient.Attach(ctx)
	if err != nil {
		return false, addr, err
	}
	lastReport, reporting := s.attachReport(), false
	if err := stream.Send(lastReport); err != nil {
		return false, addr, err
	}
	for {
		up, err := stream.Recv()
		if err != nil {
			return attached, addr, err
		}
		watchdog.Reset(streamTimeout)
		if !attached {
			attached = true
			s.attachedAt.Store(int64(s.now()))
			s.m.attached.Inc()
			s.log.Info("Coordinator attached.", append(s.configAttrs(), "address", addr, "token", up.Term,
				"upstreams", len(up.Upstreams), "coordinator_version", up.Routing.GetVersion())...)
		}
		if err := s.applyUpdate(up); err != nil {
			return attached, addr, err
		}
		if up.Snapshot && !reporting {
			// Not earlier: reports name upstreams by the numbers in the snapshot.
			reporting = true
			go s.sendReports(ctx, stream, lastReport)
		}
	}
}

// attachReport returns the first report of a stream: the full demand and load, and the
// state of the fleet and the configuration that this entry holds.
func (s *Server) attachReport() *wire.EntryReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	limits := s.core.AttachPermits(s.now())
	rep := s.core.Report(s.now())
	rep.Limits = limits
	rep.Unready = s.core.TakeUnready(s.now(), true)
	rep.Entry = s.o.InstanceID
	rep.Relay = s.o.RelayAddress
	s.pathUnreported.Store(false)
	rep.Path = s.pathState()
	rep.Known = s.core.Upstreams()
	rep.Software = s.core.RecentSoftware()
	rep.RoutingVersion, rep.RoutingDigest = s.heldRouting.GetVersion(), s.heldRouting.GetDigest()
	rep.LostRuns = lostRuns(s.watch.TakeAll(s.now()))
	s.origins.takeAllOrigins(rep)
	s.attachQuotas(rep)
	return rep
}

// applyUpdate applies an update from the coordinator. The time of the last update changes
// only if that succeeds.
func (s *Server) applyUpdate(up *wire.FleetUpdate) error {
	if err := s.receiveRouting(up.Routing, up.RoutingBase); err != nil {
		return err
	}
	if up.ReportMs > 0 {
		s.reportIntervalMs.Store(up.ReportMs)
	}
	if up.Entries > 0 {
		s.entryCount.Store(up.Entries)
	}
	if up.HasRelays {
		s.detour.SetRelays(up.Relays)
	}
	s.mu.Lock()
	s.deliver(s.core.Apply(s.now(), up))
	s.applyQuotas(up)
	for _, id := range s.core.TakeEnded() {
		if cancel := s.cancels[id]; cancel != nil {
			cancel(errUpstreamReplaced)
		}
	}
	s.noteEndedUpstreams(up.Upstreams)
	s.m.limited.Set(float64(s.core.Limited()))
	s.observeUnready()
	s.applySuspects(up.Suspects, up.Snapshot)
	s.deliverOrigins(up.Origins)
	s.resolveOrigins(up.Upstreams)
	s.mu.Unlock()
	s.recordUpdate()
	return nil
}

// sendReports sends changes of demand and load to the coordinator until the stream ends.
func (s *Server) sendReports(ctx context.Context, stream ctlclient.AttachStream, last *wire.EntryReport) {
	keepAlive := time.NewTicker(reportKeepAlive)
	defer keepAlive.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reportSignal:
		case <-keepAlive.C:
			if !s.hasQuotas.Load() {
				continue
			}
			// Quotas are charged for an entry of which nothing is heard.
			if err := stream.Send(&wire.EntryReport{}); err != nil {
				return
			}
			continue
		}
		if s.reportIsUrgent() {
			_ = pause.For(ctx, urgentReportDelay)
		} else {
			s.awaitReportInterval(ctx)
		}
		s.mu.Lock()
		next := s.core.Report(s.now())
		losses, answers := s.watch.TakeUnreported(s.now())
		runs := &wire.EntryReport{Changed: true, LostRuns: lostRuns(losses), Answers: traitAnswers(answers), Path: s.takePath()}
		s.origins.takeOrigins(runs)
		runs.Limits = s.core.TakeStatements(s.now())
		runs.Unready = s.core.TakeUnready(s.now(), false)
		runs.Permits = quotaDemands(s.gate.Report(s.now()))
		s.mu.Unlock()
		s.logInferredLosses(losses)
		delta := dispatch.Delta(last, next)
		last = next
		if delta == nil {
			if len(losses)+len(answers)+len(runs.Begun)+len(runs.OriginsAsked)+len(runs.Limits)+len(runs.Unready)+len(runs.Permits) == 0 &&
				runs.Path == wire.PathState_PATH_UNCHANGED {
				continue
			}
			delta = &wire.EntryReport{Changed: true}
		}
		delta.LostRuns, delta.Answers, delta.Begun, delta.OriginsAsked = runs.LostRuns, runs.Answers, runs.Begun, runs.OriginsAsked
		delta.Limits, delta.Unready, delta.Path = runs.Limits, runs.Unready, runs.Path
		delta.Paces = s.takePaces()
		delta.Permits = append(delta.Permits, runs.Permits...)
		if err := stream.Send(delta); err != nil {
			return // the receiving side fails as well and reattaches
		}
	}
}

// reportIsUrgent reports whether requests wait for a slot, so that the coordinator may have
// to load a model, whether a run was lost that other entries have to know of, or whether the
// coordinator is asked for something.
func (s *Server) reportIsUrgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Waiting() > 0 || s.watch.HasUnreported() || len(s.origins.unasked) > 0 || s.core.HasStatements() || s.core.HasUnreportedUnready() || s.gate.IsUrgent(s.now()) ||
		s.pathUnreported.Load()
}

// awaitReportInterval waits for the report interval to pass, or for a report to be urgent.
func (s *Server) awaitReportInterval(ctx context.Context) {
	interval := defaultReportInterval
	if ms := s.reportIntervalMs.Load(); ms > 0 {
		interval = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-s.reportSignal:
			if s.reportIsUrgent() {
				return
			}
		}
	}
}
