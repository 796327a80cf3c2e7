package gateway

import (
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
	if sl.hasOutput && s.now()-sl.firstOutputAt > startupOutput {
		return
	}
	inc := suspect.Incarnation{Upstream: sl.target.ID, BornUnixMs: sl.target.BornUnixMs}
	digests := append([]string{x.digest()}, x.partDigests()...)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, digest := range digests {
		s.watch.RecordLoss(s.now(), suspect.Loss{Digest: digest, Incarnation: inc})
	}
	s.signalReport()
}

// isConnectionEnd reports whether an error says that the peer closed or reset the connection.
func isConnectionEnd(err error) bool {
	var op *net.OpError
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &op)
}

// recordCompletion records that an upstream ran the request to its end. A response that only
// the end of its connection delimits shows nothing, since a crash may look like that.
func (x *exchange) recordCompletion(res *http.Response) {
	s := x.server
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return
	}
	parts := x.partDigests()
	watches := s.watchesRequests()
	if !watches && len(parts) == 0 {
		return
	}
	digest := ""
	if watches {
		digest = x.digest()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := watches && s.watch.RecordCompletion(digest)
	for _, part := range parts {
		known = s.watch.RecordSoundPart(s.now(), part) || known
	}
	if known {
		s.signalReport()
	}
}

// partDigests returns the digests of the prompt's shared parts, in order.
func (x *exchange) partDigests() []string {
	if x.partHashes == nil {
		for _, id := range sharedPartIDs(&x.info) {
			x.partHashes = append(x.partHashes, suspect.PartDigest(id))
		}
	}
	return x.partHashes
}

// watchesRequests reports whether digests of requests have to be compared. Without suspects
// none is computed.
func (s *Server) watchesRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watch.Watches()
}

// checkSuspect returns an error if the request must not be sent now: it is in quarantine, or
// it is suspect and was sent before.
func (x *exchange) checkSuspect() *errkind.Error {
	s := x.server
	if !s.watchesRequests() {
		return nil
	}
	digest, parts := x.digest(), x.partDigests()
	s.mu.Lock()
	defer s.mu.Unlock()
	detached := s.coordinatorAge() > streamTimeout
	if left := s.watch.QuarantineLeft(s.now(), digest, detached); left > 0 {
		return errkind.New(errkind.Quarantined, "upstreams ended each time they began to run it").
			WithRan(errkind.RanNo).WithRetryAfter(left)
	}
	if left, i := s.watch.PartQuarantineLeft(s.now(), parts, detached); left > 0 {
		return errkind.New(errkind.Quarantined, "upstreams ended each time they began to run a prompt with part %s", x.info.PromptParts[i].ID).
			WithRan(errkind.RanNo).WithRetryAfter(left)
	}
	if x.attemptCount > 0 && s.watch.IsSuspect(digest) {
		return errkind.New(errkind.Quarantined, "it is suspect of ending upstreams, so it is not retried").WithRan(errkind.RanNo)
	}
	return nil
}

// applySuspects applies the coordinator's list. mu must be held.
func (s *Server) applySuspects(list []*wire.SuspectRequest, snapshot bool) {
	if len(list) == 0 && !snapshot {
		return
	}
	out := make([]suspect.Suspicion, 0, len(list))
	for _, r := range list {
		sus := suspect.Suspicion{Digest: r.Digest, Cleared: r.Cleared, ExplainedBy: r.ExplainedBy}
		if r.QuarantineMs > 0 {
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

func lostRuns(list []suspect.LossReport) []*wire.LostRun {
	var out []*wire.LostRun
	for _, l := range list {
		out = append(out, &wire.LostRun{Digest: l.Digest, Upstream: l.Upstream, BornUnixMs: l.BornUnixMs,
			AgeMs: uint32(min(l.Age.Milliseconds(), time.Hour.Milliseconds()))})
	}
	return out
}
