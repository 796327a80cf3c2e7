package retry

import (
	"fmt"
	"sort"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// attemptState is the state of one attempt.
type attemptState int

const (
	waiting attemptState = iota // for a slot
	sent                        // its request may have reached the upstream
	ended                       // its slot was released, or it never had one
)

type attempt struct {
	state           attemptState
	granted         bool
	upstream        string
	hedge           bool
	hedgeAt         Time // when to hedge; 0: never
	resumeFrom      int  // index of the first token that was requested
	nextIndex       int  // expected index of the next token
	unindexedChunks int
	unindexed       bool // its stream has no token indexes
}

// hasOutput reports whether the attempt has received any part of a response.
func (a *attempt) hasOutput() bool { return a.nextIndex > a.resumeFrom || a.unindexedChunks > 0 }

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	cfg    Config
	budget Budget

	attempts          []*attempt
	winner            int  // the attempt whose response is forwarded; -1: none yet
	forwarded         int  // tokens forwarded to the caller
	unindexed         bool // chunks without token indexes were forwarded
	cutsWithoutToken  int  // attempts that were cut before they received a new token
	responseStarted   bool // anything was forwarded
	mayHaveRun        bool // an attempt was sent that may have run at its upstream
	sends             int  // attempts that count against MaxAttempts
	exclude           map[string]bool
	exclusionsCleared bool           // since the last grant
	lastFailure       *errkind.Error // of the last sent attempt that failed
	done              bool

	actions []Action
}

// New returns the state of a request that has not started.
func New(cfg Config, budget Budget) *Request {
	return &Request{cfg: cfg, budget: budget, winner: -1, exclude: map[string]bool{}}
}

// Done reports whether the request has ended.
func (r *Request) Done() bool { return r.done }

// TokensForwarded returns the number of tokens forwarded to the caller.
func (r *Request) TokensForwarded() int { return r.forwarded }

// Step handles one event and returns the actions to carry out, in order. The result is
// valid until the next call. Events of ended attempts are ignored, except that a grant
// which arrives after its slot request was cancelled is released.
func (r *Request) Step(now Time, ev Event) []Action {
	r.actions = r.actions[:0]
	if r.done {
		r.releaseLateGrant(ev)
		return r.actions
	}
	if now >= r.cfg.Deadline {
		r.onDeadline(ev)
		return r.actions
	}
	r.handle(now, ev)
	r.checkInvariants()
	return r.actions
}

func (r *Request) handle(now Time, ev Event) {
	switch ev := ev.(type) {
	case Start:
		r.requestSlot(false)
		r.setTimer()
	case Granted:
		r.onGranted(now, ev)
	case Refused:
		r.onRefused(ev)
	case GrantUnused:
		r.onGrantUnused(ev)
	case Token:
		r.onToken(ev)
	case UnindexedChunk:
		r.onUnindexedChunk(ev)
	case Completed:
		r.onCompleted(ev)
	case Failed:
		r.onFailed(ev)
	case CallerGone:
		r.finish(errkind.New(errkind.CallerGone, "the caller left"))
	case Tick:
		r.onTick(now)
	}
}

// releaseLateGrant releases a slot that was granted while its request was being
// cancelled.
func (r *Request) releaseLateGrant(ev Event) {
	g, ok := ev.(Granted)
	if !ok || !r.inState(g.Attempt, ended) || r.attempts[g.Attempt].granted {
		return
	}
	r.attempts[g.Attempt].granted = true
	r.emit(Release{g.Attempt, wire.Outcome_OUTCOME_UNUSED})
}

// onDeadline ends the request at its deadline. A grant that arrives with it is released,
// and the end of an attempt is still recorded, so that the error is right about whether
// the request may have run.
func (r *Request) onDeadline(ev Event) {
	switch ev := ev.(type) {
	case Granted:
		if r.inState(ev.Attempt, waiting) {
			r.attempts[ev.Attempt].granted = true
			r.endAttempt(ev.Attempt, wire.Outcome_OUTCOME_UNUSED)
		}
	case GrantUnused:
		if r.inState(ev.Attempt, sent) {
			r.endAttempt(ev.Attempt, wire.Outcome_OUTCOME_UNUSED)
		}
	case Failed:
		if r.inState(ev.Attempt, sent) {
			r.endFailed(ev)
		}
	}
	r.finish(errkind.New(errkind.DeadlineExceeded, "no whole answer before the deadline"))
	r.checkInvariants()
}

func (r *Request) emit(a Action) { r.actions = append(r.actions, a) }

// inState reports whether an attempt exists and is in the state.
func (r *Request) inState(i int, s attemptState) bool {
	return i >= 0 && i < len(r.attempts) && r.attempts[i].state == s
}

func (r *Request) openAttempts() int {
	n := 0
	for _, a := range r.attempts {
		if a.state != ended {
			n++
		}
	}
	return n
}

// requestSlot starts a new attempt. It reports whether the limit on slot requests
// allowed one.
func (r *Request) requestSlot(hedge bool) bool {
	if len(r.attempts) >= r.cfg.MaxSlotRequests {
		return false
	}
	r.attempts = append(r.attempts, &attempt{hedge: hedge})
	r.emit(RequestSlot{
		Attempt: len(r.attempts) - 1,
		Exclude: r.excludedUpstreams(hedge),
		Hedge:   hedge,
		Retry:   r.sends > 0,
	})
	return true
}

// excludedUpstreams lists the upstreams that must not be granted, sorted. A hedge also
// excludes those of the running attempts.
func (r *Request) excludedUpstreams(hedge bool) []string {
	var list []string
	for u := range r.exclude {
		list = append(list, u)
	}
	if hedge {
		for _, a := range r.attempts {
			if a.state == sent && !r.exclude[a.upstream] {
				list = append(list, a.upstream)
			}
		}
	}
	sort.Strings(list)
	return list
}

func (r *Request) onGranted(now Time, ev Granted) {
	if !r.inState(ev.Attempt, waiting) {
		r.releaseLateGrant(ev)
		return
	}
	a := r.attempts[ev.Attempt]
	a.granted = true
	a.state = sent
	r.exclusionsCleared = false
	a.upstream = ev.Upstream
	a.resumeFrom = r.forwarded
	a.nextIndex = r.forwarded
	r.sends++
	r.emit(Send{ev.Attempt, r.forwarded})
	if ev.HedgeAfter > 0 && r.canHedge() {
		a.hedgeAt = now + ev.HedgeAfter
	}
	r.setTimer()
}

// setTimer sets the timer to the next hedge or the deadline.
func (r *Request) setTimer() {
	at := r.cfg.Deadline
	for _, a := range r.attempts {
		if a.state == sent && a.hedgeAt > 0 {
			at = min(at, a.hedgeAt)
		}
	}
	r.emit(SetTimer{at})
}

func (r *Request) canHedge() bool {
	return r.cfg.Hedge && r.cfg.Idempotent && r.sends < r.cfg.MaxAttempts && !r.responseStarted && r.openAttempts() < 2
}

func (r *Request) onTick(now Time) {
	for _, a := range r.attempts {
		if a.state != sent || a.hedgeAt == 0 || a.hedgeAt > now {
			continue
		}
		a.hedgeAt = 0
		if r.canHedge() && r.budget.Take() {
			r.requestSlot(true)
		}
	}
	r.setTimer()
}

func (r *Request) onRefused(ev Refused) {
	if !r.inState(ev.Attempt, waiting) {
		return
	}
	r.attempts[ev.Attempt].state = ended
	if r.openAttempts() > 0 {
		return
	}
	// With few replicas the exclusions can leave no upstream. Try once without them.
	if ev.Err.Kind == errkind.NoCapacity && len(r.exclude) > 0 && !r.exclusionsCleared {
		r.exclusionsCleared = true
		r.exclude = map[string]bool{}
		if r.requestSlot(false) {
			return
		}
	}
	// A withdrawn key is a reason that lasts. An earlier attempt that did not run would invite a retry instead.
	isFinal := ev.Err.Kind == errkind.Unauthorized && !r.mayHaveRun
	if r.lastFailure != nil && !isFinal {
		r.finish(r.lastFailure)
		return
	}
	r.finish(ev.Err)
}

// onGrantUnused requests another slot. Nothing was written, so no retry is spent.
func (r *Request) onGrantUnused(ev GrantUnused) {
	if !r.inState(ev.Attempt, sent) {
		return
	}
	if r.attempts[ev.Attempt].hasOutput() {
		r.onFailed(Failed{
			Attempt: ev.Attempt,
			Err:     errkind.New(errkind.Interrupted, "an attempt that brought parts was called unused"),
			Cut:     true,
		})
		return
	}
	r.sends--
	r.endAttempt(ev.Attempt, wire.Outcome_OUTCOME_UNUSED)
	if r.openAttempts() > 0 || r.requestSlot(false) {
		return
	}
	r.finish(errkind.New(errkind.NoScheduler, "no slot could be used in time"))
}

func (r *Request) onToken(ev Token) {
	if !r.inState(ev.Attempt, sent) {
		return
	}
	a := r.attempts[ev.Attempt]
	if ev.Index != a.nextIndex || a.unindexed {
		r.onFailed(Failed{
			Attempt: ev.Attempt,
			Err:     errkind.New(errkind.Interrupted, "token %d came where %d was due", ev.Index, a.nextIndex),
			Cut:     true,
		})
		return
	}
	r.selectWinner(ev.Attempt)
	a.nextIndex++
	r.forwarded = a.nextIndex
	r.responseStarted = true
	r.emit(Forward{ev.Attempt})
}

// onUnindexedChunk buffers a chunk without a token index until the next token: after a
// cut the resumed stream has such chunks of its own, and forwarding both would repeat
// them. A stream without any token indexes is forwarded as it arrives, but can't be
// resumed.
func (r *Request) onUnindexedChunk(ev UnindexedChunk) {
	if !r.inState(ev.Attempt, sent) {
		return
	}
	i := ev.Attempt
	a := r.attempts[i]
	a.unindexedChunks++
	noTokenYet := a.nextIndex == a.resumeFrom
	switch {
	case noTokenYet && a.resumeFrom > 0:
		r.emit(Drop{i})
	case noTokenYet && a.unindexedChunks > 1:
		r.selectWinner(i)
		a.unindexed = true
		r.unindexed = true
		r.responseStarted = true
		r.emit(Forward{i})
	default:
		r.emit(Buffer{i})
	}
}

// selectWinner makes an attempt the one whose response is forwarded and cancels the
// others.
func (r *Request) selectWinner(i int) {
	if r.winner == i {
		return
	}
	r.winner = i
	for j, a := range r.attempts {
		if j != i && a.state != ended {
			r.cancelAttempt(j)
		}
	}
}

func (r *Request) onCompleted(ev Completed) {
	if !r.inState(ev.Attempt, sent) {
		return
	}
	i := ev.Attempt
	r.selectWinner(i)
	r.emit(Deliver{i})
	r.endAttempt(i, wire.Outcome_OUTCOME_OK)
	r.finish(nil)
}

// endFailed ends a failed attempt and records whether it may have run.
func (r *Request) endFailed(ev Failed) {
	a := r.attempts[ev.Attempt]
	r.exclude[a.upstream] = true
	r.lastFailure = ev.Err
	switch {
	case a.hasOutput(): // it ran, even if NotRun or Unsent is set
		r.mayHaveRun = true
		if a.nextIndex == a.resumeFrom {
			r.cutsWithoutToken++
		}
		r.endAttempt(ev.Attempt, wire.Outcome_OUTCOME_CUT)
	case ev.NotRun:
		r.uncountSend()
		r.endAttempt(ev.Attempt, wire.Outcome_OUTCOME_REFUSED)
	case ev.Unsent:
		r.uncountSend()
		r.endAttempt(ev.Attempt, wire.Outcome_OUTCOME_FAILED)
	case ev.Cut:
		r.mayHaveRun = true
		r.cutsWithoutToken++
		r.endAttempt(ev.Attempt, wire.Outcome_OUTCOME_CUT)
	default:
		r.mayHaveRun = true
		r.endAttempt(ev.Attempt, wire.Outcome_OUTCOME_FAILED)
	}
}

// uncountSend removes an attempt that did not run from the count against MaxAttempts.
func (r *Request) uncountSend() {
	if r.cfg.ExemptNotRun {
		r.sends--
	}
}

func (r *Request) onFailed(ev Failed) {
	if !r.inState(ev.Attempt, sent) {
		return
	}
	r.endFailed(ev)
	if r.winner == ev.Attempt {
		r.winner = -1
	}
	if r.openAttempts() > 0 {
		return
	}
	if !ev.Final && r.takeRetry() && r.requestSlot(false) {
		return
	}
	r.finish(ev.Err)
}

// maxCutsWithoutToken is the number of cuts without a new token after which a request is
// not retried any more: its body may crash every upstream that runs it.
const maxCutsWithoutToken = 2

// takeRetry reports whether another attempt is safe and within all limits. If so, it
// has taken a retry from the budget.
func (r *Request) takeRetry() bool {
	switch {
	case r.mayHaveRun && !r.cfg.Idempotent:
		return false
	case r.unindexed:
		return false // a stream without token indexes can't be resumed
	case r.sends >= r.cfg.MaxAttempts:
		return false
	case r.cutsWithoutToken >= maxCutsWithoutToken:
		return false
	}
	return r.budget.Take()
}

// cancelAttempt cancels a slot request, or cancels a call and releases its slot.
func (r *Request) cancelAttempt(i int) {
	wasSent := r.attempts[i].state == sent
	r.emit(Cancel{i})
	if wasSent {
		r.mayHaveRun = true
		r.endAttempt(i, wire.Outcome_OUTCOME_CANCELLED)
		return
	}
	// The grant may still arrive; releaseLateGrant releases it then.
	r.attempts[i].state = ended
}

func (r *Request) endAttempt(i int, o wire.Outcome) {
	r.attempts[i].state = ended
	r.emit(Release{i, o})
}

// finish cancels the open attempts and ends the request; a nil err means that the
// complete response was delivered.
func (r *Request) finish(err *errkind.Error) {
	for i, a := range r.attempts {
		if a.state != ended {
			r.cancelAttempt(i)
		}
	}
	r.done = true
	if err != nil {
		err = r.withRan(err)
	}
	r.emit(Finish{err})
}

// withRan returns a copy of err that states whether the request may have run. The
// statement covers all attempts, not only the one that caused the error.
func (r *Request) withRan(err *errkind.Error) *errkind.Error {
	if r.mayHaveRun {
		return err.WithRan(errkind.RanMaybe)
	}
	return err.WithRan(errkind.RanNo)
}

// checkInvariants panics if an invariant does not hold after a step.
func (r *Request) checkInvariants() {
	open, running := 0, 0
	for _, a := range r.attempts {
		if a.state != ended {
			open++
		}
		if a.state == sent {
			running++
		}
	}
	switch {
	case r.done && open > 0:
		r.failInvariant("%d attempts are open after the end of the request", open)
	case !r.done && len(r.attempts) > 0 && open == 0:
		r.failInvariant("no attempt is open but the request has not ended")
	case running > 2:
		r.failInvariant("%d attempts run at once, at most 2 are allowed", running)
	case r.winner >= 0 && !r.done && r.attempts[r.winner].state != sent:
		r.failInvariant("winning attempt %d is not running", r.winner)
	case r.sends > r.cfg.MaxAttempts:
		r.failInvariant("%d attempts were sent, at most %d are allowed", r.sends, r.cfg.MaxAttempts)
	}
}

// InvariantError is the panic value of a violated invariant. The process must exit.
type InvariantError struct{ Detail string }

// Error implements error.
func (e *InvariantError) Error() string { return "retry: invariant broken: " + e.Detail }

func (r *Request) failInvariant(format string, args ...any) {
	panic(&InvariantError{fmt.Sprintf(format, args...)})
}
