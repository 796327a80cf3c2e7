package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/wire"
)

// ledgerCall is one call of a non-idempotent service. It is recorded in the ledger
// before its first byte is written, and is written at most once.
type ledgerCall struct {
	s             *Server
	job           *job
	key           string
	ledgerAttempt string // attempt id in the ledger, the same for all requested slots
	mayBeRecorded bool   // the ledger may hold the call, which then goes on without its caller
	exclude       []string
	attempts      []attemptRecord
}

// ledgerResult is the end of a ledgerCall: a new or stored response, or an error.
type ledgerResult struct {
	response    *fullResponse
	replayed    bool
	bodyOmitted bool // the response was too large to be stored with its body
	err         *errkind.Error
	attempts    []attemptRecord
}

// callWithLedger serves a call that must run at most once.
func (q *request) callWithLedger(j *job) {
	key := q.r.Header.Get(headerKey)
	if key == "" {
		q.fail(errkind.New(errkind.KeyMissing, "service %q is not idempotent: set %s", j.ask.GetService(), headerKey))
		return
	}
	if err := checkNameHeader(headerKey, key, maxKeyBytes); err != nil {
		q.fail(err)
		return
	}
	j.header.Set(headerKey, key)
	lc := &ledgerCall{s: q.s, job: j, key: key, ledgerAttempt: j.id}
	results := make(chan ledgerResult, 1)
	callerCtx := q.r.Context()
	q.s.tasks.Go(func() {
		result := lc.run(callerCtx)
		result.attempts = lc.attempts
		results <- result
		if result.response != nil {
			result.response.buffer.Release()
		}
	})
	// A recorded call goes on when its caller disconnects: cancelling it would make its
	// outcome unknown, while its response can still be stored for a resend.
	select {
	case result := <-results:
		q.writeLedgerResult(result)
	case <-callerCtx.Done():
		q.finish(errkind.New(errkind.CallerGone, "the caller left"))
	}
}

func (q *request) writeLedgerResult(result ledgerResult) {
	q.record.attempts = result.attempts
	if result.err != nil {
		q.fail(result.err)
		return
	}
	if result.replayed {
		q.w.Header().Set(headerReplayed, "true")
		q.s.m.replayed.Inc()
	}
	if result.bodyOmitted {
		q.w.Header().Set(headerOmitted, "true")
	}
	writeFullResponse(q.w, result.response, q.id)
	q.finish(nil)
}

// run requests a slot, records the call and sends it. It waits for the slot first, so
// that a waiting call occupies no row of the ledger.
func (lc *ledgerCall) run(callerCtx context.Context) ledgerResult {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(callerCtx), lc.job.deadline)
	defer cancel()
	waitCtx, stopWaiting := context.WithCancel(ctx) // also ends when the caller disconnects
	defer stopWaiting()
	defer context.AfterFunc(callerCtx, stopWaiting)()
	for i := range maxSlotRequests {
		attemptID := lc.job.id + "-" + strconv.Itoa(i)
		slotCtx := waitCtx
		if lc.mayBeRecorded {
			slotCtx = ctx
		}
		sendCtx, endSend := context.WithCancel(ctx)
		defer endSend()
		grant, err := lc.s.opts.Scheduler.Acquire(slotCtx, lc.newAsk(attemptID), endSend)
		if err != nil {
			return lc.finishNotRun(errkind.From(err))
		}
		received := lc.s.opts.Now()
		if !lc.mayBeRecorded {
			if result, ok := lc.begin(waitCtx); !ok {
				lc.s.releaseUnused(grant)
				return result
			}
		}
		if result, sendAgain := lc.send(sendCtx, attemptID, grant, received); !sendAgain {
			return result
		}
	}
	return lc.finishNotRun(errkind.New(errkind.NoScheduler, "no slot could be used in time"))
}

func (lc *ledgerCall) newAsk(attemptID string) *wire.Ask {
	ask := lc.s.newAsk(lc.job, attemptID)
	ask.Exclude = lc.exclude
	return ask
}

// begin records the start of the call in the ledger. It reports whether this entry may
// send the call; if not, the result ends it.
func (lc *ledgerCall) begin(ctx context.Context) (ledgerResult, bool) {
	if skipLedger {
		lc.mayBeRecorded = true
		return ledgerResult{}, true
	}
	remaining := max(lc.job.deadline.Sub(lc.s.opts.Now()), 0)
	cmd := &wire.Command{Op: &wire.Command_LedgerBegin{LedgerBegin: &wire.LedgerBegin{
		Caller:     lc.job.caller,
		Key:        lc.key,
		Digest:     lc.job.digest,
		Attempt:    lc.ledgerAttempt,
		Entry:      lc.s.opts.NodeID,
		DeadlineMs: uint32(remaining.Milliseconds()),
	}}}
	res, err := lc.s.propose(ctx, cmd)
	if err != nil {
		// The ledger may hold the call, but it will not be sent.
		lc.mayBeRecorded = true
		return lc.finishNotRun(errkind.Wrap(errkind.ControlUnavailable, err, "the call could not be recorded")), false
	}
	return lc.handleBeginResult(res)
}

// handleBeginResult evaluates the ledger's result of begin and returns what begin does.
func (lc *ledgerCall) handleBeginResult(res *wire.Result) (ledgerResult, bool) {
	if res.GetCode() != wire.ResultCode_RESULT_OK {
		return ledgerResult{err: errkind.New(errkind.ControlUnavailable, "the ledger refused: %s", res.GetDetail())}, false
	}
	refuse := func(k errkind.Kind, detail string) (ledgerResult, bool) {
		return ledgerResult{err: errkind.New(k, "%s", detail)}, false
	}
	switch res.GetLedger() {
	case wire.LedgerStatus_LEDGER_NEW:
		lc.mayBeRecorded = true
		return ledgerResult{}, true
	case wire.LedgerStatus_LEDGER_IN_PROGRESS:
		// This attempt recorded the call before, but the result of that proposal was lost.
		if res.GetAttempt() == lc.ledgerAttempt {
			lc.mayBeRecorded = true
			return ledgerResult{}, true
		}
		return refuse(errkind.InProgress, "the call with this key has not ended")
	case wire.LedgerStatus_LEDGER_DONE:
		return replay(res.GetAnswer()), false
	case wire.LedgerStatus_LEDGER_UNKNOWN:
		return refuse(errkind.OutcomeUnknown, "an earlier call with this key may have run")
	case wire.LedgerStatus_LEDGER_KEY_REUSED:
		return refuse(errkind.KeyReused, "the key was used with another method, path or body")
	case wire.LedgerStatus_LEDGER_KEY_EXPIRED:
		return refuse(errkind.KeyExpired, "the key is past the ledger's window")
	case wire.LedgerStatus_LEDGER_FULL:
		return refuse(errkind.Overloaded, "the ledger's window is full")
	default:
		return ledgerResult{err: errkind.New(errkind.ControlUnavailable, "the ledger answered %s", res.GetLedger())}, false
	}
}

// send makes one call. sendAgain is set if no byte was written, so that the call can be
// sent under another slot and the same ledger record.
func (lc *ledgerCall) send(ctx context.Context, attemptID string, g *wire.Grant, received time.Time) (result ledgerResult, sendAgain bool) {
	c := &call{
		s:          lc.s,
		id:         attemptID,
		grant:      g,
		gate:       &sendGate{now: lc.s.opts.Now, useBy: useBy(g, received, lc.job.deadline)},
		atMostOnce: true,
		method:     lc.job.method,
		path:       lc.job.path,
		header:     lc.job.header,
		body:       lc.job.body,
		deadline:   lc.job.deadline,
	}
	sentAt := lc.s.opts.Now()
	response, f := c.roundTrip(ctx)
	lc.release(attemptID, g, outcomeOf(f), sentAt)
	switch {
	case f == nil:
		lc.finish(wire.LedgerStatus_LEDGER_DONE, newStoredAnswer(response))
		return ledgerResult{response: response}, false
	case f.unsent:
		if !f.stale {
			lc.exclude = append(slices.Clip(lc.exclude), g.GetUpstream())
		}
		return ledgerResult{}, true
	case f.notRun:
		return lc.finishNotRun(f.err), false
	}
	lc.finish(wire.LedgerStatus_LEDGER_UNKNOWN, nil)
	return ledgerResult{err: errkind.Wrap(errkind.OutcomeUnknown, f.err, "the answer was lost")}, false
}

// roundTrip makes a call whose response is not a stream.
func (c *call) roundTrip(ctx context.Context) (*fullResponse, *failure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	response, f := c.do(ctx)
	if f != nil {
		return nil, f
	}
	defer response.Body.Close()
	return c.readBody(response, cancel)
}

func outcomeOf(f *failure) wire.Outcome {
	switch {
	case f == nil:
		return wire.Outcome_OUTCOME_OK
	case f.stale:
		return wire.Outcome_OUTCOME_UNUSED
	case f.notRun:
		return wire.Outcome_OUTCOME_REFUSED
	case f.cut:
		return wire.Outcome_OUTCOME_CUT
	default:
		return wire.Outcome_OUTCOME_FAILED
	}
}

func (lc *ledgerCall) release(attemptID string, g *wire.Grant, o wire.Outcome, sentAt time.Time) {
	lc.attempts = append(lc.attempts, attemptRecord{id: attemptID, grant: g, outcome: o})
	if o == wire.Outcome_OUTCOME_UNUSED {
		lc.s.releaseUnused(g)
		return
	}
	lc.s.opts.Scheduler.Release(&wire.Release{
		Attempt:     attemptID,
		Outcome:     o,
		DurationMs:  elapsedMs(lc.s.opts.Now(), sentAt),
		Upstream:    g.GetUpstream(),
		Incarnation: g.GetIncarnation(),
	})
}

// finishNotRun ends a call that did not run and will not be sent any more. Its key can
// be used again.
func (lc *ledgerCall) finishNotRun(err *errkind.Error) ledgerResult {
	if lc.mayBeRecorded {
		lc.finish(wire.LedgerStatus_LEDGER_NOT_RUN, nil)
	}
	return ledgerResult{err: err.WithRan(errkind.RanNo)}
}

// finish records the end of the call in the ledger. It waits for the record because the
// caller may resend as soon as it has its response, and should then get the stored one.
// It waits no longer than LedgerFinishWait, so that a slow control group does not delay the
// response; the recording then goes on in the background.
func (lc *ledgerCall) finish(status wire.LedgerStatus, answer *wire.StoredAnswer) {
	cmd := &wire.Command{Op: &wire.Command_LedgerFinish{LedgerFinish: &wire.LedgerFinish{
		Caller:  lc.job.caller,
		Key:     lc.key,
		Attempt: lc.ledgerAttempt,
		Status:  status,
		Answer:  answer,
	}}}
	done := make(chan struct{})
	lc.s.tasks.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if _, err := lc.s.propose(ctx, cmd); err != nil {
			lc.s.log.Error("Recording the end of a call in the ledger failed.", "request", lc.job.id, "error", err)
		}
	})
	timer := time.NewTimer(lc.s.opts.LedgerFinishWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

const (
	finishTimeout     = time.Minute     // of all proposals of one finish
	proposeTimeout    = 2 * time.Second // of one proposal
	proposeMinBackoff = 20 * time.Millisecond
	proposeMaxBackoff = time.Second
)

// propose proposes a command, and again after a failure, until it gets a result or ctx
// ends. That is safe because ledger commands carry an attempt id, which makes them
// idempotent.
func (s *Server) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	backoff := proposeMinBackoff
	for {
		cmd.AtUnixMs = s.opts.Now().UnixMilli()
		tryCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
		res, err := s.opts.Ledger.Propose(tryCtx, cmd)
		cancel()
		if err == nil {
			return res, nil
		}
		_ = pause.For(ctx, backoff)
		if ctx.Err() != nil {
			return nil, errors.Wrap(err, "proposing to the control group")
		}
		backoff = min(2*backoff, proposeMaxBackoff)
	}
}

const (
	maxStoredBytes = 64 << 10 // of a response's body
	headerOmitted  = "Idempotent-Body-Omitted"
	contentOmitted = "application/vnd.gentiankeel.omitted+json"
	omittedBody    = `{"omitted":"the answer's body was larger than 65536 bytes and is not stored"}`
)

// newStoredAnswer returns what the ledger stores of a response.
func newStoredAnswer(response *fullResponse) *wire.StoredAnswer {
	if len(response.body) > maxStoredBytes {
		return &wire.StoredAnswer{Status: uint32(response.status), ContentType: contentOmitted}
	}
	return &wire.StoredAnswer{Status: uint32(response.status), ContentType: response.contentType, Body: response.body}
}

// replay rebuilds the response from a stored answer.
func replay(answer *wire.StoredAnswer) ledgerResult {
	result := ledgerResult{
		replayed: true,
		response: &fullResponse{status: int(answer.GetStatus()), contentType: answer.GetContentType(), body: answer.GetBody()},
	}
	if answer.GetContentType() == contentOmitted {
		result.bodyOmitted = true
		result.response.body = []byte(omittedBody)
	}
	if result.response.status == 0 {
		result.response.status = http.StatusOK
	}
	return result
}
