package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWatch_LossesReportedOnce(t *testing.T) {
	is := is.New(t)
	d := request("d")
	w := NewWatch("e1")
	w.RecordLoss(0, lostOn(d, 1).LostRun, 0)
	w.RecordLoss(0, lostOn(d, 1).LostRun, 0)
	w.RecordLoss(time.Second, lostOn(d, 2).LostRun, time.Second)
	losses, _ := w.TakeUnreported(2 * time.Second)
	is.Equal(losses, []LossReport{{lostOn(d, 1).LostRun, 2 * time.Second, 0}, {lostOn(d, 2).LostRun, time.Second, time.Second}})
	is.True(!w.HasUnreported())
	is.Equal(len(w.TakeAll(2*time.Second)), 2) // to another coordinator
	is.Equal(len(w.TakeAll(lossTTL)), 1)
}

// A coordinator that takes over knows no heartbeat of the time before.
func TestWatch_LossesOfSurvivingUpstreamsNotReportedAgain(t *testing.T) {
	is := is.New(t)
	w := NewWatch("e1")
	for i := 1; i <= 3; i++ {
		w.RecordLoss(0, lostOn(request("d"), i).LostRun, 0)
	}
	alive := func(inc Incarnation) bool { return inc != upstreamAt(2) }
	w.Alive(SurvivalDelay-1, alive)
	is.Equal(len(w.TakeAll(SurvivalDelay-1)), 3)
	w.Alive(SurvivalDelay, alive)
	is.Equal(w.TakeAll(SurvivalDelay), []LossReport{{lostOn(request("d"), 2).LostRun, SurvivalDelay, 0}})
}

func TestWatch_TooManyLossesAndAnswers(t *testing.T) {
	is := is.New(t)
	w := NewWatch("e1")
	for i := range 3 * maxOwnLosses {
		w.RecordLoss(0, lostOn(request("d"), i).LostRun, 0)
	}
	is.Equal(len(w.own), maxOwnLosses)
	for range 2 * maxOwnAnswers {
		w.RecordAnswer(0, request("d"), upstreamAt(0), "v1")
	}
	is.Equal(len(w.answers), maxOwnAnswers)
}

func TestWatch_Detached(t *testing.T) {
	is := is.New(t)
	d := request("d")
	w := NewWatch("e1")
	for i := range QuarantineLosses {
		w.RecordLoss(time.Duration(i)*time.Second, lostOn(d, i).LostRun, 0)
	}
	left, _ := w.QuarantineLeft(2*time.Second, d.TraitsOn("v1"), false)
	is.Equal(left, time.Duration(0)) // the coordinator decides
	left, _ = w.QuarantineLeft(2*time.Second, d.TraitsOn("v1"), true)
	is.True(left > 0)
}

func TestWatch_DetachedAndAnsweredBefore(t *testing.T) {
	is := is.New(t)
	of := func(n int) *Request { return NewRequest("POST", "h", "/p", "", fmt.Append(nil, n), "m", nil) }
	w := NewWatch("e1")
	for range maxAnswers {
		w.RecordAnswer(time.Second, of(1), upstreamAt(1000), "v1")
	}
	for i := range fieldQuarantineLosses {
		l := lostOn(of(100+i), i).LostRun
		w.RecordLoss(time.Duration(2+i)*time.Second, l, 0)
	}
	left, _ := w.QuarantineLeft(10*time.Second, of(2).TraitsOn("v1"), true)
	is.Equal(left, time.Duration(0))
}

// Callers come back to all entries when a quarantine ends.
func TestWatch_ReleasedFromQuarantine(t *testing.T) {
	is := is.New(t)
	d := request("d")
	first := releaseSpread
	for i := range 20 {
		w := NewWatch(fmt.Sprint("e", i))
		w.Publish(0, []Suspicion{{Trait: d.Whole(), Until: time.Minute}}, false)
		left, _ := w.QuarantineLeft(time.Minute, d.Traits(), false)
		is.True(left < releaseSpread)
		first = min(first, left)
		now := time.Minute + left
		w.Publish(now, []Suspicion{{Trait: d.Whole(), Until: now}}, false) // told again, it is over
		left, _ = w.QuarantineLeft(now, d.Traits(), false)
		is.Equal(left, time.Duration(0))
		w.BeginRun(now, d.Traits())
		left, _ = w.QuarantineLeft(now, d.Traits(), false)
		is.Equal(left, trialInterval) // one at a time
		w.RecordAnswer(now+time.Second, d, upstreamAt(1), "v1")
		left, _ = w.QuarantineLeft(now+time.Second, d.Traits(), false)
		is.Equal(left, time.Duration(0))
		w.Publish(now, []Suspicion{{Trait: d.Whole(), Until: 2 * now}}, false)
		left, _ = w.QuarantineLeft(now, d.Traits(), false)
		is.True(left >= now)
	}
	is.True(first < releaseSpread/2) // the entries differ
}

func TestWatch_SnapshotOfNewCoordinator(t *testing.T) {
	is := is.New(t)
	a, b := request("a"), request("b")
	w := NewWatch("e1")
	w.RecordAnswer(0, b, upstreamAt(0), "v1")
	w.Publish(0, []Suspicion{{Trait: a.Whole(), Until: time.Minute}, {Trait: b.Whole()}}, false)
	left, blamed := w.QuarantineLeft(time.Second, a.Traits(), false)
	is.Equal(left, 59*time.Second+w.releaseDelay(a.Whole()))
	is.Equal(blamed, a.Whole())
	is.True(w.IsSuspect(b.Whole()))
	_, answers := w.TakeUnreported(time.Second)
	is.Equal(answers, []AnswerReport{{b.Whole(), []AnswerAge{{upstreamAt(0), time.Second}}}}) // from before it was suspect
	w.Publish(time.Second, []Suspicion{{Trait: b.Whole(), Until: time.Minute}}, false)
	is.True(!w.HasUnreported())
	w.Publish(time.Second, []Suspicion{{Trait: b.Whole(), Until: time.Minute}}, true)
	is.True(!w.IsSuspect(a.Whole()))
	_, answers = w.TakeUnreported(time.Second)
	is.Equal(len(answers), 1) // the new coordinator knows none
	is.True(w.RecordAnswer(2*time.Second, b, upstreamAt(0), "v1"))
}

func TestWatch_UnsettledRuns(t *testing.T) {
	is := is.New(t)
	d := request("d")
	w := NewWatch("e1")
	run := func(n int, at Time) UnsettledRun {
		return UnsettledRun{Incarnation: upstreamAt(n), Request: d, Software: "v1", Began: at - time.Second, At: at}
	}
	w.RecordAnswer(time.Second, request("other"), upstreamAt(1), "v1")
	w.RecordUnsettled(run(1, 3*time.Second))
	w.RecordUnsettled(run(2, 3*time.Second))
	unsettled, _ := w.TakeUnreported(3 * time.Second)
	is.Equal(len(unsettled), 2)
	is.True(unsettled[0].Inferred && !unsettled[0].Ended)
	is.True(!w.HasUnreported())
	w.Ended(5*time.Second, func(g *UnsettledRun) bool { return g.Incarnation == upstreamAt(1) })
	losses, _ := w.TakeUnreported(5 * time.Second)
	is.Equal(losses, []LossReport{{LostRun{Incarnation: upstreamAt(1), Traits: d.Traits(), Software: "v1", Inferred: true, Ended: true, Ran: time.Second},
		2 * time.Second, 2 * time.Second}})
	w.Ended(3*time.Second+unsettledTTL, func(*UnsettledRun) bool { return true }) // too long ago
	is.True(!w.HasUnreported())
	is.True(!w.HasUnsettled())
	for n := range 2 * maxOwnLosses {
		w.RecordUnsettled(run(n, time.Minute))
	}
	is.Equal(len(w.unsettled), maxOwnLosses)
}

// The ends were seen by an earlier coordinator only.
func TestWatch_EndsToldToAnotherCoordinator(t *testing.T) {
	is := is.New(t)
	d := request("d")
	w := NewWatch("e1")
	w.RecordLoss(0, lostOn(d, 1).LostRun, 0)
	w.RecordAnswer(time.Second, request("other"), upstreamAt(2), "v1")
	w.RecordUnsettled(UnsettledRun{Incarnation: upstreamAt(2), Request: d, Software: "v1", Began: time.Second, At: 2 * time.Second})
	w.Ended(3*time.Second, func(*UnsettledRun) bool { return true })
	w.IncarnationsEnded("u1", 1) // not the incarnation itself
	is.True(!w.TakeAll(3 * time.Second)[0].Ended)
	w.IncarnationsEnded("u1", 2)
	w.IncarnationsEnded("u2", 3)
	tally := NewTally()
	for _, l := range w.TakeAll(3 * time.Second) {
		tally.RecordLoss(3*time.Second, l)
	}
	is.True(held(tally, 2*time.Second+firstQuarantine-1, d))
}
