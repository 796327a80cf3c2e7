package retry

import (
	"fmt"
	"sort"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// state of one attempt.
type state int

const (
	asking state = iota // waits for a slot
	sent                // its request may have reached the upstream
	ended               // its slot is given back, or it never had one
)

type attempt struct {
	state    state
	granted  bool
	upstream string
	hedge    bool
	hedgeAt  Time // 0: none
	resumed  int  // tokens that it was told to leave out
	next     int  // position of its next token
	notes    int
	free     bool // brings parts without positions
}

// brought tells whether the attempt's upstream has sent any part of an answer.
func (a *attempt) brought() bool { return a.next > a.resumed || a.notes > 0 }

// Request is the state of one request. It is not safe for concurrent use.
type Request struct {
	cfg    Config
	budget Budget

	attempts []*attempt
	winner   int // the attempt whose parts reach the caller; -1: none yet
	passed   int // tokens passed on
	free     bool
	barren   int  // attempts that were cut before they brought a new token
	began    bool // anything was passed on
	mayRun   bool // an attempt was sent that is not known not to have run
	sends    int
	exclude  map[string]bool
	relaxed  bool           // the exclusions were given up since the last grant
	failure  *errkind.Error // of the last attempt that was sent
	done     bool

	out []Action
}

// New returns the state of a request that has not started.
func New(cfg Config, budget Budget) *Request {
	return &Request{cfg: cfg, budget: budget, winner: -1, exclude: map[string]bool{}}
}

// Done tells whether the final answer was given.
func (r *Request) Done() bool { return r.done }

// Passed returns the number of tokens passed on to the caller.
func (r *Request) Passed() int { return r.passed }

// Step takes one event and returns what is to be done, in order. The result is valid
// until the next call. Events of ended attempts cause nothing.
func (r *Request) Step(now Time, ev Event) []Action {
	r.out = r.out[:0]
	if r.done {
		r.late(ev)
		return r.out
	}
	if now >= r.cfg.Deadline {
		r.expire(ev)
		return r.out
	}
	r.handle(now, ev)
	r.check()
	return r.out
}

func (r *Request) handle(now Time, ev Event) {
	switch ev := ev.(type) {
	case Start:
		r.ask(false)
		r.wake()
	case Granted:
		r.granted(now, ev)
	case Refused:
		r.refused(ev)
	case Unused:
		r.unused(ev)
	case Token:
		r.token(ev)
	case Note:
		r.note(ev)
	case Whole:
		r.whole(ev)
	case Failed:
		r.failed(ev)
	case CallerLeft:
		r.finish(errkind.New(errkind.CallerGone, "the caller left"))
	case Tick:
		r.tick(now)
	}
}

// late gives back a slot whose ask was cancelled while the grant was on its way.
func (r *Request) late(ev Event) {
	g, ok := ev.(Granted)
	if !ok || !r.in(g.Attempt, ended) || r.attempts[g.Attempt].granted {
		return
	}
	r.attempts[g.Attempt].granted = true
	r.emit(Release{g.Attempt, wire.Outcome_OUTCOME_UNUSED})
}

// expire ends the request at its deadline. What comes with it still counts when it
// says that an attempt does not run.
func (r *Request) expire(ev Event) {
	switch ev := ev.(type) {
	case Granted:
		if r.in(ev.Attempt, asking) {
			r.attempts[ev.Attempt].granted = true
			r.end(ev.Attempt, wire.Outcome_OUTCOME_UNUSED)
		}
	case Unused:
		if r.in(ev.Attempt, sent) {
			r.end(ev.Attempt, wire.Outcome_OUTCOME_UNUSED)
		}
	case Failed:
		if r.in(ev.Attempt, sent) {
			r.settle(ev)
		}
	}
	r.finish(errkind.New(errkind.DeadlineExceeded, "no whole answer before the deadline"))
	r.check()
}

func (r *Request) emit(a Action) { r.out = append(r.out, a) }

// in tells whether an attempt exists and is in the state.
func (r *Request) in(i int, s state) bool {
	return i >= 0 && i < len(r.attempts) && r.attempts[i].state == s
}

func (r *Request) live() int {
	n := 0
	for _, a := range r.attempts {
		if a.state != ended {
			n++
		}
	}
	return n
}

// ask opens a new attempt; it reports whether the bound on asks allowed one.
func (r *Request) ask(hedge bool) bool {
	if len(r.attempts) >= r.cfg.MaxAsks {
		return false
	}
	r.attempts = append(r.attempts, &attempt{hedge: hedge})
	r.emit(Ask{
		Attempt: len(r.attempts) - 1,
		Exclude: r.excluded(hedge),
		Hedge:   hedge,
		Retry:   r.sends > 0,
	})
	return true
}

// excluded lists the upstreams not to be used, sorted; a hedge must not share one
// with a running attempt.
func (r *Request) excluded(hedge bool) []string {
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

func (r *Request) granted(now Time, ev Granted) {
	if !r.in(ev.Attempt, asking) {
		r.late(ev)
		return
	}
	a := r.attempts[ev.Attempt]
	a.granted = true
	a.state = sent
	r.relaxed = false
	a.upstream = ev.Upstream
	a.resumed = r.passed
	a.next = r.passed
	r.sends++
	r.emit(Send{ev.Attempt, r.passed})
	if ev.HedgeAfter > 0 && r.mayHedge() {
		a.hedgeAt = now + ev.HedgeAfter
	}
	r.wake()
}

// wake asks for the next Tick.
func (r *Request) wake() {
	at := r.cfg.Deadline
	for _, a := range r.attempts {
		if a.state == sent && a.hedgeAt > 0 {
			at = min(at, a.hedgeAt)
		}
	}
	r.emit(Wake{at})
}

func (r *Request) mayHedge() bool {
	return r.cfg.Hedge && r.cfg.Idempotent && r.sends < r.cfg.MaxAttempts && !r.began && r.live() < 2
}

func (r *Request) tick(now Time) {
	for _, a := range r.attempts {
		if a.state != sent || a.hedgeAt == 0 || a.hedgeAt > now {
			continue
		}
		a.hedgeAt = 0
		if r.mayHedge() && r.budget.Take() {
			r.ask(true)
		}
	}
	r.wake()
}

func (r *Request) refused(ev Refused) {
	if !r.in(ev.Attempt, asking) {
		return
	}
	r.attempts[ev.Attempt].state = ended
	if r.live() > 0 {
		return
	}
	// With few replicas the exclusions may leave no upstream at all.
	if ev.Err.Kind == errkind.NoCapacity && len(r.exclude) > 0 && !r.relaxed {
		r.relaxed = true
		r.exclude = map[string]bool{}
		if r.ask(false) {
			return
		}
	}
	if r.failure != nil {
		r.finish(r.failure)
		return
	}
	r.finish(ev.Err)
}

// unused asks again: nothing was written, so this costs no retry.
func (r *Request) unused(ev Unused) {
	if !r.in(ev.Attempt, sent) {
		return
	}
	if r.attempts[ev.Attempt].brought() {
		r.failed(Failed{
			Attempt: ev.Attempt,
			Err:     errkind.New(errkind.Interrupted, "an attempt that brought parts was called unused"),
			Cut:     true,
		})
		return
	}
	r.sends--
	r.end(ev.Attempt, wire.Outcome_OUTCOME_UNUSED)
	if r.live() > 0 || r.ask(false) {
		return
	}
	r.finish(errkind.New(errkind.NoScheduler, "no slot could be used in time"))
}

func (r *Request) token(ev Token) {
	if !r.in(ev.Attempt, sent) {
		return
	}
	a := r.attempts[ev.Attempt]
	if ev.Index != a.next || a.free {
		r.failed(Failed{
			Attempt: ev.Attempt,
			Err:     errkind.New(errkind.Interrupted, "token %d came where %d was due", ev.Index, a.next),
			Cut:     true,
		})
		return
	}
	r.win(ev.Attempt)
	a.next++
	r.passed = a.next
	r.began = true
	r.emit(Forward{ev.Attempt})
}

// note holds parts without a position back: after a cut the resumed stream brings its
// own. An upstream that numbers nothing is passed on as it comes, but its stream can't
// be resumed.
func (r *Request) note(ev Note) {
	if !r.in(ev.Attempt, sent) {
		return
	}
	i := ev.Attempt
	a := r.attempts[i]
	a.notes++
	fresh := a.next == a.resumed
	switch {
	case fresh && a.resumed > 0:
		r.emit(Drop{i})
	case fresh && a.notes > 1:
		r.win(i)
		a.free = true
		r.free = true
		r.began = true
		r.emit(Forward{i})
	default:
		r.emit(Hold{i})
	}
}

// win makes an attempt the one that the caller hears and ends the others.
func (r *Request) win(i int) {
	if r.winner == i {
		return
	}
	r.winner = i
	for j, a := range r.attempts {
		if j != i && a.state != ended {
			r.cancel(j)
		}
	}
}

func (r *Request) whole(ev Whole) {
	if !r.in(ev.Attempt, sent) {
		return
	}
	i := ev.Attempt
	r.win(i)
	r.emit(Deliver{i})
	r.end(i, wire.Outcome_OUTCOME_OK)
	r.finish(nil)
}

// settle ends a failed attempt and notes what it says about having run.
func (r *Request) settle(ev Failed) {
	a := r.attempts[ev.Attempt]
	r.exclude[a.upstream] = true
	r.failure = ev.Err
	switch {
	case a.brought(): // whatever it is said to be, it ran
		r.mayRun = true
		if a.next == a.resumed {
			r.barren++
		}
		r.end(ev.Attempt, wire.Outcome_OUTCOME_CUT)
	case ev.NotRun:
		r.uncount()
		r.end(ev.Attempt, wire.Outcome_OUTCOME_REFUSED)
	case ev.Unsent:
		r.uncount()
		r.end(ev.Attempt, wire.Outcome_OUTCOME_FAILED)
	case ev.Cut:
		r.mayRun = true
		r.barren++
		r.end(ev.Attempt, wire.Outcome_OUTCOME_CUT)
	default:
		r.mayRun = true
		r.end(ev.Attempt, wire.Outcome_OUTCOME_FAILED)
	}
}

// uncount takes an attempt that did not run out of the bound on runs.
func (r *Request) uncount() {
	if r.cfg.CountRuns {
		r.sends--
	}
}

func (r *Request) failed(ev Failed) {
	if !r.in(ev.Attempt, sent) {
		return
	}
	r.settle(ev)
	if r.winner == ev.Attempt {
		r.winner = -1
	}
	if r.live() > 0 {
		return
	}
	if r.mayRetry() && r.ask(false) {
		return
	}
	r.finish(ev.Err)
}

// maxBarren cuts without a new token end the request: its body may crash each upstream
// that runs it, and must not be led to all of them.
const maxBarren = 2

// mayRetry tells whether another attempt is safe and affordable.
func (r *Request) mayRetry() bool {
	switch {
	case r.mayRun && !r.cfg.Idempotent:
		return false
	case r.free:
		return false // parts without positions can't be resumed
	case r.sends >= r.cfg.MaxAttempts:
		return false
	case r.barren >= maxBarren:
		return false
	}
	return r.budget.Take()
}

// cancel takes back an ask, or ends a call and gives its slot back.
func (r *Request) cancel(i int) {
	wasSent := r.attempts[i].state == sent
	r.emit(Cancel{i})
	if wasSent {
		r.mayRun = true
		r.end(i, wire.Outcome_OUTCOME_CANCELLED)
		return
	}
	// The grant may be on its way: the shell gives it back.
	r.attempts[i].state = ended
}

func (r *Request) end(i int, o wire.Outcome) {
	r.attempts[i].state = ended
	r.emit(Release{i, o})
}

// finish gives the one final answer; err nil means whole.
func (r *Request) finish(err *errkind.Error) {
	for i, a := range r.attempts {
		if a.state != ended {
			r.cancel(i)
		}
	}
	r.done = true
	if err != nil {
		err = r.truthful(err)
	}
	r.emit(Finish{err})
}

// truthful states whether the request ran from what became of its attempts, not from
// the kind of its last error.
func (r *Request) truthful(err *errkind.Error) *errkind.Error {
	if r.mayRun {
		return err.WithRan(errkind.RanMaybe)
	}
	return err.WithRan(errkind.RanNo)
}

// check asserts the invariants that hold after every step.
func (r *Request) check() {
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
		r.broken("%d attempts are open after the final answer", open)
	case !r.done && len(r.attempts) > 0 && open == 0:
		r.broken("no attempt is open and no final answer was given")
	case running > 2:
		r.broken("%d attempts run at once", running)
	case r.winner >= 0 && !r.done && r.attempts[r.winner].state != sent:
		r.broken("the winning attempt %d does not run", r.winner)
	case r.sends > r.cfg.MaxAttempts:
		r.broken("%d attempts were sent, %d allowed", r.sends, r.cfg.MaxAttempts)
	}
}

// Broken is the panic value of a broken invariant; the process must not go on.
type Broken struct{ Reason string }

// Error implements error.
func (b *Broken) Error() string { return "retry: invariant broken: " + b.Reason }

func (r *Request) broken(format string, args ...any) {
	panic(&Broken{fmt.Sprintf(format, args...)})
}
