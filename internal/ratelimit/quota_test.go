package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const org = "o"

// unitDemand returns the demand of an entry without units, whose first request of several costs first.
func unitDemand(waiting, first uint64) []UnitDemand {
	return []UnitDemand{{org, Demand{Wanted: waiting, Urgent: waiting, First: first}}}
}

// quotaAllocator returns an allocator whose bucket has the given units a second after the start of its term.
func quotaAllocator(q Quota) (*Allocator, Time) {
	a := NewAllocator()
	a.SetQuotas(0, map[string]Quota{org: q})
	return a, termStart + time.Second
}

// attachedGate returns a gate with a limit that is in contact with a coordinator.
func attachedGate(q Quota) *Gate {
	g := NewGate()
	g.SetQuotas(0, map[string]Quota{org: q})
	g.Attach(0)
	g.Heard(0, 10)
	return g
}

func ask(g *Gate, now Time, id uint64, units int, left time.Duration) []UnitDecision {
	return g.Request(now, UnitRequest{ID: id, Organisation: org, Units: units, Deadline: now + left})
}

func demandOf(t *testing.T, g *Gate, now Time) Demand {
	t.Helper()
	list := g.Report(now)
	if len(list) != 1 {
		t.Fatalf("%d demands are reported", len(list))
	}
	return list[0].Demand
}

func TestAllocator_NothingInTheFirstSecondOfATerm(t *testing.T) {
	is := is.New(t)
	a := NewAllocator()
	a.SetQuotas(0, map[string]Quota{org: {PerSecond: 1000, Burst: 1000}})
	got := a.ReportQuotas(takeoverDelay, "e", unitDemand(10, 10))
	is.Equal(got["e"][0].Granted, uint64(0)) // the previous coordinator may have granted everything
	got = a.ReportQuotas(takeoverDelay+10*time.Millisecond, "e", unitDemand(10, 10))
	is.Equal(got["e"][0].Granted, uint64(10)) // not a burst either
	got = a.ReportQuotas(takeoverDelay+10*time.Millisecond, "e", unitDemand(11, 1))
	is.Equal(got["e"][0].Granted, uint64(10))
}

// An entry that was told nothing would let its request wait although the units come too late.
func TestAllocator_AnswersAlsoWithoutUnits(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 100, Burst: 100})
	got := a.ReportQuotas(now, "e1", unitDemand(100, 100))
	is.Equal(got["e1"], []Grant{{Organisation: org, Granted: 100}})
	got = a.ReportQuotas(now, "e2", unitDemand(50, 50))
	is.Equal(got["e2"][0].Granted, uint64(0))
	is.Equal(got["e2"][0].Wait, 500*time.Millisecond)
	got = a.ReportQuotas(now, "e3", unitDemand(100, 100))
	is.Equal(got["e3"][0].Wait, 1500*time.Millisecond) // after e2
	is.Equal(got["e3"][0].Interval, 1500*time.Millisecond)
	is.Equal(got["e3"][0].Claimants, uint32(2))
	is.Equal(len(a.ReportQuotas(now, "e4", []UnitDemand{{org, Demand{Wanted: 5}}})["e4"]), 0) // a stock need not be answered
}

func TestAllocator_WholeRequestsInTurn(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 100, Burst: 100})
	a.ReportQuotas(now, "e1", unitDemand(0, 0))
	a.ReportQuotas(now, "e2", unitDemand(0, 0))
	a.ReportQuotas(now, "e1", unitDemand(100, 100))
	a.ReportQuotas(now, "e1", []UnitDemand{{org, Demand{Wanted: 300, Urgent: 300, First: 100, Known: 100}}})
	a.ReportQuotas(now, "e2", unitDemand(60, 60))
	is.Equal(len(a.Allocate(now+500*time.Millisecond)), 0) // no part of a request
	got := a.Allocate(now + 610*time.Millisecond)
	is.Equal(got["e2"][0].Granted, uint64(60)) // it got something longest ago
	is.Equal(len(got["e1"]), 0)
}

// A stock that is granted from a bucket that others need lies unused while they wait.
func TestAllocator_StockOnlyFromMoreThanHalfABucket(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 100, Burst: 100})
	got := a.ReportQuotas(now, "e", []UnitDemand{{org, Demand{Wanted: 80}}})
	is.Equal(got["e"][0].Granted, uint64(50))
}

func TestAllocator_RequestLargerThanTheBurst(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 100, Burst: 100})
	a.ReportQuotas(now, "e1", unitDemand(10, 10))
	a.ReportQuotas(now, "e1", []UnitDemand{{org, Demand{Wanted: 10, Urgent: 10, Known: 10}}}) // it was sent
	got := a.ReportQuotas(now, "e2", unitDemand(500, 500))
	is.Equal(got["e2"][0].Granted, uint64(0))
	is.Equal(got["e2"][0].Wait, 100*time.Millisecond)
	got = a.Allocate(now + 100*time.Millisecond)
	is.Equal(got["e2"][0].Granted, uint64(500)) // at a full bucket
	got = a.ReportQuotas(now+100*time.Millisecond, "e3", unitDemand(10, 10))
	is.Equal(got["e3"][0].Wait.Round(time.Millisecond), 4100*time.Millisecond) // which is negative now
}

// Units that were granted may be used at once with those saved up since.
func TestAllocator_SavesUpBesideUnitsThatAreHeld(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 100, Burst: 100})
	a.ReportQuotas(now, "e1", unitDemand(40, 40))
	a.ReportQuotas(now+5*time.Second, "e1", []UnitDemand{{org, Demand{Wanted: 40, Urgent: 40, Known: 40, Held: 40}}})
	got := a.ReportQuotas(now+5*time.Second, "e2", unitDemand(90, 60))
	is.Equal(got["e2"][0].Granted, uint64(60))
}

func TestAllocator_ReturnedUnitsCountOnce(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 100, Burst: 100})
	a.ReportQuotas(now, "e1", unitDemand(100, 100))
	back := []UnitDemand{{org, Demand{Wanted: 100, Urgent: 100, Known: 100, Returned: 30}}}
	a.ReportQuotas(now, "e1", back)
	a.ReportQuotas(now, "e1", back) // repeated
	is.Equal(a.ReportQuotas(now, "e2", unitDemand(30, 30))["e2"][0].Granted, uint64(30))
	is.Equal(a.ReportQuotas(now, "e3", unitDemand(1, 1))["e3"][0].Granted, uint64(0))
	a.ReportQuotas(now, "e1", []UnitDemand{{org, Demand{Wanted: 100, Urgent: 100, Known: 100, Returned: 30, Charged: 50}}})
	is.Equal(a.ReportQuotas(now, "e3", unitDemand(1, 1))["e3"][0].Wait, 510*time.Millisecond)
}

func TestAllocator_ConfigurationGivesNoBurst(t *testing.T) {
	is := is.New(t)
	q := Quota{PerSecond: 100, Burst: 100}
	a, now := quotaAllocator(q)
	a.ReportQuotas(now, "e1", unitDemand(100, 100))
	quotas := func(q Quota) map[string]Quota { return map[string]Quota{org: q} }
	a.SetQuotas(now, quotas(q))
	a.SetQuotas(now, quotas(Quota{PerSecond: 1000, Burst: 1000}))
	a.SetQuotas(now, quotas(q))
	a.SetQuotas(now, nil)
	a.SetQuotas(now, quotas(q))
	is.Equal(a.ReportQuotas(now, "e2", unitDemand(1, 1))["e2"][0].Granted, uint64(0))
	a.SetQuotas(now, nil)
	a.prune(now + removedTime)
	is.Equal(len(a.limits), 0)
}

func TestAllocator_LowerLimitAtOnce(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 1000, Burst: 1000})
	a.SetQuotas(now, map[string]Quota{org: {PerSecond: 10, Burst: 10}})
	is.Equal(a.ReportQuotas(now, "e", unitDemand(11, 10))["e"][0].Granted, uint64(10))
	is.Equal(a.Quota(org).Burst, 10.0)
}

// What an entry used without contact is charged, and the rest of what was charged for it returns.
func TestAllocator_EntryLostAndBack(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 100, Burst: 100})
	for _, e := range []string{"n1/a", "n2/a", "n3/a", "n4/a"} {
		a.Attach(now, e, AttachReport{})
	}
	a.ReportQuotas(now, "n1/a", unitDemand(60, 60))
	bucket := a.limits[Subject{Organisation: org}].bucket
	a.Lost(now, "n1/a")
	is.Equal(bucket.tokens, -20.0)
	is.Equal(bucket.reserved, 0.0)
	a.Attach(now+100*time.Millisecond, "n1/a", AttachReport{Used: map[string]uint64{org: 20}})
	is.Equal(bucket.tokens, 30.0) // -20 + 10 + 60 - 20
	a.Lost(now+100*time.Millisecond, "n1/a")
	a.Advance(now + offlineTime)
	is.Equal(bucket.perSecond, 100.0)
	a.Advance(now + 100*time.Millisecond + offlineTime)
	is.Equal(bucket.perSecond, 75.0) // less its quarter of the rate
	a.Attach(now+100*time.Millisecond+offlineTime, "n1/a", AttachReport{})
	is.Equal(bucket.perSecond, 100.0)
	a.Lost(now+offlineTime, "n2/a")
	a.Advance(now + 2*offlineTime)
	is.Equal(bucket.perSecond, 75.0)
	a.Attach(now+2*offlineTime, "n2/b", AttachReport{}) // restarted, so the former process has ended
	is.Equal(bucket.perSecond, 100.0)
	a.Lost(now+2*offlineTime, "n3/a")
	a.Advance(now + 3*offlineTime)
	is.Equal(bucket.perSecond, 75.0)
	a.Advance(now + 2*offlineTime + goneTime)
	is.Equal(bucket.perSecond, 100.0)
}

func TestAllocator_IdleOrganisationsAreNotChecked(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 100, Burst: 100})
	a.ReportQuotas(now, "e", unitDemand(10, 10))
	is.Equal(len(a.claimed), 0)
	a.ReportQuotas(now, "e", []UnitDemand{{org, Demand{Wanted: 10, Urgent: 10, Known: 10, Held: 10}}})
	is.Equal(len(a.claimed), 0)
	a.ReportQuotas(now, "e", []UnitDemand{{org, Demand{Wanted: 10, Urgent: 10, Known: 10, Returned: 10}}})
	a.Advance(now + 2*idleTime)
	is.Equal(len(a.limits[Subject{Organisation: org}].shares), 0)
	// The entry goes on counting from where it was.
	got := a.ReportQuotas(now+2*idleTime, "e", []UnitDemand{{org, Demand{Wanted: 15, Urgent: 15, First: 5, Known: 10, Returned: 10}}})
	is.Equal(got["e"][0].Granted, uint64(15))
}

func TestAllocator_Throttled(t *testing.T) {
	is := is.New(t)
	a, now := quotaAllocator(Quota{PerSecond: 100, Burst: 100})
	is.Equal(len(a.Advance(now)), 0)
	a.ReportQuotas(now, "e", unitDemand(200, 110))
	is.Equal(a.Advance(now), []Throttle{{Organisation: org, On: true, Quota: Quota{100, 100}}})
	is.Equal(len(a.Advance(now+time.Second)), 0)
	is.Equal(a.Throttled(), 1)
	a.ReportQuotas(now+time.Second, "e", []UnitDemand{{org, Demand{}}})
	is.Equal(a.Advance(now+time.Second+throttleTime), []Throttle{{Organisation: org, For: time.Second, Quota: Quota{100, 100}}})
	is.Equal(a.Throttled(), 0)
}

func TestGate_RequestWaitsForUnits(t *testing.T) {
	is := is.New(t)
	g := attachedGate(Quota{PerSecond: 100, Burst: 100})
	is.Equal(g.Request(0, UnitRequest{ID: 1, Organisation: "other", Units: 9}), []UnitDecision{{ID: 1, Admitted: true}}) // without a limit
	is.Equal(len(ask(g, 0, 2, 30, time.Minute)), 0)
	is.True(g.IsUrgent(0))
	is.Equal(demandOf(t, g, 0), Demand{Wanted: 30, Urgent: 30, First: 30})
	is.True(!g.IsUrgent(0))
	is.Equal(len(ask(g, 0, 3, 20, time.Minute)), 0)
	is.Equal(demandOf(t, g, 0).Urgent, uint64(50))
	is.Equal(g.Grant(ms(10), ms(5), []Grant{{Organisation: org, Granted: 40}}), []UnitDecision{{ID: 2, Admitted: true}})
	is.True(g.IsUrgent(ms(10))) // the next request needs another number of units
	is.Equal(demandOf(t, g, ms(10)), Demand{Wanted: 50, Urgent: 50, First: 10, Known: 40, Held: 40})
	g.Sent(2)
	is.Equal(demandOf(t, g, ms(10)).Held, uint64(10))
	g.Cancel(3)
	is.Equal(demandOf(t, g, ms(10)).Urgent, uint64(40))
	is.Equal(g.Waiting(), 0)
	g.Tick(ms(5) + quotaValidity + ms(5))
	is.Equal(demandOf(t, g, time.Second), Demand{Wanted: 40, Urgent: 40, Known: 40, Returned: 10})
}

func ms(n int) Time { return time.Duration(n) * time.Millisecond }

func TestGate_RefusedByTheAnswer(t *testing.T) {
	is := is.New(t)
	g := attachedGate(Quota{PerSecond: 100, Burst: 100})
	ask(g, 0, 1, 30, time.Minute)
	ask(g, 0, 2, 30, 2*time.Second)
	ask(g, 0, 3, 30, time.Minute)
	ask(g, 0, 4, 30, time.Minute)
	got := g.Grant(ms(10), ms(5), []Grant{{Organisation: org, Wait: ms(600), Interval: ms(300)}})
	// A quarter of what the second one has left is too short, and so is the second of the fourth one.
	is.Equal(got, []UnitDecision{{ID: 2, RetryAfter: ms(900)}, {ID: 4, RetryAfter: ms(1200)}})
	got = g.Grant(ms(20), ms(5), []Grant{{Organisation: org, Wait: ms(1500), Interval: ms(300)}})
	is.Equal(got, []UnitDecision{{ID: 1, RetryAfter: ms(1500)}, {ID: 3, RetryAfter: ms(1800)}}) // in order
	is.Equal(g.Waiting(), 0)
	is.Equal(len(ask(g, ms(20), 5, 30, time.Minute)), 0)
	is.Equal(len(g.Tick(ms(1019))), 0)
	got = g.Tick(ms(1020)) // without an answer
	is.Equal(len(got), 1)
	is.Equal(got[0].RetryAfter, ms(1100))
}

// Units of a request that did not run return once; those of one that may have run do not.
func TestGate_UnitsReturnOnce(t *testing.T) {
	is := is.New(t)
	g := attachedGate(Quota{PerSecond: 100, Burst: 100})
	for id := range uint64(5) {
		ask(g, 0, id, 10, time.Minute)
	}
	is.Equal(len(g.Grant(0, 0, []Grant{{Organisation: org, Granted: 50}})), 5)
	g.Sent(0)
	g.Finish(0) // it ran
	g.Sent(1)
	g.NotRun(1)
	g.Finish(1) // refused by its upstream
	g.Finish(1)
	g.Cancel(2) // never sent
	g.Cancel(2)
	g.Sent(3)
	g.Sent(3) // again after an attempt that may have run
	g.Finish(3)
	g.Sent(4)
	g.NotRun(4)
	g.Sent(4)
	g.NotRun(4)
	g.Sent(4)
	g.Finish(4) // the third attempt ran
	is.Equal(demandOf(t, g, 0), Demand{Wanted: 50, Urgent: 50, Known: 50, Returned: 20, Charged: 10})
	is.Equal(len(g.requests), 0)
}

func TestGate_LowerLimitDropsUnits(t *testing.T) {
	is := is.New(t)
	g := attachedGate(Quota{PerSecond: 100, Burst: 100})
	g.Grant(0, 0, []Grant{{Organisation: org, Granted: 50}})
	g.SetQuotas(0, map[string]Quota{org: {PerSecond: 50, Burst: 100}})
	is.Equal(len(ask(g, 0, 1, 10, time.Minute)), 0)
	is.Equal(demandOf(t, g, 0).Returned, uint64(50))
	is.Equal(g.SetQuotas(0, nil), []UnitDecision{{ID: 1, Admitted: true}})
}

// Units that arrive late, such as after the process was suspended, are valid from when they were sent.
func TestGate_DelayedGrant(t *testing.T) {
	is := is.New(t)
	g := attachedGate(Quota{PerSecond: 100, Burst: 100})
	g.Grant(ms(10), 0, []Grant{{Organisation: org, Granted: 1}})
	g.Grant(ms(10)+quotaValidity, 0, []Grant{{Organisation: org, Granted: 50}})
	is.Equal(len(ask(g, ms(10)+quotaValidity, 1, 10, time.Minute)), 0)
	g.Grant(ms(20)+quotaValidity, ms(5), []Grant{{Organisation: org, Granted: 60}})
	is.Equal(g.Waiting(), 1)
	is.Equal(demandOf(t, g, ms(20)+quotaValidity).Returned, uint64(60))
}

// A coordinator that begins anew knows of no units, and none that an entry has count.
func TestGate_NothingIsKeptForAnotherCoordinator(t *testing.T) {
	is := is.New(t)
	g := attachedGate(Quota{PerSecond: 100, Burst: 100})
	ask(g, 0, 1, 20, time.Minute)
	g.Grant(0, 0, []Grant{{Organisation: org, Granted: 50}})
	g.Lost(ms(100))
	is.Equal(len(ask(g, ms(100), 2, 30, time.Minute)), 0)
	demands, report := g.Attach(ms(200))
	is.Equal(demands, []UnitDemand{{org, Demand{Wanted: 30, Urgent: 30, First: 30}}})
	is.Equal(report.Used, nil)
	g.Heard(ms(200), 10)
	g.Finish(1) // its units were the former coordinator's
	is.Equal(len(g.Report(ms(200))), 0)
	ask(g, ms(200), 3, 5, time.Minute)
	is.Equal(demandOf(t, g, ms(200)).Held, uint64(0))
}

// What was admitted long before the contact ended says nothing about now.
func TestGate_WithoutContactAfterAPause(t *testing.T) {
	is := is.New(t)
	g := attachedGate(Quota{PerSecond: 1000, Burst: 1000})
	ask(g, 0, 1, 100, time.Minute)
	g.Grant(0, 0, []Grant{{Organisation: org, Granted: 100}})
	g.Heard(offlineTime, 10)
	g.Lost(offlineTime)
	is.Equal(len(ask(g, offlineTime, 2, 1, time.Minute)), 0)
}

func TestGate_WithoutContact(t *testing.T) {
	is := is.New(t)
	g := attachedGate(Quota{PerSecond: 1000, Burst: 1000})
	ask(g, 0, 1, 100, time.Minute)
	g.Grant(0, 0, []Grant{{Organisation: org, Granted: 100}})
	g.Heard(ms(500), 10)
	g.Lost(ms(1000))
	is.Equal(len(ask(g, ms(1000), 2, 63, time.Minute)), 0) // a half at once, and an eighth in half a second
	is.Equal(len(ask(g, ms(1000), 9, 1, time.Minute)), 0)  // behind it
	g.Cancel(9)
	is.Equal(len(g.Tick(ms(1019))), 0)
	is.Equal(g.Tick(ms(1021)), []UnitDecision{{ID: 2, Admitted: true}})
	demands, report := g.Attach(ms(1300))
	is.Equal(len(demands), 0)
	is.Equal(report.Used, map[string]uint64{org: 63})
	is.Equal(len(ask(g, ms(1300), 3, 1, time.Minute)), 0) // the report has told already what was used
	g.Cancel(3)
	g.Lost(ms(1300)) // attaching failed
	is.True(ask(g, ms(2400), 4, 30, time.Minute)[0].Admitted)
	is.Equal(len(ask(g, ms(2500), 5, 5, time.Minute)), 0) // after two seconds only its part of the rate counts
	g.Cancel(5)
	is.True(ask(g, ms(3500), 6, 100, time.Minute)[0].Admitted)
	is.Equal(len(ask(g, ms(3500), 7, 1, time.Minute)), 0)
	g.Cancel(7)
	is.Equal(len(ask(g, ms(60000), 8, 101, time.Minute)), 0) // at most a second of it is saved up
	got := g.Tick(ms(61000))
	is.True(got[0].NoContact)
	is.Equal(got[0].RetryAfter, ms(1010))
}

// Whatever the entries, the coordinator and the configuration do, no window has more than the bound, and
// nothing is counted twice.
func TestQuota_RandomEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newQuotaSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(1, 30).Draw(rt, "entries"))
		s.queue = time.Duration(rapid.IntRange(0, 600).Draw(rt, "queue")) * time.Millisecond
		s.notRun = rapid.Float64Range(0, 0.3).Draw(rt, "not run")
		o := s.add("a", rapid.Float64Range(0.1, 60).Draw(rt, "rate"))
		s.add("b", 1)
		usual := o.perSecond
		until := map[int]Time{}
		s.run(20*time.Second, func() {
			for i, at := range until {
				if s.now >= at {
					s.entries[i].cut = false
					delete(until, i)
				}
			}
			if s.now%(500*time.Millisecond) != 0 {
				return
			}
			i := rapid.IntRange(0, len(s.entries)-1).Draw(rt, "entry")
			// One partition or stop at a time: how many may come together is the subject of other tests.
			switch rapid.SampledFrom([]string{"none", "load", "pick", "cut", "freeze", "restart", "configure"}).Draw(rt, "event") {
			case "load":
				o.perSecond = usual * rapid.Float64Range(0, 8).Draw(rt, "load")
			case "pick":
				s.pick = func(string) int { return i }
				if i%2 == 0 {
					s.pick = func(string) int { return s.rng.IntN(len(s.entries)) }
				}
			case "cut":
				if len(until) == 0 {
					s.entries[i].cut, until[i] = true, s.now+time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms"))*time.Millisecond
				}
			case "freeze":
				s.entries[i].frozen = s.now + time.Duration(rapid.IntRange(0, 6000).Draw(rt, "ms"))*time.Millisecond
			case "restart":
				s.restart(i)
			case "configure":
				s.configure()
			}
			for sub, l := range s.coordinator.allocator.limits {
				if l.bucket.reserved < -1e-6 || l.bucket.tokens > l.bucket.burst+1e-6 || math.IsNaN(l.bucket.tokens) {
					rt.Fatalf("bucket of %v: %+v", sub, l.bucket)
				}
			}
		})
		allowed := (o.quota.PerSecond*simWindow.Seconds()+o.quota.Burst)*1.1 + 11000
		if most := o.mostUsed(0); most > allowed {
			rt.Fatalf("%.0f units in a window, %.0f are allowed", most, allowed)
		}
	})
}
