package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

func TestGrant_FreeSlotIsGrantedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 2, "m1")
	g := b.granted(b.step(b.ask(func(k *Ask) { k.Adapter = "a1" })))
	is.Equal(g.Upstream, "u1")
	is.Equal(g.Version, "v1")
	is.Equal(g.AdapterVersion, "w1")
	is.Equal(g.UseBy, time.Second)
	is.Equal(b.core.InUse("u1"), 1)
}

func TestGrant_FullUpstreamMakesAsksWaitUntilARelease(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 1, "m1")
	first := b.granted(b.step(b.ask(nil)))
	second := b.ask(nil)
	is.Equal(len(b.step(second)), 0)
	g := b.granted(b.step(okRelease(first.Attempt, 10)))
	is.Equal(g.Attempt, second.Attempt)
	is.Equal(b.core.InUse("u1"), 1)
}

func TestGrant_UnnamedModelAdapterOrServiceIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	is.Equal(b.refused(b.step(b.ask(func(k *Ask) { k.Model = "x" }))), errkind.UnknownModel)
	is.Equal(b.refused(b.step(b.ask(func(k *Ask) { k.Adapter = "x" }))), errkind.UnknownModel)
	is.Equal(b.refused(b.step(b.ask(func(k *Ask) { k.Model, k.Service = "", "x" }))), errkind.UnknownService)
	is.Equal(b.refused(b.step(b.ask(func(k *Ask) { k.Model = "none" }))), errkind.NoCapacity)
}

func TestGrant_NoSpecYetIsStaleConfig(t *testing.T) {
	is := is.New(t)
	b := &bench{t: t, core: New(Options{Settings: DefaultSettings()})}
	is.Equal(b.refused(b.step(b.ask(nil))), errkind.StaleConfig)
}

func TestGrant_DroppedModelRefusesItsWaiters(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.step(b.ask(nil))
	is.Equal(b.refused(b.step(SpecChanged{&wire.Spec{}})), errkind.UnknownModel)
	is.Equal(b.core.Waiting(), 0)
}

func TestGrant_DeadlinePassingInTheQueueIsRefusedAtThatMoment(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	k := b.ask(nil)
	is.Equal(len(b.step(k)), 0)
	next, ok := b.core.Next(k.Deadline)
	is.True(ok)
	is.Equal(next, k.Deadline)
	is.Equal(b.refused(b.after(10*time.Second, Tick{})), errkind.DeadlineExceeded)
}

func TestGrant_FullQueueRefusesTheNewcomer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	for range 32 {
		is.Equal(len(b.step(b.ask(nil))), 0)
	}
	is.Equal(b.refused(b.step(b.ask(nil))), errkind.QueueFull)
}

func TestGrant_FullQueueShedsBatchForInteractiveWork(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	for range 32 {
		b.step(b.ask(func(k *Ask) { k.Class = wire.Class_CLASS_BATCH }))
	}
	r := refusals(b.step(b.ask(nil)))
	is.Equal(len(r), 1)
	is.Equal(r[0].Kind, errkind.Overloaded)
	is.Equal(r[0].Attempt, "t32") // the newest batch ask, not the newcomer t33
	is.Equal(b.core.Waiting(), 32)
}

func TestGrant_FullQueueShedsTheHeaviestCaller(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	for range 32 {
		b.step(b.ask(func(k *Ask) { k.Caller = "heavy" }))
	}
	r := refusals(b.step(b.ask(func(k *Ask) { k.Caller = "light" })))
	is.Equal(len(r), 1)
	is.Equal(r[0].Attempt, "t32")
}

func TestGrant_LoweredQueueBoundShedsTheRest(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	for range 32 {
		b.step(b.ask(nil))
	}
	is.Equal(len(refusals(b.step(SpecChanged{testSpec(10)}))), 22)
	is.Equal(b.core.Waiting(), 10)
}

func TestGrant_CancelledAskGetsNoAnswer(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	k := b.ask(nil)
	b.step(k)
	is.Equal(len(b.step(Cancel{k.Attempt})), 0)
	is.Equal(len(b.runner("u1", 2, "m1")), 0)
	is.Equal(len(b.after(time.Minute, Tick{})), 0)
}

func TestGrant_RepeatedAskIsAnsweredOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 2, "m1")
	k := b.ask(nil)
	b.granted(b.step(k))
	is.Equal(len(b.step(k)), 0)
	is.Equal(b.core.InUse("u1"), 1)
}

func TestGrant_LeavingUpstreamGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 2, "m1")
	g := b.granted(b.step(b.ask(nil)))
	leaving := UpstreamState{ID: "u1", Incarnation: 1, Slots: 2, Leaving: true, Ready: []Ready{{Model: "m1"}}}
	is.Equal(len(b.step(leaving)), 0)
	is.Equal(len(b.step(b.ask(nil))), 0) // it waits
	is.Equal(b.core.InUse("u1"), 1)      // work in progress keeps its slot
	is.Equal(len(b.step(okRelease(g.Attempt, 10))), 0)
	is.Equal(b.core.InUse("u1"), 0)
}

func TestGrant_NewIncarnationEndsTheOldOne(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 1, "m1")
	g := b.granted(b.step(b.ask(func(k *Ask) { k.BodyDigest = "d" })))
	d := deaths(b.step(UpstreamState{ID: "u1", Incarnation: 2, Slots: 1, Ready: []Ready{{Model: "m1"}}}))
	is.Equal(d, []Death{{BodyDigest: "d", Upstream: "u1", Incarnation: 1}})
	is.Equal(b.core.InUse("u1"), 0)
	is.Equal(len(b.step(okRelease(g.Attempt, 10))), 0) // late: the incarnation has ended
	is.Equal(b.granted(b.step(b.ask(nil))).Incarnation, uint64(2))
	is.Equal(len(b.step(UpstreamGone{"u1", 1})), 0) // an old incarnation's end changes nothing
	is.Equal(b.core.InUse("u1"), 1)
}

func TestGrant_ExcludedUpstreamIsNotUsed(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 2, "m1")
	is.Equal(len(b.step(b.ask(func(k *Ask) { k.Exclude = []string{"u1"} }))), 0)
	is.Equal(len(grants(b.runner("u2", 2, "m1"))), 1)
}

func TestGrant_DrainRefusesAllThatWaitsAndComes(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.step(b.ask(nil))
	is.Equal(b.refused(b.step(Drain{})), errkind.Draining)
	is.Equal(b.refused(b.step(b.ask(nil))), errkind.Draining)
}

func TestGrant_WakingModelReleasesItsWaitersWithinItsSlots(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	for range 20 {
		b.step(b.ask(nil))
	}
	d := b.core.Demand(b.now)
	is.Equal(len(d), 1)
	is.Equal(d[0].Waiting, 20)
	is.Equal(d[0].Class, wire.Class_CLASS_INTERACTIVE)
	g := grants(b.runner("u1", 4, "m1"))
	is.Equal(len(g), 4)
	is.Equal(g[0].Attempt, "t1") // in order of arrival
	is.Equal(b.core.Demand(b.now)[0].Running, 4)
}

func TestGrant_AdapterWaitsUntilItIsReady(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 4, "m1")
	is.Equal(len(b.step(b.ask(func(k *Ask) { k.Adapter = "a2" }))), 0)
	b.granted(b.step(b.ask(nil))) // others are not held up
	up := UpstreamState{ID: "u1", Incarnation: 1, Slots: 4,
		Ready: []Ready{{Model: "m1", Adapters: map[string]string{"a2": "w2"}}}}
	is.Equal(b.granted(b.step(up)).AdapterVersion, "w2")
}

func TestGrant_ServiceUsesItsOwnUpstreamsOnly(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 4, "m1")
	desk := func(k *Ask) { k.Model, k.Service = "", "desk" }
	is.Equal(len(b.step(b.ask(desk))), 0)
	b.granted(b.step(UpstreamState{ID: "s1", Incarnation: 1, Service: "desk", Slots: 1}))
	is.Equal(b.core.InUse("s1"), 1)
	is.Equal(len(b.core.Demand(b.now)), 0) // placement does not place services
}

func TestGrant_EntryGoneHoldsRunningSlotsUntilTheirLongestLife(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 1, "m1")
	b.granted(b.step(b.ask(nil)))
	b.step(b.ask(nil)) // waits
	is.Equal(len(b.step(EntryGone{"e1"})), 0)
	is.Equal(b.core.Waiting(), 0)
	is.Equal(b.core.InUse("u1"), 1) // it may still run
	b.after(10*time.Second, Tick{})
	is.Equal(b.core.InUse("u1"), 1)
	b.after(lifeMargin, Tick{})
	is.Equal(b.core.InUse("u1"), 0)
}

func TestGrant_ReopenedSessionGivesBackWhatIsNotHeld(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 2, "m1")
	g := b.granted(b.step(b.ask(nil)))
	b.granted(b.step(b.ask(nil)))
	b.step(EntryGone{"e1"})
	b.step(EntryHello{"e1", []HeldGrant{{Attempt: g.Attempt, Upstream: "u1", Incarnation: 1, Model: "m1"}}})
	is.Equal(b.core.InUse("u1"), 1)
	b.after(time.Minute, Tick{})
	is.Equal(b.core.InUse("u1"), 1) // held by a live session again
}

func TestGrant_LargePoolIsSpreadAndItsLastSlotIsFound(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	for i := range 100 {
		b.step(UpstreamState{ID: fmt.Sprintf("s%02d", i), Incarnation: 1, Service: "desk", Slots: 4})
	}
	desk := func(k *Ask) { k.Model, k.Service = "", "desk" }
	for range 100 {
		b.granted(b.step(b.ask(desk)))
	}
	for _, s := range b.core.Status() {
		is.True(s.InUse <= 3) // two choices keep the load even
	}
	for range 300 {
		b.granted(b.step(b.ask(desk))) // to the last slot
	}
	is.Equal(len(b.step(b.ask(desk))), 0)
}

func TestGrant_LearntWakeTimeRefusesAsksThatCantWaitForIt(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	slow := func(k *Ask) { k.Model, k.Deadline = "m2", b.now+time.Minute }
	b.step(b.ask(slow))
	b.now += 20 * time.Second
	g := b.granted(b.runner("u1", 1, "m2")) // m2 took 20 s to load
	b.step(okRelease(g.Attempt, 10))
	b.step(UpstreamGone{"u1", 1})
	hasty := func(k *Ask) { k.Model = "m2" } // 10 s
	is.Equal(len(b.step(b.ask(hasty))), 0)   // the first one waits, so that placement sees demand
	r := refusals(b.step(b.ask(hasty)))
	is.Equal(len(r), 1)
	is.Equal(r[0].Kind, errkind.DeadlineUnmeetable)
	is.True(r[0].RetryAfter >= 20*time.Second && r[0].RetryAfter <= 30*time.Second)
	is.Equal(len(b.step(b.ask(slow))), 0) // who can wait does
}

func TestGrant_WaitingAskIsRefusedWhenItGetsTooLateToRun(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 1, "m1")
	b.teach(10, usual) // 1.1 s each
	b.granted(b.step(b.ask(nil)))
	k := b.ask(func(k *Ask) { k.Deadline = b.now + 5*time.Second })
	is.Equal(len(b.step(k)), 0)
	// One second before its deadline 1.1 s of work can't be done.
	is.Equal(b.refused(b.after(4*time.Second, Tick{})), errkind.DeadlineUnmeetable)
}

func TestGrant_EstimatesFromABadHourAreCorrected(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u1", 8, "m1")
	slow := func(attempt string) Release {
		r := usual(attempt)
		r.Duration *= 30
		return r
	}
	b.teach(60, slow) // 33 s each
	b.granted(b.step(b.ask(func(k *Ask) { k.Deadline = time.Hour })))
	tried := 0
	for range 300 {
		for _, g := range grants(b.after(100*time.Millisecond, b.ask(nil))) {
			tried++
			b.step(usual(g.Attempt)) // the bad hour is over
		}
	}
	is.True(tried > 100) // beside the long one that still runs
}

func TestGrant_NonIdempotentServiceIsNeverHedged(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	for i := range 2 {
		b.step(UpstreamState{ID: fmt.Sprint("s", i), Incarnation: 1, Service: "desk", Slots: 8})
	}
	desk := func(k *Ask) { k.Model, k.Service = "", "desk" }
	for range 500 {
		g := b.granted(b.step(b.ask(desk)))
		is.Equal(g.HedgeAfter, time.Duration(0))
		b.after(time.Millisecond, usual(g.Attempt))
	}
	k := b.ask(desk)
	g := b.granted(b.step(k))
	again := b.ask(hedgeOf(k, g.Upstream))
	again.Model, again.Service = "", "desk"
	is.Equal(b.refused(b.step(again)), errkind.Overloaded)
}

func TestGrant_OneFailureDoesNotMakeAnOutlier(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.fleet()
	failed := func() {
		g := b.granted(b.step(b.ask(func(k *Ask) {
			k.Exclude = []string{"u0", "u1", "u2", "u3", "u4", "u5", "u6", "u7"}
		})))
		b.after(time.Second, Release{Attempt: g.Attempt, Outcome: wire.Outcome_OUTCOME_FAILED, Duration: time.Second})
	}
	failed()
	is.True(!b.core.Status()[8].Avoided)
	failed()
	b.after(time.Second, Tick{})
	is.True(b.core.Status()[8].Avoided)
}

func TestGrant_RestartedEntrysAttemptsStayInDoubt(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	b.runner("u0", 1, "m1")
	b.granted(b.step(b.ask(digest("d"))))
	b.step(EntryGone{"e1"})
	b.step(EntryHello{"e1", nil}) // it has restarted and knows nothing of the attempt
	is.Equal(b.core.InUse("u0"), 0)
	dead := deaths(b.after(time.Second, UpstreamGone{"u0", 1}))
	is.Equal(dead, []Death{{BodyDigest: "d", Upstream: "u0", Incarnation: 1}})
}

func TestGrant_CutUnderAFormerSchedulerStillCounts(t *testing.T) {
	is := is.New(t)
	b := newBench(t, recovering)
	for i := range 3 {
		b.runner(fmt.Sprint("u", i), 1, "m1")
	}
	b.step(EntryHello{"e1", []HeldGrant{{Attempt: "x", Upstream: "u0", Incarnation: 1, BodyDigest: "d", Cut: true}}})
	b.step(EntryHello{"e2", nil})
	elsewhere := func(k *Ask) { k.BodyDigest, k.Exclude = "d", []string{"u0"} }
	b.granted(b.step(b.ask(elsewhere))) // the second upstream of the body
	is.Equal(len(b.step(b.ask(elsewhere))), 0)
	gone := b.step(UpstreamGone{"u0", 1})
	is.Equal(deaths(gone), []Death{{BodyDigest: "d", Upstream: "u0", Incarnation: 1}})
	is.Equal(len(grants(gone)), 0) // unconfirmed: no further grant
}

func TestGrant_SecondDeathQuarantinesWaitersAndNewcomers(t *testing.T) {
	is := is.New(t)
	b := newBench(t, nil)
	for i := range 3 {
		b.runner(fmt.Sprint("u", i), 1, "m1")
	}
	first := b.granted(b.step(b.ask(digest("d"))))
	second := b.granted(b.step(b.ask(digest("d"))))
	b.step(b.ask(digest("d"))) // waits: two upstreams at most
	b.step(UpstreamGone{first.Upstream, 1})
	is.Equal(b.refused(b.step(UpstreamGone{second.Upstream, 1})), errkind.Quarantined)
	is.Equal(b.refused(b.step(b.ask(digest("d")))), errkind.Quarantined)
	cleared := testSpec(32)
	cleared.ClearedDigests = []string{"d"}
	b.step(SpecChanged{cleared})
	b.granted(b.step(b.ask(digest("d"))))
}
