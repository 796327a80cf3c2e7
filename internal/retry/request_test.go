package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// fixedBudget always or never allows a retry.
type fixedBudget bool

func (b fixedBudget) Take() bool { return bool(b) }

func testConfig() Config {
	return Config{Deadline: time.Minute, Idempotent: true, Hedge: true, MaxAttempts: 3, MaxSlotRequests: 8}
}

func granted(i int, upstream string) Granted { return Granted{Attempt: i, Upstream: upstream} }

func cutFailure(i int) Failed {
	return Failed{Attempt: i, Err: errkind.New(errkind.Interrupted, "cut"), Cut: true}
}

// stepAll handles events at time zero and returns all actions.
func stepAll(r *Request, events ...Event) []Action {
	var all []Action
	for _, ev := range events {
		all = append(all, r.Step(0, ev)...)
	}
	return all
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var list []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

func TestCut_ResumedOnAnotherUpstream(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(true))
	got := stepAll(r, Start{}, granted(0, "u1"), Token{0, 0}, Token{0, 1}, cutFailure(0), granted(1, "u2"))
	is.Equal(actionsOf[RequestSlot](got)[1].Exclude, []string{"u1"})
	is.Equal(actionsOf[Send](got)[1], Send{1, 2})
	got = stepAll(r, Token{1, 2}, Completed{1})
	is.Equal(len(actionsOf[Forward](got)), 1)
	is.Equal(actionsOf[Finish](got)[0].Err, nil)
	is.Equal(r.TokensForwarded(), 3)
}

func TestCut_FinalIsNotResumed(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(true))
	f := cutFailure(0)
	f.Final = true
	got := stepAll(r, Start{}, granted(0, "u1"), Token{0, 0}, f)
	is.Equal(len(actionsOf[RequestSlot](got)), 1)
	is.Equal(actionsOf[Finish](got)[0].Err.Kind, errkind.Interrupted)
	is.True(r.Done())
}

func TestRetry_BudgetExhausted(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(false))
	got := stepAll(r, Start{}, granted(0, "u1"), cutFailure(0))
	is.Equal(len(actionsOf[RequestSlot](got)), 1)
	is.Equal(actionsOf[Finish](got)[0].Err.Kind, errkind.Interrupted)
}

func TestRetry_NonIdempotentRequest(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.Idempotent = false
	got := stepAll(New(cfg, fixedBudget(true)), Start{}, granted(0, "u1"), cutFailure(0))
	is.Equal(len(actionsOf[RequestSlot](got)), 1)
	is.Equal(actionsOf[Finish](got)[0].Err.Ran, errkind.RanMaybe)
	refused := Failed{Attempt: 0, Err: errkind.New(errkind.UpstreamRefused, ""), NotRun: true}
	got = stepAll(New(cfg, fixedBudget(true)), Start{}, granted(0, "u1"), refused)
	is.Equal(len(actionsOf[RequestSlot](got)), 2) // it did not run, so a retry is safe
}

func TestRetry_TwoCutsWithoutNewToken(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(true))
	got := stepAll(r, Start{}, granted(0, "u1"), cutFailure(0), granted(1, "u2"), cutFailure(1))
	is.Equal(len(actionsOf[Send](got)), 2)
	is.Equal(actionsOf[Finish](got)[0].Err.Kind, errkind.Interrupted)
	r = New(testConfig(), fixedBudget(true)) // progress in between allows another resume
	got = stepAll(r, Start{}, granted(0, "u1"), Token{0, 0}, cutFailure(0), granted(1, "u2"), Token{1, 1}, cutFailure(1))
	is.Equal(len(actionsOf[RequestSlot](got)), 3)
}

func TestGrantUnused_SlotRequestedAgainWithoutBudget(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(false))
	got := stepAll(r, Start{}, granted(0, "u1"), GrantUnused{0})
	is.Equal(len(actionsOf[RequestSlot](got)), 2)
	is.Equal(actionsOf[Release](got), []Release{{0, wire.Outcome_OUTCOME_UNUSED}})
	got = r.Step(time.Minute, Tick{})
	is.Equal(actionsOf[Finish](got)[0].Err.Ran, errkind.RanNo)
}

func TestDeadline_AttemptRunning(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(true))
	stepAll(r, Start{}, granted(0, "u1"))
	got := r.Step(time.Minute, Tick{})
	is.Equal(actionsOf[Finish](got)[0].Err.Kind, errkind.DeadlineExceeded)
	is.Equal(actionsOf[Finish](got)[0].Err.Ran, errkind.RanMaybe)
	is.Equal(actionsOf[Release](got), []Release{{0, wire.Outcome_OUTCOME_CANCELLED}})
}

func TestDeadline_WaitingForSlot(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(true))
	stepAll(r, Start{})
	got := r.Step(time.Minute, Tick{})
	is.Equal(actionsOf[Finish](got)[0].Err.Ran, errkind.RanNo)
	is.Equal(len(actionsOf[Cancel](got)), 1)
	// The grant arrives after the cancel and is released once.
	is.Equal(actionsOf[Release](r.Step(time.Minute, granted(0, "u1"))), []Release{{0, wire.Outcome_OUTCOME_UNUSED}})
	is.Equal(len(r.Step(time.Minute, granted(0, "u1"))), 0)
}

func TestHedge_FirstTokenSelectsWinner(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(true))
	got := stepAll(r, Start{}, Granted{Attempt: 0, Upstream: "u1", HedgeAfter: 100 * time.Millisecond})
	timers := actionsOf[SetTimer](got)
	is.Equal(timers[len(timers)-1].At, 100*time.Millisecond)
	got = r.Step(100*time.Millisecond, Tick{})
	is.Equal(actionsOf[RequestSlot](got), []RequestSlot{{Attempt: 1, Exclude: []string{"u1"}, Hedge: true, Retry: true}})
	got = stepAll(r, granted(1, "u2"), Token{1, 0})
	is.Equal(actionsOf[Cancel](got), []Cancel{{0}})
	is.Equal(actionsOf[Release](got), []Release{{0, wire.Outcome_OUTCOME_CANCELLED}})
	is.Equal(len(stepAll(r, Token{0, 0})), 0) // late token of the cancelled attempt
}

func TestHedge_NotAllowed(t *testing.T) {
	grant := Granted{Attempt: 0, Upstream: "u1", HedgeAfter: time.Millisecond}
	for name, setup := range map[string]func() *Request{
		"first token received": func() *Request {
			r := New(testConfig(), fixedBudget(true))
			stepAll(r, Start{}, grant, Token{0, 0})
			return r
		},
		"budget exhausted": func() *Request {
			r := New(testConfig(), fixedBudget(false))
			stepAll(r, Start{}, grant)
			return r
		},
		"hedging disabled": func() *Request {
			cfg := testConfig()
			cfg.Hedge = false
			r := New(cfg, fixedBudget(true))
			stepAll(r, Start{}, grant)
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(len(actionsOf[RequestSlot](setup().Step(time.Second, Tick{}))), 0)
		})
	}
}

func TestToken_RepeatedOrSkippedIndex(t *testing.T) {
	is := is.New(t)
	for _, index := range []int{0, 2} {
		r := New(testConfig(), fixedBudget(false))
		got := stepAll(r, Start{}, granted(0, "u1"), Token{0, 0}, Token{0, index})
		is.Equal(len(actionsOf[Forward](got)), 1)
		is.Equal(actionsOf[Finish](got)[0].Err.Kind, errkind.Interrupted)
	}
}

func TestUnindexedChunk_BufferedUntilNextToken(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(true))
	got := stepAll(r, Start{}, granted(0, "u1"), UnindexedChunk{0}, Token{0, 0}, UnindexedChunk{0}, UnindexedChunk{0}, cutFailure(0))
	is.Equal(len(actionsOf[Buffer](got)), 3)
	is.Equal(len(actionsOf[Forward](got)), 1)
	got = stepAll(r, granted(1, "u2"), UnindexedChunk{1}, Token{1, 1})
	is.Equal(len(actionsOf[Drop](got)), 1) // the resumed stream repeats its opening chunk
}

func TestStream_NoTokenIndexes(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(true))
	got := stepAll(r, Start{}, granted(0, "u1"), UnindexedChunk{0}, UnindexedChunk{0}, UnindexedChunk{0}, cutFailure(0))
	is.Equal(len(actionsOf[Forward](got)), 2)
	is.Equal(actionsOf[Finish](got)[0].Err.Kind, errkind.Interrupted)
}

func TestExclusions_NoUpstreamLeft(t *testing.T) {
	is := is.New(t)
	r := New(testConfig(), fixedBudget(true))
	refused := Refused{Attempt: 1, Err: errkind.New(errkind.NoCapacity, "")}
	got := stepAll(r, Start{}, granted(0, "u1"), cutFailure(0), refused)
	slotRequests := actionsOf[RequestSlot](got)
	is.Equal(len(slotRequests), 3)
	is.Equal(len(slotRequests[2].Exclude), 0)
	refused.Attempt = 2
	got = stepAll(r, refused)
	is.Equal(actionsOf[Finish](got)[0].Err.Kind, errkind.Interrupted) // the first failure, not the refusal
}

// Guards against a caller with a withdrawn key who is told to retry, since an upstream had refused the
// request before, and against a refusal that hides that an earlier attempt may have run.
func TestRefused_KeyWithdrawnAfterFirstAttempt(t *testing.T) {
	is := is.New(t)
	withdrawn := Refused{Attempt: 1, Err: errkind.New(errkind.Unauthorized, "")}
	notRun := Failed{Attempt: 0, Err: errkind.New(errkind.UpstreamRefused, ""), NotRun: true}
	got := actionsOf[Finish](stepAll(New(testConfig(), fixedBudget(true)), Start{}, granted(0, "u1"), notRun, withdrawn))
	is.Equal(got[0].Err.Kind, errkind.Unauthorized)
	is.Equal(got[0].Err.Response().Ran, errkind.RanNo)
	got = actionsOf[Finish](stepAll(New(testConfig(), fixedBudget(true)), Start{}, granted(0, "u1"), cutFailure(0), withdrawn))
	is.Equal(got[0].Err.Kind, errkind.Interrupted)
	is.Equal(got[0].Err.Response().Ran, errkind.RanMaybe)
}

func TestBudget_BurstAndRefill(t *testing.T) {
	is := is.New(t)
	b := NewRatioBudget(10, 2)
	is.True(b.Take())
	is.True(b.Take())
	is.True(!b.Take())
	for range 9 {
		b.RecordRequest()
	}
	is.True(!b.Take())
	b.RecordRequest()
	is.True(b.Take())
	for range 1000 {
		b.RecordRequest()
	}
	is.True(b.Take())
	is.True(b.Take())
	is.True(!b.Take()) // the burst limits the unused retries
}
