package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

type always bool

func (a always) Take() bool { return bool(a) }

func config() Config {
	return Config{Deadline: time.Minute, Idempotent: true, Hedge: true, MaxAttempts: 3, MaxAsks: 8}
}

func granted(i int, upstream string) Granted { return Granted{Attempt: i, Upstream: upstream} }

func cutAt(i int) Failed {
	return Failed{Attempt: i, Err: errkind.New(errkind.Interrupted, "cut"), Cut: true}
}

// play feeds events at time zero and returns all actions.
func play(r *Request, events ...Event) []Action {
	var all []Action
	for _, ev := range events {
		all = append(all, r.Step(0, ev)...)
	}
	return all
}

// pick returns the actions of one type.
func pick[T Action](actions []Action) []T {
	var list []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			list = append(list, t)
		}
	}
	return list
}

func TestCut_IsResumedAtTheNextTokenOnAnotherUpstream(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(true))
	got := play(r, Start{}, granted(0, "u1"), Token{0, 0}, Token{0, 1}, cutAt(0), granted(1, "u2"))
	is.Equal(pick[Ask](got)[1].Exclude, []string{"u1"})
	is.Equal(pick[Send](got)[1], Send{1, 2})
	got = play(r, Token{1, 2}, Whole{1})
	is.Equal(len(pick[Forward](got)), 1)
	is.Equal(pick[Finish](got)[0].Err, nil)
	is.Equal(r.Passed(), 3)
}

func TestRetry_NeedsTheBudget(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(false))
	got := play(r, Start{}, granted(0, "u1"), cutAt(0))
	is.Equal(len(pick[Ask](got)), 1)
	is.Equal(pick[Finish](got)[0].Err.Kind, errkind.Interrupted)
}

func TestRetry_NeedsIdempotentWorkOnceItMayHaveRun(t *testing.T) {
	is := is.New(t)
	cfg := config()
	cfg.Idempotent = false
	got := play(New(cfg, always(true)), Start{}, granted(0, "u1"), cutAt(0))
	is.Equal(len(pick[Ask](got)), 1)
	is.Equal(pick[Finish](got)[0].Err.Ran, errkind.RanMaybe)
	refused := Failed{Attempt: 0, Err: errkind.New(errkind.UpstreamRefused, ""), NotRun: true}
	got = play(New(cfg, always(true)), Start{}, granted(0, "u1"), refused)
	is.Equal(len(pick[Ask](got)), 2) // it did not run: safe
}

func TestCuts_WithoutANewTokenAreNotLedToAThirdUpstream(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(true))
	got := play(r, Start{}, granted(0, "u1"), cutAt(0), granted(1, "u2"), cutAt(1))
	is.Equal(len(pick[Send](got)), 2)
	is.Equal(pick[Finish](got)[0].Err.Kind, errkind.Interrupted)
	r = New(config(), always(true)) // a stream that gets on is taken up again
	got = play(r, Start{}, granted(0, "u1"), Token{0, 0}, cutAt(0), granted(1, "u2"), Token{1, 1}, cutAt(1))
	is.Equal(len(pick[Ask](got)), 3)
}

func TestUnused_AsksAgainWithoutTheBudgetAndSaysNotRun(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(false))
	got := play(r, Start{}, granted(0, "u1"), Unused{0})
	is.Equal(len(pick[Ask](got)), 2)
	is.Equal(pick[Release](got), []Release{{0, wire.Outcome_OUTCOME_UNUSED}})
	got = r.Step(time.Minute, Tick{})
	is.Equal(pick[Finish](got)[0].Err.Ran, errkind.RanNo)
}

func TestDeadline_WithARunningAttemptSaysMaybe(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(true))
	play(r, Start{}, granted(0, "u1"))
	got := r.Step(time.Minute, Tick{})
	is.Equal(pick[Finish](got)[0].Err.Kind, errkind.DeadlineExceeded)
	is.Equal(pick[Finish](got)[0].Err.Ran, errkind.RanMaybe)
	is.Equal(pick[Release](got), []Release{{0, wire.Outcome_OUTCOME_CANCELLED}})
}

func TestDeadline_AnswersAtOnceWhatWaitsForASlot(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(true))
	play(r, Start{})
	got := r.Step(time.Minute, Tick{})
	is.Equal(pick[Finish](got)[0].Err.Ran, errkind.RanNo)
	is.Equal(len(pick[Cancel](got)), 1)
	// The grant was on its way.
	is.Equal(pick[Release](r.Step(time.Minute, granted(0, "u1"))), []Release{{0, wire.Outcome_OUTCOME_UNUSED}})
	is.Equal(len(r.Step(time.Minute, granted(0, "u1"))), 0)
}

func TestHedge_FirstTokenWinsAndTheLoserIsCancelled(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(true))
	got := play(r, Start{}, Granted{Attempt: 0, Upstream: "u1", HedgeAfter: 100 * time.Millisecond})
	wakes := pick[Wake](got)
	is.Equal(wakes[len(wakes)-1].At, 100*time.Millisecond)
	got = r.Step(100*time.Millisecond, Tick{})
	is.Equal(pick[Ask](got), []Ask{{Attempt: 1, Exclude: []string{"u1"}, Hedge: true, Retry: true}})
	got = play(r, granted(1, "u2"), Token{1, 0})
	is.Equal(pick[Cancel](got), []Cancel{{0}})
	is.Equal(pick[Release](got), []Release{{0, wire.Outcome_OUTCOME_CANCELLED}})
	is.Equal(len(play(r, Token{0, 0})), 0) // the loser's late token
}

func TestHedge_IsNotSentAfterTheFirstTokenNorWithoutBudgetNorForSuspects(t *testing.T) {
	hedged := Granted{Attempt: 0, Upstream: "u1", HedgeAfter: time.Millisecond}
	for name, set := range map[string]func() *Request{
		"first token": func() *Request {
			r := New(config(), always(true))
			play(r, Start{}, hedged, Token{0, 0})
			return r
		},
		"budget": func() *Request {
			r := New(config(), always(false))
			play(r, Start{}, hedged)
			return r
		},
		"suspect": func() *Request {
			cfg := config()
			cfg.Hedge = false
			r := New(cfg, always(true))
			play(r, Start{}, hedged)
			return r
		},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(len(pick[Ask](set().Step(time.Second, Tick{}))), 0)
		})
	}
}

func TestToken_RepeatedOrSkippedIsNeverPassedOn(t *testing.T) {
	is := is.New(t)
	for _, index := range []int{0, 2} {
		r := New(config(), always(false))
		got := play(r, Start{}, granted(0, "u1"), Token{0, 0}, Token{0, index})
		is.Equal(len(pick[Forward](got)), 1)
		is.Equal(pick[Finish](got)[0].Err.Kind, errkind.Interrupted)
	}
}

func TestNote_IsHeldBackUntilTheStreamGoesOn(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(true))
	got := play(r, Start{}, granted(0, "u1"), Note{0}, Token{0, 0}, Note{0}, Note{0}, cutAt(0))
	is.Equal(len(pick[Hold](got)), 3)
	is.Equal(len(pick[Forward](got)), 1)
	got = play(r, granted(1, "u2"), Note{1}, Token{1, 1})
	is.Equal(len(pick[Drop](got)), 1) // the resumed stream opens again
}

func TestStream_WithoutPositionsIsPassedOnButNotResumed(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(true))
	got := play(r, Start{}, granted(0, "u1"), Note{0}, Note{0}, Note{0}, cutAt(0))
	is.Equal(len(pick[Forward](got)), 2)
	is.Equal(pick[Finish](got)[0].Err.Kind, errkind.Interrupted)
}

func TestExclusions_AreGivenUpWhenTheyLeaveNoUpstream(t *testing.T) {
	is := is.New(t)
	r := New(config(), always(true))
	none := Refused{Attempt: 1, Err: errkind.New(errkind.NoCapacity, "")}
	got := play(r, Start{}, granted(0, "u1"), cutAt(0), none)
	asks := pick[Ask](got)
	is.Equal(len(asks), 3)
	is.Equal(len(asks[2].Exclude), 0)
	none.Attempt = 2
	got = play(r, none)
	is.Equal(pick[Finish](got)[0].Err.Kind, errkind.Interrupted) // what really happened
}

func TestShareBudget_AllowsAShareOfRecentRequests(t *testing.T) {
	is := is.New(t)
	b := NewShareBudget(10, 2)
	is.True(b.Take())
	is.True(b.Take())
	is.True(!b.Take())
	for range 9 {
		b.Request()
	}
	is.True(!b.Take())
	b.Request()
	is.True(b.Take())
	for range 1000 {
		b.Request()
	}
	is.True(b.Take())
	is.True(b.Take())
	is.True(!b.Take()) // the burst bounds what is saved up
}
