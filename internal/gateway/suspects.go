package gateway

import (
	"cmp"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/wire"
)

// startupOutput is the time after an attempt's first output within which the end of its
// upstream is still held against the request.
const startupOutput = 250 * time.Millisecond

// recordLoss records that an upstream broke off while it began to run the request. It does
// not if the entry itself gave the response up, nor if the attempt had output for longer,
// which shows that the upstream can run it.
func (x *exchange) recordLoss(sl *slot, cause error) {
	s := x.server
	if !isConnectionEnd(cause) {
		return
	}
	if errors.Is(sl.endCause(), errUpstreamReplaced) {
		x.recordGivenUp(sl) // the upstream fell silent, now or earlier
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watch.Ended(s.now(), func(g *suspect.UnsettledRun) bool { return g.Incarnation == sl.incarnation() })
		s.signalReport()
		return
	}
	if sl.hasOutput && s.now()-sl.firstOutputAt > startupOutput {
		return
	}
	run := suspect.LostRun{
		Incarnation: sl.incarnation(),
		Traits:      x.suspectRequest().Traits(),
		Software:    sl.target.Software,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	run.Ran = now - sl.sentAt
	s.watch.RecordLoss(now, run, now-s.lastTick) // this process may have been suspended since
	s.signalReport()
}

// processBorn returns the start of the process that runs the attempt, as far as is known.
func (sl *slot) processBorn() int64 { return cmp.Or(sl.born, sl.target.BornUnixMs) }

func (sl *slot) incarnation() suspect.Incarnation {
	return suspect.Incarnation{Upstream: sl.target.ID, BornUnixMs: sl.processBorn()}
}

// recordGivenUp records that the caller left or the deadline passed while the upstream was silent:
// it may have ended without closing its connections.
func (x *exchange) recordGivenUp(sl *slot) {
	if sl.hasOutput && sl.lastOutputAt-sl.firstOutputAt > startupOutput {
		return
	}
	s := x.server
	r := x.suspectRequest()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordUnsettled(sl, r, sl.lastOutputAt)
}

// recordClosed records that the upstream closed the connection just after it had answered: it may
// have ended.
func (x *exchange) recordClosed(sl *slot) {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.answeredAt > 0 { // set together with x.suspect by the exchange, which may still go on
		s.recordUnsettled(sl, x.suspect, sl.answeredAt)
	}
}

// recordUnsettled records a run of a request that may have ended its upstream, whose last output came
// at lastOutput. mu must be held.
func (s *Server) recordUnsettled(sl *slot, r *suspect.Request, lastOutput time.Duration) {
	s.watch.RecordUnsettled(suspect.UnsettledRun{Incarnation: sl.incarnation(), Address: sl.target.Address, Request: r,
		Software: sl.target.Software, Began: sl.sentAt, At: s.now(), LastOutput: lastOutput})
	s.signalReport()
}

// noteEndedUpstreams counts the runs that were given up on incarnations which an update shows to
// have ended. mu must be held.
func (s *Server) noteEndedUpstreams(updated []*wire.UpstreamState) {
	for _, u := range updated {
		before := u.BornUnixMs
		if u.Phase == wire.UpstreamPhase_PHASE_GONE {
			before++
		}
		s.watch.IncarnationsEnded(u.Id, before)
	}
	if !s.watch.HasUnsettled() {
		return
	}
	for _, u := range updated {
		s.watch.Ended(s.now(), func(g *suspect.UnsettledRun) bool {
			if u.Phase == wire.UpstreamPhase_PHASE_GONE {
				return g.Upstream == u.Id && g.BornUnixMs <= u.BornUnixMs
			}
			return (g.Upstream == u.Id || g.Address == u.Address) && g.BornUnixMs < u.BornUnixMs
		})
	}
	if s.watch.HasUnreported() {
		s.signalReport()
	}
}

// logInferredLosses logs the losses that no connection showed when they happened.
func (s *Server) logInferredLosses(losses []suspect.LossReport) {
	for _, l := range losses {
		if l.Inferred && l.Ended {
			s.log.Info("A run counts as lost.", "upstream", l.Upstream, "born", l.BornUnixMs, "trait", l.Traits[0], "age", l.Age, "ran", l.Ran,
				"unseen_for", l.Span)
		}
	}
}

// dropRefutedLosses drops the losses on upstreams that the coordinator hears from long after. mu
// must be held.
func (s *Server) dropRefutedLosses() {
	// A coordinator that has just taken over counts every upstream as heard from.
	if s.coordinatorAge() > streamTimeout || s.now()-time.Duration(s.attachedAt.Load()) < suspect.SurvivalDelay {
		return
	}
	s.watch.Alive(s.now(), func(inc suspect.Incarnation) bool { return s.core.IsReady(inc.Upstream, inc.BornUnixMs) })
}

// isConnectionEnd reports whether an error says that the peer closed or reset the connection.
func isConnectionEnd(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// recordAnswer records that an upstream answered the request with success; any other status may
// come from before what ends upstreams. A response that only the end of its connection delimits
// shows nothing, since a crash may look like that.
func (x *exchange) recordAnswer(sl *slot, res *http.Response) {
	s := x.server
	if res.StatusCode >= http.StatusMultipleChoices || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return
	}
	r := x.suspectRequest()
	s.mu.Lock()
	defer s.mu.Unlock()
	sl.answeredAt = s.now()
	if s.watch.RecordAnswer(s.now(), r, sl.incarnation(), sl.target.Software) {
		s.signalReport()
	}
}

// checkSuspect returns an error if the request must not be sent now to any upstream: one of its
// traits is in quarantine, or it is suspect and was sent before. Otherwise it returns the software
// versions whose upstreams must not get it.
func (x *exchange) checkSuspect() (excluded map[string]bool, err *errkind.Error) {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.watch.Watches() {
		return nil, nil
	}
	r := x.suspectRequest()
	if err := x.quarantineError(r.Traits()); err != nil {
		return nil, err
	}
	if x.attemptCount > 0 && s.watch.IsSuspect(r.Whole()) {
		return nil, errkind.New(errkind.Quarantined, "it is suspect of ending upstreams, so it is not retried").WithRan(errkind.RanNo)
	}
	versions := s.core.SoftwareVersions(x.service, x.info.Model)
	var soonest *errkind.Error
	for _, version := range versions {
		if err := x.quarantineError(r.TraitsOn(version)); err != nil {
			if excluded == nil {
				excluded = map[string]bool{}
			}
			excluded[version] = true
			if soonest == nil || err.RetryAfter < soonest.RetryAfter {
				soonest = err
			}
		}
	}
	if len(excluded) > 0 && (len(excluded) == len(versions) || x.needsSoftware && excluded[x.software]) {
		return nil, soonest
	}
	return excluded, nil
}

// checkSuspectOn returns an error if the request must not be sent to upstreams of a software version. It is
// to be called just before the request is sent.
func (x *exchange) checkSuspectOn(software string) *errkind.Error {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.watch.Watches() {
		return nil
	}
	traits := x.suspectRequest().TraitsOn(software)
	if err := x.quarantineError(traits); err != nil {
		return err
	}
	s.watch.BeginRun(s.now(), traits)
	return nil
}

// quarantineError returns an error if any of the traits is in quarantine. Server.mu must be held.
func (x *exchange) quarantineError(traits []suspect.Trait) *errkind.Error {
	s := x.server
	left, blamed := s.watch.QuarantineLeft(s.now(), traits, s.coordinatorAge() > streamTimeout)
	if left <= 0 {
		return nil
	}
	return errkind.New(errkind.Quarantined, "upstreams ended each time they began to run a request with trait %s", blamed).
		WithRan(errkind.RanNo).WithRetryAfter(left)
}

// applySuspects applies the coordinator's list. mu must be held.
func (s *Server) applySuspects(list []*wire.SuspectTrait, snapshot bool) {
	if len(list) == 0 && !snapshot {
		return
	}
	out := make([]suspect.Suspicion, 0, len(list))
	for _, r := range list {
		sus := suspect.Suspicion{Trait: suspect.Trait(r.Trait), Cleared: r.Cleared}
		if r.Held || r.QuarantineMs > 0 {
			sus.Until = s.now() + time.Duration(r.QuarantineMs)*time.Millisecond
		}
		out = append(out, sus)
	}
	s.watch.Publish(s.now(), out, snapshot)
	if s.watch.HasUnreported() {
		s.signalReport()
	}
	s.m.suspects.Set(float64(s.watch.Suspects()))
}

// lostRuns returns lost runs as they are reported. A trait is a digest in hex, so that it always
// decodes.
func lostRuns(list []suspect.LossReport) []*wire.LostRun {
	var out []*wire.LostRun
	for _, l := range list {
		run := &wire.LostRun{Upstream: l.Upstream, BornUnixMs: l.BornUnixMs, Software: l.Software, AgeMs: wireMs(l.Age), SpanMs: wireMs(l.Span), RanMs: wireMs(l.Ran), Inferred: l.Inferred, Ended: l.Ended}
		for _, t := range l.Traits {
			run.Traits = append(run.Traits, t.Bytes())
		}
		out = append(out, run)
	}
	return out
}

func traitAnswers(list []suspect.AnswerReport) []*wire.TraitAnswers {
	var out []*wire.TraitAnswers
	for _, a := range list {
		answers := &wire.TraitAnswers{Trait: a.Trait.Bytes()}
		for _, answer := range a.Answers {
			answers.Answers = append(answers.Answers, &wire.TraitAnswer{AgeMs: wireMs(answer.Age), Upstream: answer.Upstream, BornUnixMs: answer.BornUnixMs})
		}
		out = append(out, answers)
	}
	return out
}

// wireMs returns a duration in milliseconds, at most an hour.
func wireMs(d time.Duration) uint32 {
	return uint32(min(max(d, 0), time.Hour).Milliseconds())
}
