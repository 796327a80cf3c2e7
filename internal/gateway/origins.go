package gateway

import (
	"cmp"
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/errkind"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

const (
	// maxOrigins bounds the streams of one generation whose origin an entry remembers.
	maxOrigins = 4096
	// originTimeout bounds the wait for the coordinator's answer about a stream.
	originTimeout = 500 * time.Millisecond
	// maxProbes bounds the incarnations that are asked at the same time whether they have ended.
	maxProbes = 64
)

// origins holds what an entry knows of the software versions that began streams. Its fields
// are guarded by Server.mu.
type origins struct {
	memory     *streamorigin.Memory
	unreported []*wire.StreamOrigin
	unasked    []uint64                                     // keys to ask the coordinator for
	waiting    map[streamorigin.Key]chan *wire.StreamOrigin // each gets one answer
	unsettled  []unsettledOrigin
}

// unsettledOrigin is the origin of a stream of which it is not known yet that it is true, because the upstream may have
// restarted with other software.
type unsettledOrigin struct {
	key     streamorigin.Key
	service string
	target  *dispatch.Target
	sentAt  time.Duration
	// isOnly is set if the service had no other version when the stream began.
	isOnly bool
}

func newOrigins() origins {
	return origins{memory: streamorigin.NewMemory(maxOrigins), waiting: map[streamorigin.Key]chan *wire.StreamOrigin{}}
}

// findSoftware sets the software version that a resumed stream has to go on at: the one that
// began it, whichever entry the caller was connected to, or else the only one of the service.
// It refuses the request if neither is known, because the events of two versions don't fit
// together.
func (x *exchange) findSoftware() *errkind.Error {
	if !x.route.Resumable || !x.info.HasLastEventID {
		return nil
	}
	s := x.server
	software, ok, isDoubtful := s.originOf(x.r.Context(), x.info.Resumes)
	if !ok && !isDoubtful {
		software, ok = x.onlySoftware()
	}
	if !ok {
		return errkind.New(errkind.NoCapacity, "it is not known which software began the stream of request %q", x.info.Resumes).WithRan(errkind.RanNo)
	}
	x.software, x.needsSoftware = software, true
	return nil
}

// onlySoftware returns the only software version of the service. An entry that has just started waits until it knows of
// all.
func (x *exchange) onlySoftware() (software string, ok bool) {
	s := x.server
	s.mu.Lock()
	wait := s.core.UntilAllKnown(s.now())
	s.mu.Unlock()
	if wait > configTimeout(x.info.Timeout) || wait > 0 && pause.For(x.r.Context(), wait) != nil {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.OnlySoftware(x.service)
}

// recordOrigin notes, at the first event of a stream, which software the rest must come from.
func (x *exchange) recordOrigin() {
	if !x.route.Resumable || x.needsSoftware || x.originUnknown {
		return
	}
	key := streamorigin.KeyOf(x.info.ID)
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	_, isOnly := s.core.OnlySoftware(x.service)
	o := unsettledOrigin{key, x.service, x.target, x.sentAt, isOnly}
	ok, isSettled := s.settleOrigin(o)
	if ok {
		x.software, x.needsSoftware = x.target.Software, true
		return
	}
	x.originUnknown, x.unsettled = true, o
	if !isSettled && len(s.origins.unsettled) < maxOrigins {
		s.origins.unsettled = append(s.origins.unsettled, o)
	}
}

// knowsSoftware reports whether an origin is true. mu must be held.
func (s *Server) knowsSoftware(o unsettledOrigin) (ok, isLasting bool) {
	return s.core.KnowsSoftware(s.now(), o.target, o.sentAt)
}

// settleOrigin records an origin if it is true by now, or withdraws it if that can't be known any more. ok reports whether
// it is true. mu must be held.
func (s *Server) settleOrigin(o unsettledOrigin) (ok, isSettled bool) {
	ok, isLasting := s.knowsSoftware(o)
	if ok {
		s.origins.memory.Put(s.now(), o.key, o.target.Software)
		s.origins.report(&wire.StreamOrigin{Request: uint64(o.key), Software: o.target.Software})
		s.signalReport()
		return true, true
	}
	if !isLasting {
		return false, false
	}
	if _, isOnly := s.core.OnlySoftware(o.service); !isOnly || !o.isOnly {
		s.withdrawOrigin(o.key)
	}
	return false, true
}

// settleOrigins settles the origins that can be. mu must be held.
func (s *Server) settleOrigins() {
	s.origins.unsettled = slices.DeleteFunc(s.origins.unsettled, func(o unsettledOrigin) bool {
		_, isSettled := s.settleOrigin(o)
		return isSettled
	})
}

// withdrawOrigin withdraws the origin of a stream, here and at the coordinator. mu must be held.
func (s *Server) withdrawOrigin(key streamorigin.Key) {
	s.origins.memory.Withdraw(s.now(), key)
	s.origins.report(&wire.StreamOrigin{Request: uint64(key), Withdrawn: true})
	s.signalReport()
}

// report adds an origin to the next report. mu must be held.
func (o *origins) report(origin *wire.StreamOrigin) {
	if len(o.unreported) < maxOrigins {
		o.unreported = append(o.unreported, origin)
	}
}

// cannotGoOn reports whether no upstream may send the rest of the stream after an attempt that has ended: the
// software of its last events is not known, and the service has several versions.
func (x *exchange) cannotGoOn(sl *slot) bool {
	if !x.route.Resumable || !x.eventForwarded {
		return false
	}
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.hasOutput && sl.endCause != nil && errors.Is(sl.endCause(), errSoftwareReplaced) {
		s.withdrawOrigin(streamorigin.KeyOf(cmp.Or(x.info.Resumes, x.info.ID)))
		return true
	}
	if !x.originUnknown {
		return false
	}
	if x.unsettled.target != nil {
		if ok, _ := s.knowsSoftware(x.unsettled); ok {
			x.software, x.needsSoftware, x.originUnknown = x.unsettled.target.Software, true, false
			return false
		}
	}
	x.software, x.needsSoftware = s.core.OnlySoftware(x.service)
	return !x.needsSoftware
}

// noteBroken finds out whether the upstream has ended after a connection to it broke off: one that restarts under
// its id may run other software, which the coordinator tells only after its first heartbeat.
func (x *exchange) noteBroken(sl *slot, cause error) {
	s, seenAt := x.server, x.server.now()
	if errors.Is(cause, syscall.ECONNREFUSED) {
		s.recordEnded(sl, seenAt)
		return
	}
	if !x.route.Resumable || !isConnectionEnd(cause) || sl.endCause() != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := sl.incarnation()
	if s.probing[key] || len(s.probing) >= maxProbes {
		return
	}
	s.probing[key] = true
	go func() {
		if s.pool.Refuses(context.Background(), sl.target.Address) {
			s.recordEnded(sl, seenAt)
		}
		s.mu.Lock()
		delete(s.probing, key)
		s.mu.Unlock()
	}()
}

// recordEnded records that the upstream of an attempt was seen to have ended.
func (s *Server) recordEnded(sl *slot, seenAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.RecordEnded(s.now(), sl.target.ID, sl.target.BornUnixMs, seenAt)
}

// originOf returns the software that began the stream of a request. If this entry doesn't know it, it asks the
// coordinator; ok is false if neither knows it. isDoubtful is set if it is known that it can't be told, or not yet.
func (s *Server) originOf(ctx context.Context, requestID string) (software string, ok, isDoubtful bool) {
	if requestID == "" {
		return "", false, false
	}
	key := streamorigin.KeyOf(requestID)
	s.mu.Lock()
	if software, ok = s.origins.memory.Get(key); ok {
		s.mu.Unlock()
		return software, true, false
	}
	if s.origins.isDoubtful(key) {
		s.mu.Unlock()
		return "", false, true
	}
	answer := s.origins.waiting[key]
	if answer == nil {
		answer = make(chan *wire.StreamOrigin, 1)
		s.origins.waiting[key] = answer
		s.origins.unasked = append(s.origins.unasked, uint64(key))
	}
	s.mu.Unlock()
	s.signalReport()
	timer := time.NewTimer(originTimeout)
	defer timer.Stop()
	select {
	case o := <-answer:
		answer <- o // for others that wait for the same stream
		return o.Software, !o.Unknown, o.Withdrawn
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.origins.waiting, key)
	return "", false, false
}

// isDoubtful reports whether the origin of a stream was withdrawn, or is not known yet although the service has several
// versions. mu must be held.
func (o *origins) isDoubtful(key streamorigin.Key) bool {
	return o.memory.IsWithdrawn(key) ||
		slices.ContainsFunc(o.unsettled, func(u unsettledOrigin) bool { return u.key == key && !u.isOnly })
}

// deliverOrigins passes the coordinator's answers to the requests that wait. mu must be held.
func (s *Server) deliverOrigins(list []*wire.StreamOrigin) {
	for _, o := range list {
		key := streamorigin.Key(o.Request)
		if o.Withdrawn {
			s.origins.memory.Withdraw(s.now(), key)
		} else if !o.Unknown {
			s.origins.memory.Put(s.now(), key, o.Software)
		}
		if answer := s.origins.waiting[key]; answer != nil {
			delete(s.origins.waiting, key)
			answer <- o
		}
	}
}

// takeOrigins adds what is to be reported and asked to a report. mu must be held.
func (o *origins) takeOrigins(rep *wire.EntryReport) {
	rep.Begun, rep.OriginsAsked = o.unreported, o.unasked
	o.unreported, o.unasked = nil, nil
}

// takeAllOrigins adds all that this entry knows and waits for to the first report to a
// coordinator, which may know none of it. mu must be held.
func (o *origins) takeAllOrigins(rep *wire.EntryReport) {
	o.unreported, o.unasked = nil, nil
	o.memory.Each(func(key streamorigin.Key, software string) {
		rep.Begun = append(rep.Begun, &wire.StreamOrigin{Request: uint64(key), Software: software})
	})
	o.memory.EachWithdrawn(func(key streamorigin.Key) {
		rep.Begun = append(rep.Begun, &wire.StreamOrigin{Request: uint64(key), Withdrawn: true})
	})
	for key := range o.waiting {
		rep.OriginsAsked = append(rep.OriginsAsked, uint64(key))
	}
}
