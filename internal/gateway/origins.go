package gateway

import (
	"context"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

const (
	// maxOrigins bounds the streams of one generation whose origin an entry remembers.
	maxOrigins = 4096
	// originTimeout bounds the wait for the coordinator's answer about a stream.
	originTimeout = 500 * time.Millisecond
)

// origins holds what an entry knows of the software versions that began streams. Its fields
// are guarded by Server.mu.
type origins struct {
	memory     *streamorigin.Memory
	unreported []*wire.StreamOrigin
	unasked    []uint64                                     // keys to ask the coordinator for
	waiting    map[streamorigin.Key]chan *wire.StreamOrigin // each gets one answer
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
	software, ok := s.originOf(x.r.Context(), x.info.Resumes)
	if !ok {
		s.mu.Lock()
		software, ok = s.core.OnlySoftware(x.service)
		s.mu.Unlock()
	}
	if !ok {
		return errkind.New(errkind.NoCapacity, "it is not known which software began the stream of request %q", x.info.Resumes).WithRan(errkind.RanNo)
	}
	x.software, x.needsSoftware = software, true
	return nil
}

// recordOrigin notes, at the first event of a stream, which software the rest must come from.
func (x *exchange) recordOrigin() {
	if !x.route.Resumable || x.needsSoftware {
		return
	}
	x.software, x.needsSoftware = x.attemptSoftware, true
	key := streamorigin.KeyOf(x.info.ID)
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.origins.memory.Put(s.now(), key, x.software)
	if len(s.origins.unreported) < maxOrigins {
		s.origins.unreported = append(s.origins.unreported, &wire.StreamOrigin{Request: uint64(key), Software: x.software})
	}
	s.signalReport()
}

// originOf returns the software that began the stream of a request. If this entry doesn't know
// it, it asks the coordinator; false if neither knows it.
func (s *Server) originOf(ctx context.Context, requestID string) (software string, ok bool) {
	if requestID == "" {
		return "", false
	}
	key := streamorigin.KeyOf(requestID)
	s.mu.Lock()
	if software, ok = s.origins.memory.Get(key); ok {
		s.mu.Unlock()
		return software, true
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
		return o.Software, !o.Unknown
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.origins.waiting, key)
	return "", false
}

// deliverOrigins passes the coordinator's answers to the requests that wait. mu must be held.
func (s *Server) deliverOrigins(list []*wire.StreamOrigin) {
	for _, o := range list {
		key := streamorigin.Key(o.Request)
		if !o.Unknown {
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
	for key := range o.waiting {
		rep.OriginsAsked = append(rep.OriginsAsked, uint64(key))
	}
}
