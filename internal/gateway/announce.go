package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/ctlclient"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// announceDelayPerEntry, multiplied by the number of attached entries, is the least time between two announcements of an
// entry, so that the coordinator gets about 4,000 a second at most.
const announceDelayPerEntry = 250 * time.Microsecond

// An entry that is killed just after the first event of a stream has not reported yet which software began it. While a
// service runs several versions, the origin of a stream is therefore announced when its request is sent, long before the
// first event as a rule, which waits for nothing. If the request goes to another version afterwards, the coordinator has
// to confirm that one before the first event is forwarded: else a stream could go on at the version announced first.

// announcement is what an exchange announced of its stream. Only the exchange uses it.
type announcement struct {
	isMade     bool
	software   string
	attachment uint64        // when the first announcement was made
	confirmed  *confirmation // nil: no other version was announced before
}

// confirmation is the coordinator's answer that it knows the newest announcement of a stream. Server.mu guards pending.
type confirmation struct {
	done    chan struct{} // closed when it has come, or can't come any more
	pending int           // questions without an answer; answers come in their order
}

// announcements are those of streams that have not begun yet, and those to be sent. Its methods need Server.mu.
type announcements struct {
	software    map[streamorigin.Key]string // without a first event so far
	unsent      map[streamorigin.Key]string
	unconfirmed map[streamorigin.Key]*confirmation
	attachments uint64 // streams of coordinators so far
}

func newAnnouncements() announcements {
	return announcements{software: map[streamorigin.Key]string{}, unsent: map[streamorigin.Key]string{}, unconfirmed: map[streamorigin.Key]*confirmation{}}
}

// put announces a version of software for a stream. It reports false if too many are to be sent.
func (l *announcements) put(key streamorigin.Key, software string, a *announcement) bool {
	_, isUnsent := l.unsent[key]
	if !a.isMade && len(l.unsent) >= maxOrigins {
		return false
	}
	switch {
	case !a.isMade:
		a.attachment = l.attachments
	case a.confirmed == nil && isUnsent: // nobody has heard of the first one
	case a.confirmed == nil:
		a.confirmed = &confirmation{}
		fallthrough
	default:
		a.confirmed.done = make(chan struct{})
		l.unconfirmed[key] = a.confirmed
	}
	a.isMade, a.software = true, software
	l.software[key], l.unsent[key] = software, software
	return true
}

// take adds what is to be sent to a report, and the questions whether it has come.
func (l *announcements) take(rep *wire.EntryReport) {
	for key, software := range l.unsent {
		rep.Begun = append(rep.Begun, &wire.StreamOrigin{Request: uint64(key), Software: software})
		if c := l.unconfirmed[key]; c != nil {
			rep.OriginsAsked = append(rep.OriginsAsked, uint64(key))
			c.pending++
		}
	}
	clear(l.unsent)
}

// answer takes an answer of the coordinator, and reports whether it is about an announcement.
func (l *announcements) answer(key streamorigin.Key, o *wire.StreamOrigin) bool {
	software, ok := l.software[key]
	if !ok {
		return false
	}
	c := l.unconfirmed[key]
	if c == nil {
		return true
	}
	c.pending--
	if _, isUnsent := l.unsent[key]; c.pending == 0 && !isUnsent && !o.Unknown && o.Software == software {
		delete(l.unconfirmed, key)
		close(c.done)
	}
	return true
}

// attach returns the announcements in force for the first report to a coordinator. Another one may know those before.
func (l *announcements) attach() []*wire.StreamOrigin {
	l.attachments++
	clear(l.unsent)
	for _, c := range l.unconfirmed {
		close(c.done)
	}
	clear(l.unconfirmed)
	var out []*wire.StreamOrigin
	for key, software := range l.software {
		out = append(out, &wire.StreamOrigin{Request: uint64(key), Software: software})
	}
	return out
}

// settle ends the announcement of a stream that has begun; it is sent if it was not.
func (l *announcements) settle(key streamorigin.Key) {
	delete(l.software, key)
	delete(l.unconfirmed, key)
}

// announceOrigin announces which software the attempt's upstream runs, if its first event would begin the stream.
func (x *exchange) announceOrigin(sl *slot) {
	if !x.route.Resumable || x.needsSoftware || x.begunOn != nil || sl.born != sl.target.BornUnixMs {
		return
	}
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case x.announced.isMade && x.announced.software == sl.target.Software:
		return
	case !x.announced.isMade && !s.core.HasSeveralSoftware(x.service):
		return // an entry that doesn't know the origin goes on at the only version
	case !x.announced.isMade && s.coordinatorAge() > streamTimeout:
		return // there is nobody to tell, and another version could not be confirmed
	}
	if !s.origins.announcements.put(streamorigin.KeyOf(x.info.ID), sl.target.Software, &x.announced) {
		return
	}
	select {
	case s.announceSignal <- struct{}{}:
	default:
	}
}

// confirmOrigin waits before the first event of a stream until no coordinator can take it for one of other software.
func (x *exchange) confirmOrigin(ctx context.Context, sl *slot) error {
	if x.eventForwarded || !x.announced.isMade {
		return nil
	}
	s := x.server
	a := &x.announced
	if sl.born != sl.target.BornUnixMs || sl.target.Software != a.software {
		return errors.Errorf("software %q was announced", a.software)
	}
	if a.confirmed == nil {
		return nil
	}
	timer := time.NewTimer(originTimeout)
	defer timer.Stop()
	select {
	case <-a.confirmed.done:
	case <-timer.C:
		return errors.New("no coordinator confirmed that the stream begins at other software than was announced")
	case <-ctx.Done():
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.origins.announcements.attachments != a.attachment {
		return errors.New("the coordinator has changed since other software was announced for the stream")
	}
	return nil
}

// withdrawAnnouncement forgets what was announced of a stream that did not begin. Nobody takes it up.
func (x *exchange) withdrawAnnouncement() {
	if !x.announced.isMade || x.eventForwarded {
		return
	}
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	key := streamorigin.KeyOf(x.info.ID)
	s.origins.announcements.settle(key)
	delete(s.origins.announcements.unsent, key)
}

// reportStream lets several goroutines send reports.
type reportStream struct {
	mu     sync.Mutex
	stream ctlclient.AttachStream
}

// Send sends one report.
func (r *reportStream) Send(rep *wire.EntryReport) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stream.Send(rep)
}

// sendAnnouncements sends the announcements of some milliseconds at a time, until the stream ends.
func (s *Server) sendAnnouncements(ctx context.Context, reports *reportStream) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announceSignal:
		}
		if pause.For(ctx, max(urgentReportDelay, time.Duration(s.entryCount.Load())*announceDelayPerEntry)) != nil {
			return
		}
		rep := &wire.EntryReport{Changed: true} // builds before ignore origins in reports without a change
		s.mu.Lock()
		if ctx.Err() == nil { // else what is taken now would be lost
			s.origins.announcements.take(rep)
		}
		s.mu.Unlock()
		if len(rep.Begun) > 0 && reports.Send(rep) != nil {
			return // the receiving side fails as well and reattaches
		}
	}
}
