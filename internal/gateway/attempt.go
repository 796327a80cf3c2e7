package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"gentiankeel/internal/dispatch"
	"gentiankeel/internal/errkind"
	"gentiankeel/internal/httpresponse"
	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/retry"
	"gentiankeel/internal/routing"
	"gentiankeel/internal/sse"
	"gentiankeel/internal/upclient"
)

// slot is the reservation of an upstream's slot by one attempt.
type slot struct {
	slotRequestID uint64
	target        *dispatch.Target
	released      bool
	outcome       dispatch.Outcome
	sentAt        time.Duration
	endCause      func() error // why the attempt's context ended; nil while it has not
	born          int64        // start of the process that runs the attempt, in Unix ms; 0: not known
	hasOutput     bool         // an event of the response was received
	hasEventID    bool         // one with an id was
	firstOutputAt time.Duration
	lastOutputAt  time.Duration
	readAgainAt   time.Duration // when the last event had been passed on
	answeredAt    time.Duration // 0: not answered with success
}

// event is a server-sent event, with the response that it belongs to.
type event struct {
	raw          []byte
	id           uint64
	hasID        bool
	response     *http.Response
	moreBuffered bool // the next event is buffered already, so no flush is needed before it
}

// bufferedResponse is a response with its complete body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// awaitSlot requests a slot and waits for the decision, the deadline or the caller's
// disconnection. If a new configuration changes who may be served or how urgently, it starts again.
func (x *exchange) awaitSlot(a retry.RequestSlot) retry.Event {
	for {
		if ev := x.awaitSlotOnce(a); ev != nil {
			return ev
		}
	}
}

// awaitSlotOnce is awaitSlot until the sender of the request has to be checked again; then it returns nil.
func (x *exchange) awaitSlotOnce(a retry.RequestSlot) retry.Event {
	if x.server.stopped.Load() {
		return retry.Refused{Attempt: a.Attempt, Err: errkind.New(errkind.Draining, "this entry has stopped").WithRan(errkind.RanNo)}
	}
	if err := x.authenticateAttempt(); err != nil {
		return retry.Refused{Attempt: a.Attempt, Err: err}
	}
	if ev := x.awaitUnits(a.Attempt, x.sender.organisation); ev != nil {
		return ev
	}
	req := x.slotRequest(a)
	var err *errkind.Error
	if req.ExcludeSoftware, err = x.checkSuspect(); err != nil {
		return retry.Refused{Attempt: a.Attempt, Err: err}
	}
	start := x.server.now()
	d, ev := x.awaitDecision(&req)
	x.slotWait += x.server.now() - start
	if d == nil {
		return ev
	}
	x.server.m.slotWait.Observe((x.server.now() - start).Seconds())
	if d.Target == nil {
		err := errkind.New(d.Kind, "%s", d.Detail).WithRan(errkind.RanNo)
		err.RetryAfter = d.RetryAfter
		return retry.Refused{Attempt: a.Attempt, Err: err}
	}
	if !x.senderHolds() {
		x.server.releaseSlot(req.ID, dispatch.Cancelled)
		return nil
	}
	if err := x.checkSuspectOn(d.Target.Software); err != nil { // it was published while this request waited
		x.server.releaseSlot(req.ID, dispatch.Cancelled)
		return retry.Refused{Attempt: a.Attempt, Err: err}
	}
	x.slots[a.Attempt] = &slot{slotRequestID: req.ID, target: d.Target, outcome: dispatch.Cancelled}
	return retry.Granted{Attempt: a.Attempt, Upstream: d.Target.ID}
}

// awaitDecision submits a request for a slot and returns the decision. Without one, the request is cancelled:
// it returns the event for the deadline or the caller's disconnection, or no event if the configuration
// in force changed who may be served or how urgently.
func (x *exchange) awaitDecision(req *dispatch.SlotRequest) (*dispatch.Decision, retry.Event) {
	s := x.server
	start := s.now()
	ctx, cancel := x.withDeadline()
	defer cancel()
	ch := s.requestSlot(*req)
	select {
	case d := <-ch:
		return &d, nil
	default:
	}
	s.log.Info("Request waits for an upstream.", "request", x.info.ID, "service", x.service, "model", x.info.Model,
		"adapter", x.info.Adapter, "priority", req.Priority, "left", x.cfg.Deadline-start,
		"coordinator_age", s.coordinatorAge())
	for {
		changed := s.tableChange() // before the check, so that no change is missed
		if !x.senderHolds() {
			s.cancelSlotRequest(req.ID, ch)
			return nil, nil
		}
		select {
		case d := <-ch:
			return &d, nil
		case <-changed:
		case <-ctx.Done():
			s.cancelSlotRequest(req.ID, ch)
			return nil, x.interruption()
		}
	}
}

// slotRequest builds the request for a slot.
func (x *exchange) slotRequest(a retry.RequestSlot) dispatch.SlotRequest {
	req := dispatch.SlotRequest{
		ID:           x.server.nextRequestID.Add(1),
		Service:      x.service,
		Model:        x.info.Model,
		Adapter:      x.info.Adapter,
		Priority:     x.sender.priority(x.route),
		Organisation: x.sender.name(),
		PromptTokens: x.info.PromptTokens,
		OutputBound:  x.info.MaxOutputTokens,
		Route:        x.route.Name,
		Resumed:      x.info.HasLastEventID || x.hasLastEventID,
		Deadline:     x.cfg.Deadline,
		MinServeTime: minCallTime,
		Software:     x.software, NeedsSoftware: x.needsSoftware,
	}
	if x.route.Kind == routing.Stream {
		req.MinServeTime = minStreamTime
		req.Streams, req.GapTarget, req.LatencyTarget = true, x.route.EventGapTarget, x.route.LatencyTarget
	}
	req.OutputTokens, req.Hinted = expectedOutput(&x.info)
	if len(a.Exclude) > 0 {
		req.Exclude = map[string]bool{}
		for _, id := range a.Exclude {
			req.Exclude[id] = true
		}
	}
	req.PrefixHash, req.PrefixTokens = prefixAffinity(&x.info)
	return req
}

// expectedOutput returns the expected number of output tokens, and whether the caller has said it.
func expectedOutput(info *RequestInfo) (tokens int, hinted bool) {
	switch {
	case info.OutputHint > 0 && info.MaxOutputTokens > 0:
		return min(info.OutputHint, info.MaxOutputTokens), true
	case info.OutputHint > 0:
		return info.OutputHint, true
	}
	return int(expectedOutputShare * float64(info.MaxOutputTokens)), false
}

// sharedPartIDs returns the ids of a prompt's shared parts, which are all but the last one.
func sharedPartIDs(info *RequestInfo) []string {
	var ids []string
	for i := range len(info.PromptParts) - 1 {
		ids = append(ids, info.PromptParts[i].ID)
	}
	return ids
}

// prefixAffinity returns a key and the number of tokens of a prompt's shared parts, which
// are all but the last one. The key covers the model and adapter. Without shared parts both
// are 0.
func prefixAffinity(info *RequestInfo) (key uint64, shared int) {
	if len(info.PromptParts) < 2 {
		return 0, 0
	}
	var b strings.Builder
	b.WriteString(info.Model)
	b.WriteByte('/')
	b.WriteString(info.Adapter)
	for _, p := range info.PromptParts[:len(info.PromptParts)-1] {
		b.WriteByte(',')
		b.WriteString(p.ID)
		shared += p.Tokens
	}
	return max(xxhash.Sum64String(b.String()), 1), shared
}

// runAttempt sends the request to the granted upstream and returns how the attempt ended.
func (x *exchange) runAttempt(a retry.Send) retry.Event {
	sl := x.slots[a.Attempt]
	x.current = sl
	x.attemptCount++
	x.upstreams = append(x.upstreams, sl.target.ID)
	sl.sentAt = x.server.now()
	x.expectedRun, x.sentAt = sl.target.ExpectedRun, sl.sentAt
	x.unitsSent()
	x.server.m.attempts.Inc()
	if x.attemptCount > 1 {
		x.server.m.retries.Inc()
	}
	if x.eventForwarded {
		x.server.m.resumes.Inc()
	}
	ctx, cancel := x.attemptContext(sl)
	defer cancel()
	sl.endCause = func() error { return context.Cause(ctx) }
	res, f := x.call(ctx, sl)
	if f != nil {
		return x.noResponse(ctx, a.Attempt, sl, f)
	}
	defer res.Body.Close()
	x.recordFraming(res)
	info := x.server.o.Dialect.ParseResponse(res)
	x.recordLimit(sl, info)
	x.recordReadiness(sl, info)
	if info.NotRun {
		sl.outcome = dispatch.Refused
		if info.Misdirected {
			sl.outcome = dispatch.Misdirected
		}
		return x.attemptFailed(a.Attempt, retry.Failed{
			Err:    errkind.New(errkind.UpstreamRefused, "upstream %s refused with status %d", sl.target.ID, res.StatusCode),
			NotRun: true,
		})
	}
	if isEventStream(res) && info.Signed {
		return x.readStream(ctx, a.Attempt, sl, res)
	}
	if x.headerWritten {
		// Nothing but the rest of its stream may follow the events that the caller has.
		sl.outcome = dispatch.Failed
		return x.attemptFailed(a.Attempt, retry.Failed{
			Err: errkind.New(errkind.UpstreamFailed, "upstream %s answered with status %d instead of the rest of a stream", sl.target.ID, res.StatusCode),
		})
	}
	return x.readBuffered(ctx, cancel, a.Attempt, sl, res, info)
}

// call sends the attempt's request. If the process that runs it has to be known, that process is asked first. The rest of a
// stream goes to the published incarnation only, whose software is known; a new one is sent to any.
func (x *exchange) call(ctx context.Context, sl *slot) (*http.Response, *upclient.Failure) {
	call := &upclient.Call{Address: sl.target.Address, ID: x.info.ID, Request: x.upstreamRequest(sl.target), Body: x.body,
		OnClosed: func() { x.recordClosed(sl) }}
	if !x.mustIdentify(sl) {
		sl.born = sl.target.BornUnixMs
		return x.server.pool.Do(ctx, call)
	}
	call.Identify = x.identity(sl)
	if x.needsSoftware { // nothing is sent without an answer
		call.Identify.Timeout = (x.cfg.Deadline - x.server.now()) / 2
	}
	call.Identify.Admit = func(born int64) bool {
		call.Request = x.upstreamRequest(sl.target) // with the time that is left by now
		return x.admitProcess(sl, born)
	}
	res, f := x.server.pool.Do(ctx, call)
	if f == nil || x.needsSoftware || !errors.Is(f, upclient.ErrNotIdentified) || ctx.Err() != nil {
		return res, f
	}
	x.server.m.processes.WithLabelValues("silent").Inc()
	call.Identify, call.Request = nil, x.upstreamRequest(sl.target)
	return x.server.pool.Do(ctx, call)
}

// errUpstreamReplaced is the cause of the end of an attempt's context when the incarnation
// that runs it was replaced.
var errUpstreamReplaced = errors.New("another incarnation serves the upstream's address")

// errEntryStops is the cause of the end of an attempt's context when the time for a stop of this entry
// runs out. Its caller gets an answer then, and not a closed connection.
var errEntryStops = errors.New("this entry stops")

// attemptContext returns the context of an attempt, which ends with the caller, at the
// deadline, when the upstream is replaced, or when this entry stops.
func (x *exchange) attemptContext(sl *slot) (context.Context, func()) {
	withDeadline, stop := x.withDeadline()
	ctx, cancel := context.WithCancelCause(withDeadline)
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[sl.slotRequestID] = cancel
	if s.stopped.Load() {
		cancel(errEntryStops)
	}
	return ctx, func() {
		s.mu.Lock()
		delete(s.cancels, sl.slotRequestID)
		s.mu.Unlock()
		cancel(nil)
		stop()
	}
}

// givenUp returns the event of an attempt that this entry gave up, since the caller left, the deadline
// passed or the entry stops; nil if it did not. unsent is set if nothing of the request was sent.
func (x *exchange) givenUp(ctx context.Context, attempt int, sl *slot, unsent bool) retry.Event {
	cause := context.Cause(ctx)
	if cause == nil || errors.Is(cause, errUpstreamReplaced) {
		return nil
	}
	if !unsent {
		x.recordGivenUp(sl)
	}
	if !errors.Is(cause, errEntryStops) {
		if unsent {
			x.unitsNotRun()
		}
		return x.interruption()
	}
	return x.attemptFailed(attempt, retry.Failed{
		Err:    errkind.New(errkind.Interrupted, "this entry stopped before upstream %s had answered", sl.target.ID),
		Unsent: unsent,
	})
}

// upstreamRequest builds the request of an attempt. A resumed stream continues after the
// last event that the caller has.
func (x *exchange) upstreamRequest(t *dispatch.Target) *http.Request {
	info := AttemptInfo{
		UpstreamID: t.ID,
		Remaining:  max(x.cfg.Deadline-x.server.now(), time.Millisecond),
		Priority:   x.sender.priority(x.route),

		HasOrganisations: x.sender.hasOrganisations(),
		Organisation:     x.sender.name(),
	}
	info.LastEventID, info.HasLastEventID = x.position()
	return &http.Request{
		Method: x.r.Method,
		URL:    x.r.URL,
		Host:   x.r.Host,
		Header: x.server.o.Dialect.RequestHeader(x.r.Header, info),
	}
}

// position returns the id of the last event of the stream that the caller has: of the last one forwarded, or
// else the one after which it takes the stream up; false if it has none.
func (x *exchange) position() (eventID uint64, ok bool) {
	if !x.hasLastEventID && x.route.Resumable {
		return x.info.LastEventID, x.info.HasLastEventID
	}
	return x.lastEventID, x.hasLastEventID
}

// attemptFailed logs a failed attempt and returns its event. The failure is final if the caller has an event
// whose position can't be named to another upstream, which would send it again, or one of unknown software.
func (x *exchange) attemptFailed(attempt int, f retry.Failed) retry.Event {
	f.Attempt, f.Final = attempt, x.lacksPosition || !x.knowsRest()
	sl := x.slots[attempt]
	if f.NotRun || f.Unsent {
		x.unitsNotRun()
	}
	attrs := []any{"request", x.info.ID, "upstream", sl.target.ID, "born", sl.target.BornUnixMs, "process_born", sl.born, "address", sl.target.Address,
		"attempt", x.attemptCount, "not_run", f.NotRun, "unsent", f.Unsent, "cut", f.Cut, "final", f.Final}
	if f.Cut {
		x.server.m.cuts.WithLabelValues(strconv.FormatBool(sl.hasOutput)).Inc()
		attrs = append(attrs, "output", sl.hasOutput, "software", sl.target.Software, "traits", x.suspectRequest().Traits(),
			"parts", sharedPartIDs(&x.info))
		x.recordLoss(sl, f.Err)
	}
	x.server.log.Info("Attempt failed.", append(attrs, "error", f.Err.Error())...)
	return f
}

// noResponse returns the event of an attempt without a response. The request is known not to
// have run only if nothing of it was sent.
func (x *exchange) noResponse(ctx context.Context, attempt int, sl *slot, f *upclient.Failure) retry.Event {
	if ev := x.givenUp(ctx, attempt, sl, f.Unsent); ev != nil {
		return ev
	}
	if errors.Is(f, upclient.ErrOtherProcess) { // another slot costs no retry
		sl.outcome = dispatch.Unused
		x.unitsNotRun()
		x.server.log.Info("Attempt not sent.", "request", x.info.ID, "upstream", sl.target.ID, "address", sl.target.Address,
			"attempt", x.attemptCount, "software", x.software, "error", f.Error())
		return retry.GrantUnused{Attempt: attempt}
	}
	if !f.Unsent && errors.Is(f, httpresponse.ErrInvalid) {
		return x.responseInvalid(attempt, sl, f)
	}
	switch {
	case errors.Is(f, upclient.ErrNotIdentified): // it may be fit for other requests
		sl.outcome = dispatch.Unused
	case errors.Is(f, upclient.ErrMisdirected):
		sl.outcome = dispatch.Misdirected
	case f.Unsent:
		sl.outcome = dispatch.Unreachable
	default:
		sl.outcome = dispatch.ConnectionLost
	}
	return x.attemptFailed(attempt, retry.Failed{
		Err:    errkind.Wrap(errkind.UpstreamFailed, f, "upstream %s gave no answer", sl.target.ID),
		Unsent: f.Unsent,
		Cut:    !f.Unsent,
	})
}

func isEventStream(res *http.Response) bool {
	return res.StatusCode == http.StatusOK && strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
}

// readStream forwards the events of a stream as they arrive, until it ends. An event whose
// id does not increase ends it as broken, so that the caller gets no event twice.
func (x *exchange) readStream(ctx context.Context, attempt int, sl *slot, res *http.Response) retry.Event {
	events := newEventReader(respbuf.Limit(res.Body, respbuf.StreamLimit(x.info.MaxOutputTokens)))
	for n := x.core.TokensForwarded(); ; n++ {
		raw, err := events.next()
		if errors.Is(err, io.EOF) && x.framing == framingConnection && x.hasEnded(ctx, sl) {
			return x.streamCutByEnd(attempt, sl)
		}
		if errors.Is(err, io.EOF) {
			sl.outcome = dispatch.Served
			x.recordAnswer(sl, res)
			x.currentEvent = event{response: res}
			return retry.Completed{Attempt: attempt}
		}
		if err != nil {
			if ev := x.givenUp(ctx, attempt, sl, false); ev != nil {
				return ev
			}
			return x.responseBroken(attempt, sl, err)
		}
		ev := event{raw: raw, response: res, moreBuffered: sse.HasBufferedEvent(events.r)}
		ev.id, ev.hasID = x.server.o.Dialect.EventID(raw)
		if last, ok := x.position(); ok && ev.hasID && ev.id <= last {
			return x.responseBroken(attempt, sl, errors.Errorf("event id %d after event id %d", ev.id, last))
		}
		if ev.hasID {
			x.recordEventID(sl, ev.id)
		}
		x.currentEvent = ev
		previous := sl.lastOutputAt
		sl.lastOutputAt = x.server.now()
		if !sl.hasOutput {
			sl.hasOutput, sl.firstOutputAt = true, sl.lastOutputAt
		}
		x.server.recordEvent(sl, previous)
		x.step(retry.Token{Attempt: attempt, Index: n})
		sl.readAgainAt = x.server.now()
		if x.core.Done() {
			return retry.Tick{}
		}
	}
}

// recordEventID records by how much the ids of a stream increase, and reports a run that begins after events that
// no run has sent. It is called before the event is forwarded.
func (x *exchange) recordEventID(sl *slot, id uint64) {
	after, ok := x.position()
	isFirst := !sl.hasEventID
	sl.hasEventID = true
	switch {
	case !ok:
	case !isFirst && id-after == 1:
		x.stepsByOne = true
	case !isFirst:
		x.stepsOtherwise = true
	case id-after > 1 && x.stepsByOne && !x.stepsOtherwise:
		x.server.m.eventGaps.Inc()
		x.server.log.Warn("Events are missing between two runs of a stream.", "request", x.info.ID, "upstream", sl.target.ID,
			"after", after, "first", id)
	}
}

// hasEnded reports whether the process that ran a stream which only its connection delimits has ended. The kernel closes the
// connections of a killed process in the same way as the process does after a response; another process may listen at its
// address already.
func (x *exchange) hasEnded(ctx context.Context, sl *slot) bool {
	var id *upclient.Identify
	if x.tellsProcess(sl) {
		id = x.identity(sl)
	}
	// A process that was silent at first may answer now. ctx has also ended when the process was replaced.
	return x.server.pool.HasEnded(ctx, sl.target.Address, id, sl.processBorn()) || ctx.Err() != nil
}

// streamCutByEnd ends an attempt whose upstream has ended with the stream. That is held against no request, since an
// upstream may also stop after a whole stream.
func (x *exchange) streamCutByEnd(attempt int, sl *slot) retry.Event {
	sl.outcome = dispatch.ConnectionLost
	return x.attemptFailed(attempt, retry.Failed{
		Err: errkind.New(errkind.Interrupted, "upstream %s ended with the connection that delimits the stream", sl.target.ID),
	})
}

// responseBroken ends an attempt whose response broke off or is invalid.
func (x *exchange) responseBroken(attempt int, sl *slot, err error) retry.Event {
	if errors.Is(err, httpresponse.ErrInvalid) {
		return x.responseInvalid(attempt, sl, err)
	}
	sl.outcome = dispatch.ConnectionLost
	return x.attemptFailed(attempt, retry.Failed{
		Err: errkind.Wrap(errkind.Interrupted, err, "the response of upstream %s was incomplete or invalid", sl.target.ID),
		Cut: true,
	})
}

// responseInvalid ends an attempt whose upstream wrote what is not valid HTTP/1.1. The upstream runs on, so that this is not
// held against the request.
func (x *exchange) responseInvalid(attempt int, sl *slot, err error) retry.Event {
	x.server.m.malformed.Inc()
	sl.outcome = dispatch.Failed
	return x.attemptFailed(attempt, retry.Failed{
		Err: errkind.Wrap(errkind.UpstreamFailed, err, "upstream %s answered with an invalid response", sl.target.ID),
	})
}

// readBuffered reads a response that is not a stream to its end. A response without the
// upstream's signature is an error. So is a status that tells callers that the request did
// not run, because here the upstream has not stated that.
func (x *exchange) readBuffered(ctx context.Context, cancel func(), attempt int, sl *slot, res *http.Response, info ResponseInfo) retry.Event {
	body, err := x.server.responses.Read(res.Body, res.ContentLength, maxResponseBytes, cancel)
	if err != nil {
		if !errors.Is(err, respbuf.ErrNoMemory) {
			if ev := x.givenUp(ctx, attempt, sl, false); ev != nil {
				return ev
			}
		}
		return x.responseBroken(attempt, sl, err)
	}
	x.buffers = append(x.buffers, body)
	if !info.Signed || impliesNotRun(res.StatusCode) {
		sl.outcome = dispatch.Failed
		return x.attemptFailed(attempt, retry.Failed{
			Err: errkind.New(errkind.UpstreamFailed, "upstream %s answered with status %d, unsigned or without stating that the request did not run",
				sl.target.ID, res.StatusCode),
		})
	}
	response := &bufferedResponse{status: res.StatusCode, header: res.Header, body: body.Bytes}
	if res.StatusCode >= http.StatusInternalServerError {
		sl.outcome = dispatch.Failed
		x.failureResponse = response
		return x.attemptFailed(attempt, retry.Failed{
			Err: errkind.New(errkind.UpstreamFailed, "upstream %s failed with status %d", sl.target.ID, res.StatusCode),
		})
	}
	sl.outcome = dispatch.Served
	x.recordAnswer(sl, res)
	x.buffered = response
	return retry.Completed{Attempt: attempt}
}

// release releases an attempt's slot, at most once.
func (x *exchange) release(attempt int) {
	sl := x.slots[attempt]
	if sl == nil || sl.released {
		return
	}
	sl.released = true
	x.server.releaseSlot(sl.slotRequestID, sl.outcome)
}
