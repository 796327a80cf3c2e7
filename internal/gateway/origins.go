package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/upclient"
	"gentiankeel/internal/wire"
)

const (
	// maxOrigins bounds the origins of one generation that an entry remembers. Each stream has two, by its request and by
	// its content.
	maxOrigins = 8192
	// originTimeout bounds the wait for the coordinator's answer about a stream.
	originTimeout = 500 * time.Millisecond
	// unknownRetryAfter is when a caller may take up a stream that a process began of which nothing is published: it
	// exceeds the interval of heartbeats.
	unknownRetryAfter = 2 * time.Second
	// unansweredRetryAfter is when a caller may ask again if no coordinator has answered: it exceeds a change of coordinator.
	unansweredRetryAfter = time.Second
)

// maxVersionsWait bounds the wait of a request until all versions of software are known. It exceeds the interval of heartbeats.
const maxVersionsWait = 2 * time.Second

// unresolvedOrigin is a stream that was begun by a process of which nothing is published yet.
type unresolvedOrigin struct {
	key     streamorigin.Key
	begunOn suspect.Incarnation
	since   time.Duration
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
	software, found := x.findOrigin()
	x.origin = found.String()
	defer x.recordVersionAges()
	switch {
	case found.isKnown() && software == streamorigin.Unknown:
		x.origin = "process_unknown"
		return x.errOriginUnknown("the software that began %s has not been heard of", unknownRetryAfter)
	case found == originUnanswered:
		return x.errOriginUnknown("no coordinator told which software began %s", unansweredRetryAfter)
	case !found.isKnown():
		var wait time.Duration
		if software, wait = x.onlySoftware(); wait > 0 {
			return x.errOriginUnknown("it is not known which software began %s", wait)
		}
		x.origin, x.recordsOrigin = "only_version", true
	}
	x.software, x.needsSoftware = software, true
	return nil
}

// findOrigin returns the software that began the stream that the request takes up. A stream whose caller does not name the
// request that began it is found by the content of the request, which others may share: the coordinator is asked as well if
// this entry remembers one.
func (x *exchange) findOrigin() (software string, found originResult) {
	s := x.server
	key := x.takenUpKey()
	s.mu.Lock()
	remembered, isRemembered := s.origins.memory.Get(key)
	s.mu.Unlock()
	software, found = remembered, originRemembered
	if !isRemembered || x.info.Resumes == "" {
		software, found = s.askOrigin(x.r.Context(), key)
		switch {
		case isRemembered && found == originTold:
			software = streamorigin.Join(remembered, software)
		case isRemembered && found == originUnknown:
			software, found = remembered, originRemembered
		}
	}
	if software == streamorigin.Several {
		return "", originSeveral
	}
	return software, found
}

// takenUpKey returns the key of the stream that the request takes up.
func (x *exchange) takenUpKey() streamorigin.Key {
	if x.info.Resumes != "" {
		return streamorigin.KeyOf(x.info.Resumes)
	}
	return x.contentKey()
}

// contentKey returns the key of what the request asks for.
func (x *exchange) contentKey() streamorigin.Key {
	fields := []string{x.r.Method, x.r.Host, x.r.URL.EscapedPath(), x.r.URL.RawQuery, x.info.Model, x.info.Adapter}
	for _, p := range x.info.PromptParts {
		fields = append(fields, p.ID)
	}
	return streamorigin.KeyOfContent(x.body, fields...)
}

// streamName names the stream that the request takes up in messages.
func (x *exchange) streamName() string {
	if x.info.Resumes == "" {
		return "the stream of a request that is not named"
	}
	return fmt.Sprintf("the stream of request %q", x.info.Resumes)
}

// recordVersionAges records what this entry knew of the service's software.
func (x *exchange) recordVersionAges() {
	x.server.mu.Lock()
	defer x.server.mu.Unlock()
	x.versionAges = map[string]int64{}
	for version, age := range x.server.core.SoftwareAges(x.service) {
		x.versionAges[version] = age.Milliseconds()
	}
}

func (x *exchange) errOriginUnknown(format string, retryAfter time.Duration) *errkind.Error {
	return errkind.New(errkind.NoCapacity, format, x.streamName()).WithRan(errkind.RanNo).WithRetryAfter(retryAfter)
}

// onlySoftware returns the only software version that the service has run lately, or else the time until it can be known. An
// entry that has just started waits until it can know of all.
func (x *exchange) onlySoftware() (software string, wait time.Duration) {
	s := x.server
	s.mu.Lock()
	wait = s.core.UntilAllKnown(s.now())
	s.mu.Unlock()
	if wait > min(maxVersionsWait, configTimeout(x.info.Timeout)) || wait > 0 && pause.For(x.r.Context(), wait) != nil {
		return "", wait
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	software, ok := s.core.OnlySoftware(x.service)
	if !ok {
		return "", max(s.core.UntilOnlySoftware(x.service), unansweredRetryAfter)
	}
	return software, 0
}

// tellsProcess reports whether the upstream of an attempt can be asked which process it is: one without an engine can't.
func (x *exchange) tellsProcess(sl *slot) bool {
	if sl.target.BornUnixMs == 0 {
		return false
	}
	service := x.server.table.Load().Config.FindService(x.service)
	return service != nil && service.Engine != nil
}

// mustIdentify reports whether the process that runs an attempt has to be known, since what is published of its upstream
// may be of an earlier one.
func (x *exchange) mustIdentify(sl *slot) bool { return x.route.Resumable && x.tellsProcess(sl) }

// identity returns the question which process serves the upstream of an attempt.
func (x *exchange) identity(sl *slot) *upclient.Identify {
	d := x.server.o.Dialect
	return &upclient.Identify{Request: d.IdentityRequest(sl.target.ID, sl.target.Address), Parse: d.ParseIdentity}
}

// admitProcess records which process runs an attempt, and reports whether it may.
func (x *exchange) admitProcess(sl *slot, bornUnixMs int64) bool {
	sl.born = bornUnixMs
	s := x.server
	if sl.born == 0 { // as with upstreams that can't be asked, what is published counts
		sl.born = sl.target.BornUnixMs
		s.m.processes.WithLabelValues("untold").Inc()
		return true
	}
	s.mu.Lock()
	s.core.RecordProcess(sl.slotRequestID, sl.born)
	s.mu.Unlock()
	if sl.born == sl.target.BornUnixMs {
		s.m.processes.WithLabelValues("published").Inc()
		return true
	}
	s.m.processes.WithLabelValues("other").Inc()
	s.log.Info("Another process than the published one serves an upstream's address.", "request", x.info.ID, "upstream", sl.target.ID,
		"address", sl.target.Address, "born", sl.target.BornUnixMs, "process_born", sl.born, "coordinator_age", s.coordinatorAge())
	return !x.needsSoftware
}

// recordOrigin notes, at the first event of a stream, which software the rest must come from.
func (x *exchange) recordOrigin() {
	if !x.route.Resumable || x.needsSoftware && !x.recordsOrigin || x.begunOn != nil {
		return
	}
	s := x.server
	if x.recordsOrigin { // later on, another version may run as well
		x.recordsOrigin = false
		key := x.takenUpKey()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordOrigin(x.software, key)
		return
	}
	key, content := streamorigin.KeyOf(x.info.ID), x.contentKey()
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.current.born == x.current.target.BornUnixMs {
		x.software, x.needsSoftware = x.current.target.Software, true
		s.recordOrigin(x.software, key, content)
		return
	}
	x.begunOn = &suspect.Incarnation{Upstream: x.current.target.ID, BornUnixMs: x.current.born}
	s.recordOrigin(streamorigin.Unknown, key)
	s.recordOrigin(streamorigin.Several, content) // a version that is known of another stream must not replace it
	if x.begunOn.BornUnixMs != 0 && len(s.origins.unresolved) < maxOrigins {
		s.origins.unresolved = append(s.origins.unresolved, unresolvedOrigin{key, *x.begunOn, s.now()})
		s.resolveOrigins(s.core.Upstreams()) // it may have been published since
	}
}

// recordOrigin keeps the origin of a stream and reports it. mu must be held.
func (s *Server) recordOrigin(software string, keys ...streamorigin.Key) {
	for _, key := range keys {
		s.origins.memory.Put(s.now(), key, software)
		if len(s.origins.unreported) < maxOrigins {
			s.origins.unreported = append(s.origins.unreported, &wire.StreamOrigin{Request: uint64(key), Software: software})
		}
	}
	s.signalReport()
}

// resolveOrigins records the origins of streams whose process is among the states published, and drops those that can't be
// known any more. mu must be held.
func (s *Server) resolveOrigins(published []*wire.UpstreamState) {
	if len(s.origins.unresolved) == 0 {
		return
	}
	states := make(map[string]*wire.UpstreamState, len(published))
	for _, u := range published {
		states[u.Id] = u
	}
	s.origins.unresolved = slices.DeleteFunc(s.origins.unresolved, func(o unresolvedOrigin) bool {
		u := states[o.begunOn.Upstream]
		if u == nil || u.BornUnixMs < o.begunOn.BornUnixMs {
			return s.now()-o.since >= streamorigin.TTL
		}
		if u.BornUnixMs == o.begunOn.BornUnixMs && u.Phase != wire.UpstreamPhase_PHASE_GONE { // its end names no software
			s.recordOrigin(u.Software, o.key)
		}
		return true
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
	software, ok := s.core.SoftwareOf(x.begunOn.Upstream, x.begunOn.BornUnixMs)
	if ok {
		x.software, x.needsSoftware, x.begunOn = software, true, nil
	}
	return ok
}

// What is known of the origin of a stream.
type originResult int

const (
	originUnknown    originResult = iota // the coordinator does not know it either
	originRemembered                     // by this entry, including that its software is not known
	originTold                           // by the coordinator, the same
	originUnanswered                     // no coordinator answered
	originSeveral                        // streams of the same content began at several versions
)

// String implements fmt.Stringer; it is used as a log value and metric label.
func (r originResult) String() string {
	return [...]string{"unknown", "remembered", "told", "unanswered", "several"}[r]
}

func (r originResult) isKnown() bool { return r == originRemembered || r == originTold }

// askOrigin asks the coordinator for the software that began a stream.
func (s *Server) askOrigin(ctx context.Context, key streamorigin.Key) (software string, result originResult) {
	s.mu.Lock()
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
		if o.Unknown {
			return "", originUnknown
		}
		return o.Software, originTold
	case <-timer.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.origins.waiting, key)
	return "", originUnanswered
}

// deliverOrigins passes the coordinator's answers to the requests that wait. mu must be held.
func (s *Server) deliverOrigins(list []*wire.StreamOrigin) {
	for _, o := range list {
		key := streamorigin.Key(o.Request)
		if !o.Unknown && o.Software != streamorigin.Unknown { // the latter may become known elsewhere
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
