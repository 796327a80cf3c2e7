package scheduler

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/wire"
)

// outboxSize bounds the messages that wait for a slow entry. A full outbox closes the
// session; the entry then opens a new one and reports the grants that it holds.
const outboxSize = 4096

// sessionHeartbeatInterval is the time between two heartbeats on a session.
const sessionHeartbeatInterval = time.Second

var heartbeatMessage = &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Heartbeat{Heartbeat: &wire.Heartbeat{}}}

// entrySession is the scheduler's end of one entry's stream.
type entrySession struct {
	entry  string
	outbox chan *wire.SchedulerMessage
	closed chan struct{} // closed by the decision goroutine
}

// Session implements wire.SchedulerServer.
func (s *Server) Session(stream grpc.BidiStreamingServer[wire.EntryMessage, wire.SchedulerMessage]) error {
	t := s.currentTerm()
	if t == nil {
		return errLeaseNotHeld
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil || hello.Entry == "" {
		return status.Error(codes.InvalidArgument, "a session begins with a hello")
	}
	ss := newSession(hello.Entry)
	if !t.enqueueContext(stream.Context(), sessionOpened{ss, hello}) {
		return errLeaseNotHeld
	}
	s.metrics.sessions.Inc()
	defer s.metrics.sessions.Dec()
	defer t.enqueue(sessionClosed{ss})
	go s.receive(t, ss, stream)
	return s.transmit(t, ss, stream)
}

func newSession(entry string) *entrySession {
	return &entrySession{
		entry:  entry,
		outbox: make(chan *wire.SchedulerMessage, outboxSize),
		closed: make(chan struct{}),
	}
}

// receive delivers the entry's messages to the term until the stream ends.
func (s *Server) receive(t *term, ss *entrySession, stream grpc.BidiStreamingServer[wire.EntryMessage, wire.SchedulerMessage]) {
	for {
		msg, err := stream.Recv()
		if err != nil {
			t.enqueue(sessionClosed{ss})
			return
		}
		ev := grantEvent(ss.entry, t.now(), msg)
		if ev == nil {
			continue
		}
		if !t.enqueueContext(stream.Context(), sessionEvent{ss, ev, cutUpstreamID(msg)}) {
			return
		}
	}
}

// transmit sends queued messages and heartbeats until the session, the stream or the term
// ends.
func (s *Server) transmit(t *term, ss *entrySession, stream grpc.BidiStreamingServer[wire.EntryMessage, wire.SchedulerMessage]) error {
	heartbeat := time.NewTicker(sessionHeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-heartbeat.C:
			if err := stream.Send(heartbeatMessage); err != nil {
				return err
			}
		case msg := <-ss.outbox:
			if err := stream.Send(msg); err != nil {
				return err
			}
		case <-ss.closed:
			return status.Error(codes.Unavailable, "the session was closed; open it again")
		case <-stream.Context().Done():
			return nil
		case <-t.ctx.Done():
			return errLeaseNotHeld
		}
	}
}

// grantEvent converts an entry's message; it returns nil for heartbeats.
func grantEvent(entry string, now grant.Time, msg *wire.EntryMessage) grant.Event {
	switch m := msg.Msg.(type) {
	case *wire.EntryMessage_Ask:
		return askEvent(entry, now, m.Ask)
	case *wire.EntryMessage_Release:
		return releaseEvent(m.Release)
	case *wire.EntryMessage_Cancel:
		return grant.Cancel{Attempt: m.Cancel.Attempt}
	case *wire.EntryMessage_Progress:
		return grant.Progress{Attempt: m.Progress.Attempt,
			Waited: milliseconds(m.Progress.WaitedMs), Gap: milliseconds(m.Progress.GapMs)}
	default:
		return nil
	}
}

// cutUpstreamID returns the upstream of a release whose answer was cut off, or "".
func cutUpstreamID(msg *wire.EntryMessage) string {
	r := msg.GetRelease()
	if r.GetOutcome() != wire.Outcome_OUTCOME_CUT {
		return ""
	}
	return r.Upstream
}

func askEvent(entry string, now grant.Time, m *wire.Ask) grant.SlotRequest {
	return grant.SlotRequest{
		Attempt:      m.Attempt,
		Request:      m.Request,
		Entry:        entry,
		Caller:       m.Caller,
		Model:        m.Model,
		Adapter:      m.Adapter,
		Service:      m.Service,
		Class:        m.Class,
		Deadline:     now + milliseconds(m.DeadlineMs),
		PromptTokens: int(m.PromptTokens),
		MaxTokens:    int(m.MaxTokens),
		BodyDigest:   m.BodyDigest,
		PrefixHash:   m.PrefixHash,
		Exclude:      m.Exclude,
		Hedge:        m.Hedge,
	}
}

func releaseEvent(m *wire.Release) grant.Release {
	return grant.Release{
		Attempt:    m.Attempt,
		Outcome:    m.Outcome,
		FirstToken: milliseconds(m.FirstTokenMs),
		MaxGap:     milliseconds(m.MaxGapMs),
		Duration:   milliseconds(m.DurationMs),
		Tokens:     int(m.Tokens),
	}
}

func heldGrants(held []*wire.HeldGrant) []grant.HeldGrant {
	out := make([]grant.HeldGrant, 0, len(held))
	for _, h := range held {
		out = append(out, grant.HeldGrant{
			Attempt:        h.Grant.GetAttempt(),
			Upstream:       h.Grant.GetUpstream(),
			Incarnation:    h.Grant.GetIncarnation(),
			Model:          h.Model,
			Adapter:        h.Adapter,
			Class:          h.Class,
			BodyDigest:     h.BodyDigest,
			ExpectedTokens: int(h.ExpectedTokens),
			Cut:            h.Cut,
		})
	}
	return out
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// ceilMilliseconds rounds up to whole milliseconds; durations below 0 give 0.
func ceilMilliseconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
