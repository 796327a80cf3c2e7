package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpserver"
	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/suspect"
)

const (
	// maxSlotRequests bounds the slot requests of one exchange, including those whose
	// upstream refused the request.
	maxSlotRequests = 6
	// minStreamTime and minCallTime are the shortest times in which an upstream can
	// respond; a request with less time left is refused.
	minStreamTime = 150 * time.Millisecond
	minCallTime   = 10 * time.Millisecond
	// expectedOutputShare is the share of its maximum output tokens that a request is
	// expected to generate.
	expectedOutputShare = 0.6
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 16 << 20
)

// exchange is one caller's request and its one final response.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	body    []byte
	suspect *suspect.Request // what it has in common with other requests; nil until it is needed
	info    RequestInfo
	route   *routing.Route
	service string
	sender  sender        // who sent it, by the configuration that the last attempt was checked against
	version uint64        // version of the configuration that the request was routed by
	started time.Duration // since the server's start, like all other times here
	cfg     retry.Config
	core    *retry.Request // the state machine of the request

	next            retry.Action      // the blocking action to carry out next
	slots           map[int]*slot     // by attempt
	current         *slot             // of the last attempt that was sent
	currentEvent    event             // the last event read from the stream
	buffered        *bufferedResponse // the final response, if it is not a stream
	buffers         []*respbuf.Buffer // bodies in memory
	failureResponse *bufferedResponse // an upstream's own error, used if no attempt succeeds
	headerWritten   bool              // the response's header is written
	eventForwarded  bool              // an event was forwarded
	software        string            // the version that the stream must go on at, if needsSoftware is set
	needsSoftware   bool
	origin          string               // of a stream taken up: how the version that began it was found, or why it was not
	recordsOrigin   bool                 // of a stream taken up at the only version: that is recorded as its origin with its first event
	versionAges     map[string]int64     // of a stream taken up: milliseconds since each version of the last minute was seen here, at the decision
	begunOn         *suspect.Incarnation // the process that began the stream, while its software is not known (start 0: nor the process); nil: it is, or no event was forwarded
	framing         string               // how the end of the last response was marked
	firstEventID    uint64               // id of the first event forwarded that has one
	lastEventID     uint64               // id of the last event forwarded that has one
	hasLastEventID  bool                 // lastEventID is set
	stepsByOne      bool                 // within a run, an id was one above the last one
	stepsOtherwise  bool                 // within a run, an id was more than one above the last one
	lacksPosition   bool                 // an event without an id was forwarded after the last one that has one
	firstByteAt     time.Duration        // when the first byte was written
	lastEventAt     time.Duration        // when the last event was forwarded
	maxGap          time.Duration        // longest pause between two forwarded events
	finalErr        *errkind.Error
	keyRefusal      keyRefusal    // result of the last check of the key
	unitsID         uint64        // of its request for units of its organisation; 0: none
	unitWait        time.Duration // time waited for units
	slotWait        time.Duration // time waited for slots, over all attempts
	expectedRun     time.Duration // time of the last attempt as predicted when it was placed
	sentAt          time.Duration // when it was sent
	attemptCount    int
	upstreams       []string // ids of the upstreams that attempts were sent to, in order
}

// serve handles one request of a caller.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.m.inFlight.Inc()
	defer s.m.inFlight.Dec()
	x := &exchange{server: s, w: w, r: r, started: s.now(), slots: map[int]*slot{}}
	x.info = s.o.Dialect.ParseRequest(r)
	if err := x.admit(); err != nil {
		x.finish(err)
	} else {
		x.run()
	}
	for _, b := range x.buffers {
		b.Release()
	}
	x.logResult()
}

// admit finds the request's route and service and reads its body. An error ends the request
// before any attempt, so that it did not run.
func (x *exchange) admit() *errkind.Error {
	s := x.server
	if s.refusing.Load() {
		x.closeConnection()
		return errkind.New(errkind.Draining, "this entry is shutting down").WithRan(errkind.RanNo)
	}
	table, findErr := x.findRoute(s.o.MaxStale)
	if findErr != nil && findErr.Kind != errkind.StaleConfig {
		// A newer configuration may allow what this one lacks, so a refusal has to wait until
		// the entry is in contact with the coordinator.
		table, findErr = x.findRoute(s.o.RefusalMaxStale)
	}
	if findErr != nil {
		return findErr
	}
	body, err := httpserver.ReadBody(x.r.Body)
	if err != nil {
		return errkind.Wrap(errkind.BadRequest, err, "reading the body").WithRan(errkind.RanNo)
	}
	if limit := table.Config.Limits.MaxBodyBytes; limit > 0 && len(body) > limit {
		return errkind.New(errkind.TooLarge, "the body has %d bytes, %d are allowed", len(body), limit).WithRan(errkind.RanNo)
	}
	x.body = body
	if err := x.findSoftware(); err != nil {
		return err
	}
	if s.draining.Load() {
		x.closeConnection()
	}
	return nil
}

func errNoCurrentConfig() *errkind.Error {
	return errkind.New(errkind.StaleConfig, "no current configuration is known here").WithRan(errkind.RanNo)
}

// findRoute sets the request's route, sender and service by the configuration in force, whose last
// update must not be older than maxAge, and checks that the service has the request's model.
func (x *exchange) findRoute(maxAge time.Duration) (*routing.Table, *errkind.Error) {
	table := x.server.awaitConfig(x.r.Context(), configTimeout(x.info.Timeout), maxAge)
	if table == nil {
		return nil, errNoCurrentConfig()
	}
	x.version = table.Config.Version
	x.route = table.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return nil, errkind.New(errkind.NotFound, "no route for this host and path").WithRan(errkind.RanNo)
	}
	if err := x.authenticate(table); err != nil {
		return nil, err
	}
	x.service = x.route.PickService(cmp.Or(x.info.Resumes, x.info.ID))
	return table, x.checkModel(table.Config)
}

// checkModel refuses a request for a model or adapter that its service does not have. On a
// plain service the model means nothing and is ignored.
func (x *exchange) checkModel(config *routing.Config) *errkind.Error {
	service := config.FindService(x.service)
	switch {
	case service == nil || x.info.Model == "":
	case service.Engine == nil:
		x.info.Model, x.info.Adapter = "", ""
	case !service.Engine.HasModel(x.info.Model, x.info.Adapter):
		return errkind.New(errkind.UnknownModel, "service %s has no such model or adapter", x.service).WithRan(errkind.RanNo)
	}
	return nil
}

// suspectRequest returns what the request has in common with others, whoever sends them and
// through whichever entry.
func (x *exchange) suspectRequest() *suspect.Request {
	if x.suspect == nil {
		model := x.info.Model
		if x.info.Adapter != "" {
			model += "/" + x.info.Adapter
		}
		x.suspect = suspect.NewRequest(x.r.Method, x.r.Host, x.r.URL.EscapedPath(), x.r.URL.RawQuery, x.body, model, sharedPartIDs(&x.info))
	}
	return x.suspect
}

// configTimeout returns how long a request may wait for the configuration: half of the
// caller's timeout, if that is known.
func configTimeout(callerTimeout time.Duration) time.Duration {
	if callerTimeout <= 0 {
		return DefaultConfigWait
	}
	return callerTimeout / 2
}

// closeConnection closes the caller's connection after this response.
func (x *exchange) closeConnection() {
	if c, ok := x.w.(httpserver.ConnectionCloser); ok {
		c.CloseAfterResponse()
	}
}

// run carries out the core's actions until the request has its final response. At most one
// blocking action is open at a time, because hedging is not used; one goroutine suffices.
func (x *exchange) run() {
	timeout := x.route.Timeout
	if x.info.Timeout > 0 {
		timeout = min(timeout, x.info.Timeout)
	}
	defer x.returnUnits()
	b := x.server.retryBudget(x.service)
	b.RecordRequest()
	x.cfg = retry.Config{
		Deadline:        x.started + timeout,
		Idempotent:      x.route.Idempotent(),
		MaxAttempts:     max(x.route.MaxAttempts, 1),
		MaxSlotRequests: maxSlotRequests,
		ExemptNotRun:    true,
	}
	x.core = retry.New(x.cfg, b)
	x.step(retry.Start{})
	for !x.core.Done() {
		next := x.next
		x.next = nil
		switch next := next.(type) {
		case retry.RequestSlot:
			x.step(x.awaitSlot(next))
		case retry.Send:
			x.step(x.runAttempt(next))
		default:
			panic(&retry.InvariantError{Detail: "request " + x.info.ID + " has neither a final response nor a next action"})
		}
	}
}

// step passes an event to the core and carries out the actions that do not block.
func (x *exchange) step(ev retry.Event) {
	for _, a := range x.core.Step(x.server.now(), ev) {
		switch a := a.(type) {
		case retry.RequestSlot, retry.Send:
			x.next = a
		case retry.Forward:
			x.forwardEvent()
		case retry.Release:
			x.release(a.Attempt)
		case retry.Finish:
			x.finish(a.Err)
		}
	}
}

// interruption returns the event for a context that ended: the caller disconnected, or the
// deadline passed.
func (x *exchange) interruption() retry.Event {
	if x.r.Context().Err() != nil {
		return retry.CallerGone{}
	}
	if remaining := x.cfg.Deadline - x.server.now(); remaining > 0 {
		time.Sleep(remaining) // the context's timer may fire slightly early by this clock
	}
	return retry.Tick{}
}

// withDeadline returns the context of the caller's request with the request's deadline.
func (x *exchange) withDeadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(x.r.Context(), x.cfg.Deadline-x.server.now())
}
