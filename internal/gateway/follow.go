package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/wire"
)

const (
	// streamSilence is the time without a message after which a stream is given up: three
	// of the coordinator's beats.
	streamSilence = 1000 * time.Millisecond
	// minReconnect and maxReconnect bound the pause between two tries to attach.
	minReconnect = 30 * time.Millisecond
	maxReconnect = 120 * time.Millisecond
	// urgentReport and calmReport are the pauses before a report: the first while
	// requests wait for a model, the second for what is used until a coordinator names one.
	urgentReport = 4 * time.Millisecond
	calmReport   = 100 * time.Millisecond
	// refreshTimeout bounds the search for the group's leader.
	refreshTimeout = 2 * time.Second
)

var errSilent = errors.New("the coordinator is silent")

// follow stays attached to the acting coordinator until ctx ends.
func (s *Server) follow(ctx context.Context) {
	backoff := minReconnect
	for ctx.Err() == nil {
		if s.o.Group.Leader() == "" {
			s.refresh(ctx)
		}
		attached, addr, err := s.attach(ctx)
		if ctx.Err() != nil {
			return
		}
		hinted := s.o.Group.Lost(addr, err)
		s.m.detached.Inc()
		s.log.Info("Coordinator lost.", "address", addr, "was_attached", attached, "error", err)
		if attached {
			backoff = minReconnect
		}
		if !hinted || !attached {
			_ = pause.For(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxReconnect)
		}
	}
}

func (s *Server) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := s.o.Group.Refresh(ctx); err != nil {
		s.log.Debug("No leader is known.", "error", err)
	}
}

// attach follows one coordinator until its stream ends; it reports whether the stream
// had begun.
func (s *Server) attach(parent context.Context) (attached bool, addr string, err error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	silence := time.AfterFunc(streamSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	stream, addr, err := s.o.Group.Attach(ctx)
	if err != nil {
		return false, addr, err
	}
	first := s.hello()
	if err := stream.Send(first); err != nil {
		return false, addr, err
	}
	for {
		up, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return attached, addr, err
		}
		silence.Reset(streamSilence)
		if !attached {
			attached = true
			s.m.attached.Inc()
			s.log.Info("Coordinator attached.", "address", addr, "token", up.Term, "upstreams", len(up.Upstreams),
				"version", up.Routing.GetVersion())
			go s.report(ctx, stream, first)
		}
		if err := s.apply(up); err != nil {
			return attached, addr, err
		}
	}
}

func (s *Server) hello() *wire.EntryReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	rep := s.core.Report(s.now())
	rep.Entry = s.o.Node
	rep.Known = s.core.Fleet()
	rep.RoutingVersion, rep.RoutingDigest = s.held.GetVersion(), s.held.GetDigest()
	return rep
}

// apply takes one update in. It counts as word from the coordinator only once it is in
// force here.
func (s *Server) apply(up *wire.FleetUpdate) error {
	if err := s.takeRouting(up.Routing, up.RoutingBase); err != nil {
		return err
	}
	if up.ReportMs > 0 {
		s.reportMs.Store(up.ReportMs)
	}
	s.mu.Lock()
	s.decided(s.core.Apply(s.now(), up))
	s.mu.Unlock()
	s.heardNow()
	return nil
}

// report tells the coordinator of changes until the stream ends.
func (s *Server) report(ctx context.Context, stream ctlclient.AttachStream, last *wire.EntryReport) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		}
		if s.isUrgent() {
			_ = pause.For(ctx, urgentReport)
		} else {
			s.pauseReport(ctx)
		}
		s.mu.Lock()
		next := s.core.Report(s.now())
		s.mu.Unlock()
		delta := dispatch.Delta(last, next)
		last = next
		if delta == nil {
			continue
		}
		if err := stream.Send(delta); err != nil {
			return // the receiving side sees the same and attaches again
		}
	}
}

// isUrgent reports whether requests wait for what the coordinator may load.
func (s *Server) isUrgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Waiting() > 0
}

// pauseReport waits for the next calm report; a request that has to wait ends it.
func (s *Server) pauseReport(ctx context.Context) {
	interval := calmReport
	if ms := s.reportMs.Load(); ms > 0 {
		interval = time.Duration(ms) * time.Millisecond
	}
	t := time.NewTimer(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			return
		case <-s.kick:
			if s.isUrgent() {
				return
			}
		}
	}
}
