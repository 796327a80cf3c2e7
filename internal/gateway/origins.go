package gateway

import (
	"context"
	"slices"
	"time"

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
	// unknownRetryAfter is when a caller may take up a stream that a process began of which nothing is published: it
	// exceeds the interval of heartbeats.
	unknownRetryAfter = 2 * time.Second
)

// unknownSoftware is the origin of a stream whose software is not known, as it is kept and reported. No upstream runs
// such a version.
const unknownSoftware = ""

// incarnation is one process of an upstream.
type incarnation struct {
	upstream   string // id
	bornUnixMs int64  // 0: not known
}

// unresolvedOrigin is a stream that was begun by a process of which nothing is published yet.
type unresolvedOrigin struct {
	key     streamorigin.Key
	begunOn incarnation
}

// origins holds what an entry knows of the software versions that began streams. Its fields
// are guarded by Server.mu.
type origins struct {
	memory     *streamorigin.Memory
	unresolved []unresolvedOrigin
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
	if ok && software == unknownSoftware {
		err := errkind.New(errkind.NoCapacity, "the software that began the stream of request %q has not been heard of", x.info.Resumes).WithRan(errkind.RanNo)
		err.RetryAfter = unknownRetryAfter
		return err
	}
	if !ok {
		software, ok = x.onlySoftware()
	}
	if !ok {
		return errkind.New(errkind.NoCapacity, "it is not known which software began the stream of request %q", x.info.Resumes).WithRan(errkind.RanNo)
	}
	x.software, x.needsSoftware = software, true
	return nil
}

// onlySoftware returns the only software version that the service has run lately. An entry that has just started waits until
// it can know of all.
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

// mustIdentify reports whether the process that runs an attempt has to be known, since what is published of its upstream
// may be of an earlier one.
func (x *exchange) mustIdentify(sl *slot) bool {
	return x.route.Resumable && sl.target.BornUnixMs != 0 && x.canIdentify()
}

// canIdentify reports whether upstreams can be asked for the start of their process. Those without an engine can't.
func (x *exchange) canIdentify() bool {
	service := x.server.table.Load().Config.FindService(x.service)
	return service != nil && service.Engine != nil
}

// admitProcess records which process runs an attempt, and reports whether it may.
func (x *exchange) admitProcess(sl *slot, bornUnixMs int64) bool {
	sl.born = bornUnixMs
	s := x.server
	if sl.born == sl.target.BornUnixMs {
		s.m.processes.WithLabelValues("published").Inc()
		return true
	}
	s.m.processes.WithLabelValues("other").Inc()
	s.log.Info("Another process than the published one serves an upstream's address.", "request", x.info.ID, "upstream", sl.target.ID,
		"address", sl.target.Address, "born", sl.target.BornUnixMs, "process_born", sl.born, "coordinator_age", s.coordinatorAge())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.RecordReplaced(sl.target.ID, sl.target.BornUnixMs)
	return !x.needsSoftware
}

// recordOrigin notes, at the first event of a stream, which software the rest must come from.
func (x *exchange) recordOrigin() {
	if !x.route.Resumable || x.needsSoftware || x.begunOn != nil {
		return
	}
	key := streamorigin.KeyOf(x.info.ID)
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.current.born == x.current.target.BornUnixMs {
		x.software, x.needsSoftware = x.current.target.Software, true
		s.recordOrigin(key, x.software)
		return
	}
	x.begunOn = &incarnation{x.current.target.ID, x.current.born}
	s.recordOrigin(key, unknownSoftware)
	if x.begunOn.bornUnixMs != 0 && len(s.origins.unresolved) < maxOrigins {
		s.origins.unresolved = append(s.origins.unresolved, unresolvedOrigin{key, *x.begunOn})
		s.resolveOrigins()
	}
}

// recordOrigin keeps the origin of a stream and reports it. mu must be held.
func (s *Server) recordOrigin(key streamorigin.Key, software string) {
	s.origins.memory.Put(s.now(), key, software)
	if len(s.origins.unreported) < maxOrigins {
		s.origins.unreported = append(s.origins.unreported, &wire.StreamOrigin{Request: uint64(key), Software: software})
	}
	s.signalReport()
}

// resolveOrigins records the origins of streams whose process has been published by now. mu must be held.
func (s *Server) resolveOrigins() {
	s.origins.unresolved = slices.DeleteFunc(s.origins.unresolved, func(o unresolvedOrigin) bool {
		software, ok, isPast := s.core.SoftwareOf(o.begunOn.upstream, o.begunOn.bornUnixMs)
		if ok {
			s.recordOrigin(o.key, software)
		}
		return ok || isPast
	})
}

// knowsRest reports whether it is known which software must send the rest of the stream, if it has begun.
func (x *exchange) knowsRest() bool {
	if x.begunOn == nil {
		return true
	}
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	software, ok, _ := s.core.SoftwareOf(x.begunOn.upstream, x.begunOn.bornUnixMs)
	if ok {
		x.software, x.needsSoftware, x.begunOn = software, true, nil
	}
	return ok
}

// originOf returns the software that began the stream of a request, or unknownSoftware if that is known not to be
// known. If this entry doesn't know it, it asks the coordinator; false if neither knows it.
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
		if !o.Unknown && o.Software != unknownSoftware { // the latter may become known elsewhere
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
