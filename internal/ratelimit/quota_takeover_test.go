package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

const simTakeoverLoss = 4 * time.Second // after a takeover in which losses are counted

// startTakeover runs an ordinary day until a moment at which o00 has sent six times its usual requests for a
// time, so that it is throttled.
func startTakeover(seed uint64, hot Time) *quotaSimulation {
	s := newQuotaSimulation(seed, 91)
	s.attachTime = 400 * time.Millisecond
	s.addDay(16, 235)
	s.run(10*time.Second, nil)
	s.orgs["o00"].perSecond *= 6
	s.run(hot, nil)
	return s
}

// replaceCoordinator ends the coordinator and begins the next one after a gap. Requests count from then on.
func (s *quotaSimulation) replaceCoordinator(gap Time) {
	s.coordinator = nil
	s.run(gap, nil)
	s.newCoordinator()
	s.forget()
	s.countFrom = s.now
}

// lossOfOthers returns the part of the units asked for that organisations other than o00, which send 0.56 of
// their rate, were refused.
func (s *quotaSimulation) lossOfOthers() float64 {
	asked, refused := 0.0, 0.0
	for name, o := range s.orgs {
		if name != "o00" {
			asked += o.asked
			refused += o.refused
		}
	}
	return refused / asked
}

func (s *quotaSimulation) checkLoss(t *testing.T, label string) {
	t.Helper()
	loss := s.lossOfOthers()
	t.Logf("%s: %.4f of the units of organisations below their limits refused", label, loss)
	if loss > 0.03 {
		t.Errorf("%s: %.4f of the units of organisations below their limits refused, 0.03 are allowed", label, loss)
	}
}

// A coordinator that starts with empty buckets refuses organisations far below their limits, and one that
// starts with full ones lets a throttled organisation exceed its limit.
func TestQuota_TakeoverBelowLimit(t *testing.T) {
	for seed, gap := range []time.Duration{0, 700 * time.Millisecond, 3 * time.Second} {
		for _, hot := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 5 * time.Second} {
			label := fmt.Sprintf("gap of %v, %v of six times the usual", gap, hot)
			s := startTakeover(uint64(seed), hot)
			s.replaceCoordinator(gap)
			s.run(simTakeoverLoss, nil)
			s.checkLoss(t, label)
			s.run(6*time.Second, nil)
			s.checkWindows(t, label, 0)
		}
	}
}

// The second of two coordinators in short succession must count what was used before the first one.
func TestQuota_TwoTakeovers(t *testing.T) {
	for seed, between := range []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second} {
		for _, gap := range []time.Duration{0, 500 * time.Millisecond} {
			label := fmt.Sprintf("takeovers %v apart, gaps of %v", between, gap)
			s := startTakeover(uint64(seed), time.Second)
			s.replaceCoordinator(gap)
			s.run(between, nil)
			s.replaceCoordinator(gap)
			s.run(simTakeoverLoss, nil)
			s.checkLoss(t, label)
			s.run(6*time.Second, nil)
			s.checkWindows(t, label, 0)
		}
	}
}

// Entries that don't reach the new coordinator use units that it does not hear of until they attach.
func TestQuota_TakeoverWithEntriesCutOff(t *testing.T) {
	for seed, hot := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 5 * time.Second} {
		for _, back := range []time.Duration{simTakeoverLoss, 700 * time.Millisecond} {
			label := fmt.Sprintf("nine entries cut off for %v, %v of six times the usual", back, hot)
			s := startTakeover(uint64(seed), hot)
			for _, e := range s.entries[:9] {
				e.cut = true
			}
			// Callers use other entries, and those that are cut off go on with the throttled organisation.
			s.pick = func(org string) int {
				if org == "o00" {
					return s.rng.IntN(len(s.entries))
				}
				return 9 + s.rng.IntN(len(s.entries)-9)
			}
			s.replaceCoordinator(0)
			s.run(back, nil)
			for _, e := range s.entries[:9] {
				e.cut = false
			}
			s.run(simTakeoverLoss-back, nil)
			s.checkLoss(t, label)
			s.run(12*time.Second, nil)
			s.checkWindows(t, label, 0)
		}
	}
}

// What restarted entries used is known to nobody.
func TestQuota_TakeoverWithEntriesRestarted(t *testing.T) {
	for seed, hot := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 5 * time.Second} {
		label := fmt.Sprintf("nine entries restarted, %v of six times the usual", hot)
		s := startTakeover(uint64(seed), hot)
		s.coordinator = nil
		for i := range 9 {
			s.restart(i * 10)
		}
		s.replaceCoordinator(300 * time.Millisecond)
		s.run(simTakeoverLoss, nil)
		s.checkLoss(t, label)
		s.run(6*time.Second, nil)
		s.checkWindows(t, label, 0)
	}
}

// An entry that attaches again must not be given back twice what was taken off for it, and what it used must
// not be forgotten.
func TestQuota_TakeoverWithEntriesThatAttachTwice(t *testing.T) {
	for seed, hot := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 5 * time.Second} {
		label := fmt.Sprintf("entries attach twice, %v of six times the usual", hot)
		s := startTakeover(uint64(seed), hot)
		s.replaceCoordinator(200 * time.Millisecond)
		for round := range 8 {
			s.run(150*time.Millisecond, nil)
			for i := range 9 {
				e := s.entries[(round%4*9+i)%91]
				if e.link == nil {
					continue
				}
				s.detach(e, (round%4*9+i)%91)
				e.link, e.inbox = nil, nil
				s.decided(e, e.gate.Lost(s.now))
			}
		}
		s.run(simTakeoverLoss-1200*time.Millisecond, nil)
		s.checkLoss(t, label)
		s.run(6*time.Second, nil)
		s.checkWindows(t, label, 0)
	}
}

// steady returns the report of an entry that sent a number of units in each of the last 16 steps.
func steady(entries uint32, units uint64) AttachReport {
	r := AttachReport{Entries: entries, History: historyTime, Recent: map[string]RecentUse{}}
	use := RecentUse{}
	for range int(historyTime / historyStep) {
		use.Steps = append(use.Steps, units)
	}
	r.Recent[org] = use
	return r
}

// attachAll attaches the entries from the given one up to, but not including, another one.
func attachAll(a *Allocator, now Time, from, to int, r AttachReport) {
	for i := from; i < to; i++ {
		a.Attach(now, fmt.Sprintf("n%d/0", i), r)
	}
}

func levelOf(a *Allocator, now Time) float64 {
	b := a.limits[Subject{Organisation: org}].bucket
	b.refill(now)
	return math.Round(b.tokens)
}

// What is taken off for a missing entry must not return twice, and not before the entry has reported.
func TestTakeover_MissingEntries(t *testing.T) {
	is := is.New(t)
	a := NewAllocator()
	a.SetQuotas(0, map[string]Quota{org: {PerSecond: 1000, Burst: 1000}})
	r := steady(10, 20) // 400 a second in all
	attachAll(a, 0, 0, 8, r)
	is.Equal(levelOf(a, 0), 0.0) // eight in ten are too few
	is.True(a.contact.isPending(0))
	attachAll(a, 0, 8, 9, r)
	// Of 1000, the first two steps count as sent now: 9 entries' 40 units and as much for the tenth one. It may
	// use 4 times the mean of the six steps that end in the last 2 s; its part of the rate for as long is 200.
	want := 1000 - 400 - 4*120.0
	is.Equal(levelOf(a, 0), want)
	a.Attach(0, "n0/0", r) // again
	is.Equal(levelOf(a, 0), want)
	a.Attach(0, "n9/0", AttachReport{})
	is.Equal(levelOf(a, 0), want) // its node has been restarted, and nobody knows what it used
	a.Attach(0, "n10/0", r)
	is.Equal(levelOf(a, 0), 600.0)
	a.Attach(0, "n10/0", r)
	is.Equal(levelOf(a, 0), 600.0)
}

// A report that arrives late tells of units sent after the takeover too. Those beyond the part of the rate
// that was set aside count as used.
func TestTakeover_LateReport(t *testing.T) {
	is := is.New(t)
	level := func(steps ...uint64) float64 {
		a := NewAllocator()
		a.SetQuotas(0, map[string]Quota{org: {PerSecond: 1000, Burst: 1000}})
		attachAll(a, 0, 0, 9, steady(10, 100))
		before := levelOf(a, 100*time.Millisecond)
		a.Attach(100*time.Millisecond, "n9/0", AttachReport{Entries: 10, History: historyTime,
			Recent: map[string]RecentUse{org: {Steps: steps}}})
		return levelOf(a, 100*time.Millisecond) - before
	}
	is.Equal(level()-level(510), 500.0) // 10 were set aside in 100 ms
	is.Equal(level()-level(5), 0.0)
}

// Nothing is known of the time before the oldest entries began, so the burst may have been used then.
func TestTakeover_ShortHistory(t *testing.T) {
	is := is.New(t)
	level := func(history time.Duration) float64 {
		a := NewAllocator()
		a.SetQuotas(0, map[string]Quota{org: {PerSecond: 1000, Burst: 1000}})
		attachAll(a, 0, 0, 10, AttachReport{Entries: 10, History: history, Recent: map[string]RecentUse{org: {InUse: 10}}})
		return levelOf(a, 0)
	}
	is.Equal(level(0), 0.0) // no report of a history at all
	is.Equal(level(300*time.Millisecond), 300.0)
	is.Equal(level(historyTime), 900.0) // less what is in use
}

// A takeover that is late must not grant once more what was granted since the term began.
func TestTakeover_AfterGrants(t *testing.T) {
	is := is.New(t)
	a := NewAllocator()
	a.SetQuotas(0, map[string]Quota{org: {PerSecond: 1000, Burst: 1000}})
	r := AttachReport{Entries: 10, History: historyTime}
	attachAll(a, 0, 0, 8, r)
	now := 2 * time.Second
	got := a.ReportQuotas(now, "n0/0", []UnitDemand{{org, Demand{Wanted: 700, Urgent: 700, First: 700}}})
	is.Equal(got["n0/0"][0].Granted, uint64(700))
	attachAll(a, now, 8, 10, r)
	is.Equal(levelOf(a, now), 300.0)
	a.SetQuotas(now, map[string]Quota{org: {PerSecond: 1000, Burst: 1000}, "new": {PerSecond: 1, Burst: 100}})
	a.Attach(now, "n11/0", r)
	is.Equal(a.limits[Subject{Organisation: "new"}].bucket.tokens, 0.0) // no burst by the configuration
}

// What did not run or was sent long ago is not reported, and the sizes of reports are bounded.
func TestGate_History(t *testing.T) {
	is := is.New(t)
	g := NewGate()
	g.SetQuotas(0, map[string]Quota{org: {PerSecond: 1000, Burst: 1000}})
	_, r := g.Attach(0)
	is.Equal(r.Entries, uint32(0)) // there was no coordinator before
	g.Heard(0, 91)
	send := func(now Time, id uint64, units int) {
		g.Heard(now, 3) // a coordinator that has only some of the entries yet
		g.Request(now, UnitRequest{ID: id, Organisation: org, Units: units, Deadline: now + time.Minute})
		a := g.accounts[org]
		g.Grant(now, now, []Grant{{Organisation: org, Granted: a.permits.spent + uint64(units)}})
		g.Sent(id)
	}
	for i := range 100 {
		send(Time(i)*100*time.Millisecond, uint64(i), 10)
	}
	g.NotRun(99)
	_, r = g.Attach(10 * time.Second)
	is.Equal(r.Entries, uint32(91))
	is.Equal(r.History, historyTime)
	is.Equal(r.Recent[org].InUse, uint64(10))
	is.Equal(len(r.Recent[org].Steps), 17)
	is.Equal(r.Recent[org].Steps[:3], []uint64{0, 40, 50})
	is.True(len(g.accounts[org].history) <= 18)
	g.Tick(20 * time.Second)
	is.Equal(len(g.accounts[org].history), 0)
	_, r = g.Attach(20 * time.Second)
	is.Equal(len(r.Recent[org].Steps), 0)
}
