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

// booking is one call of a non-idempotent service. It is recorded in the ledger before
// its first byte is written, and no byte of it is written twice.
type booking struct {
	s        *Server
	job      *job
	key      string
	attempt  string // identity in the ledger; the same for every slot asked for
	recorded bool   // the ledger holds it: the caller's leaving must not end it
	exclude  []string
	notes    []attemptNote
}

// booked is how a booking ended: an answer, stored or new, or an error.
type booked struct {
	answer   *answer
	replayed bool
	omitted  bool // the stored answer was too large to keep its body
	err      *errkind.Error
	notes    []attemptNote
}

// bookOnce answers a call that may run at most once.
func (q *request) bookOnce(j *job) {
	key := q.r.Header.Get(headerKey)
	if key == "" {
		q.fail(errkind.New(errkind.KeyMissing, "service %q is not idempotent: set %s", j.ask.GetService(), headerKey))
		return
	}
	if err := checkName(headerKey, key, maxKeyBytes); err != nil {
		q.fail(err)
		return
	}
	j.header.Set(headerKey, key)
	b := &booking{s: q.s, job: j, key: key, attempt: j.id}
	result := make(chan booked, 1)
	left := q.r.Context()
	q.s.tasks.Go(func() {
		res := b.run(left)
		res.notes = b.notes
		result <- res
	})
	// A call that has been recorded goes on when its caller leaves: cutting it would
	// leave the outcome unknown, while its answer can still be stored for a resend.
	select {
	case res := <-result:
		q.book(res)
	case <-left.Done():
		q.settled(errkind.New(errkind.CallerGone, "the caller left"))
	}
}

func (q *request) book(res booked) {
	q.trail.attempts = res.notes
	if res.err != nil {
		q.fail(res.err)
		return
	}
	if res.replayed {
		q.w.Header().Set(headerReplayed, "true")
		q.s.m.replayed.Inc()
	}
	if res.omitted {
		q.w.Header().Set(headerOmitted, "true")
	}
	writeAnswer(q.w, res.answer, q.id)
	q.settled(nil)
}

// run asks for a slot, records the call and sends it. The slot comes first, so that
// waiting holds no row of the ledger.
func (b *booking) run(left context.Context) booked {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(left), b.job.deadline)
	defer cancel()
	waiting, stop := context.WithCancel(ctx) // ends when the caller leaves, too
	defer stop()
	defer context.AfterFunc(left, stop)()
	for i := range maxAsks {
		slot := b.job.id + "-" + strconv.Itoa(i)
		while := waiting
		if b.recorded {
			while = ctx
		}
		grant, err := b.s.opts.Slots.Ask(while, b.ask(slot))
		if err != nil {
			return b.notRun(errkind.From(err))
		}
		received := b.s.opts.Now()
		if !b.recorded {
			if res, ok := b.record(waiting); !ok {
				b.s.giveBack(grant)
				return res
			}
		}
		if res, again := b.send(ctx, slot, grant, received); !again {
			return res
		}
	}
	return b.notRun(errkind.New(errkind.NoScheduler, "no slot could be used in time"))
}

func (b *booking) ask(slot string) *wire.Ask {
	ask := b.s.askFor(b.job, slot)
	ask.Exclude = b.exclude
	return ask
}

// record begins the call in the ledger; ok says that this entry may send it.
func (b *booking) record(ctx context.Context) (booked, bool) {
	if skipLedger {
		b.recorded = true
		return booked{}, true
	}
	left := max(b.job.deadline.Sub(b.s.opts.Now()), 0)
	cmd := &wire.Command{Op: &wire.Command_LedgerBegin{LedgerBegin: &wire.LedgerBegin{
		Caller:     b.job.caller,
		Key:        b.key,
		Digest:     b.job.digest,
		Attempt:    b.attempt,
		Entry:      b.s.opts.Node,
		DeadlineMs: uint32(left.Milliseconds()),
	}}}
	res, err := b.s.propose(ctx, cmd)
	if err != nil {
		// It may have been recorded; it will not be sent either way.
		b.recorded = true
		return b.notRun(errkind.Wrap(errkind.ControlUnavailable, err, "the call could not be recorded")), false
	}
	return b.maySend(res)
}

// maySend reads the ledger's answer.
func (b *booking) maySend(res *wire.Result) (booked, bool) {
	if res.GetCode() != wire.ResultCode_RESULT_OK {
		return booked{err: errkind.New(errkind.ControlUnavailable, "the ledger refused: %s", res.GetDetail())}, false
	}
	refuse := func(k errkind.Kind, detail string) (booked, bool) {
		return booked{err: errkind.New(k, "%s", detail)}, false
	}
	switch res.GetLedger() {
	case wire.LedgerStatus_LEDGER_NEW:
		b.recorded = true
		return booked{}, true
	case wire.LedgerStatus_LEDGER_IN_PROGRESS:
		// The answer to an earlier proposal of this very attempt was lost.
		if res.GetAttempt() == b.attempt {
			b.recorded = true
			return booked{}, true
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
		return booked{err: errkind.New(errkind.ControlUnavailable, "the ledger answered %s", res.GetLedger())}, false
	}
}

// send makes one call. again says that provably nothing was written, so that another
// slot may be asked for under the same record.
func (b *booking) send(ctx context.Context, slot string, g *wire.Grant, received time.Time) (res booked, again bool) {
	c := &call{
		s:        b.s,
		id:       slot,
		grant:    g,
		gate:     &gate{now: b.s.opts.Now, useBy: useBy(g, received, b.job.deadline)},
		once:     true,
		method:   b.job.method,
		path:     b.job.path,
		header:   b.job.header,
		body:     b.job.body,
		deadline: b.job.deadline,
	}
	sentAt := b.s.opts.Now()
	got, f := c.exchange(ctx)
	b.release(slot, g, outcomeOf(f), sentAt)
	switch {
	case f == nil:
		b.finish(wire.LedgerStatus_LEDGER_DONE, stored(got))
		return booked{answer: got}, false
	case f.unsent:
		if !f.stale {
			b.exclude = append(slices.Clip(b.exclude), g.GetUpstream())
		}
		return booked{}, true
	case f.notRun:
		return b.notRun(f.err), false
	}
	b.finish(wire.LedgerStatus_LEDGER_UNKNOWN, nil)
	return booked{err: errkind.Wrap(errkind.OutcomeUnknown, f.err, "the answer was lost")}, false
}

// exchange makes a call whose answer is not a stream.
func (c *call) exchange(ctx context.Context) (*answer, *failure) {
	res, f := c.do(ctx)
	if f != nil {
		return nil, f
	}
	defer res.Body.Close()
	return c.readWhole(res)
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

func (b *booking) release(slot string, g *wire.Grant, o wire.Outcome, sentAt time.Time) {
	b.notes = append(b.notes, attemptNote{id: slot, grant: g, outcome: o})
	if o == wire.Outcome_OUTCOME_UNUSED {
		b.s.giveBack(g)
		return
	}
	b.s.opts.Slots.Release(&wire.Release{
		Attempt:     slot,
		Outcome:     o,
		DurationMs:  millis(b.s.opts.Now(), sentAt),
		Upstream:    g.GetUpstream(),
		Incarnation: g.GetIncarnation(),
	})
}

// notRun ends a call that provably did not run and will not be sent any more; the key
// becomes free for a resend.
func (b *booking) notRun(err *errkind.Error) booked {
	if b.recorded {
		b.finish(wire.LedgerStatus_LEDGER_NOT_RUN, nil)
	}
	return booked{err: err.WithRan(errkind.RanNo)}
}

// finish records the end and waits for the record, but no longer than FinishWait. A
// caller that has its answer may resend at once, and should then get the stored
// answer; a slow control group must not hold back an answer that is there. The
// recording goes on behind it.
func (b *booking) finish(status wire.LedgerStatus, a *wire.StoredAnswer) {
	cmd := &wire.Command{Op: &wire.Command_LedgerFinish{LedgerFinish: &wire.LedgerFinish{
		Caller:  b.job.caller,
		Key:     b.key,
		Attempt: b.attempt,
		Status:  status,
		Answer:  a,
	}}}
	recorded := make(chan struct{})
	b.s.tasks.Go(func() {
		defer close(recorded)
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		if _, err := b.s.propose(ctx, cmd); err != nil {
			b.s.log.Error("The end of a call could not be recorded.", "request", b.job.id, "error", err)
		}
	})
	timer := time.NewTimer(b.s.opts.FinishWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
}

const (
	finishTimeout     = time.Minute
	proposeTimeout    = 2 * time.Second // of one try
	proposeMinBackoff = 20 * time.Millisecond
	proposeMaxBackoff = time.Second
)

// propose sends a command again until its result is known. Commands of the ledger
// name their attempt, so that a second one changes nothing.
func (s *Server) propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error) {
	backoff := proposeMinBackoff
	for {
		cmd.AtUnixMs = s.opts.Now().UnixMilli()
		try, cancel := context.WithTimeout(ctx, proposeTimeout)
		res, err := s.opts.Ledger.Propose(try, cmd)
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
	maxStoredBytes = 64 << 10
	headerOmitted  = "Idempotent-Body-Omitted"
	contentOmitted = "application/vnd.gentiankeel.omitted+json"
	omittedBody    = `{"omitted":"the answer's body was larger than 65536 bytes and is not stored"}`
)

// stored is what the ledger keeps of an answer.
func stored(a *answer) *wire.StoredAnswer {
	if len(a.body) > maxStoredBytes {
		return &wire.StoredAnswer{Status: uint32(a.status), ContentType: contentOmitted}
	}
	return &wire.StoredAnswer{Status: uint32(a.status), ContentType: a.contentType, Body: a.body}
}

// replay turns a stored answer back.
func replay(a *wire.StoredAnswer) booked {
	res := booked{
		replayed: true,
		answer:   &answer{status: int(a.GetStatus()), contentType: a.GetContentType(), body: a.GetBody()},
	}
	if a.GetContentType() == contentOmitted {
		res.omitted = true
		res.answer.body = []byte(omittedBody)
	}
	if res.answer.status == 0 {
		res.answer.status = http.StatusOK
	}
	return res
}
