package grant

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// mechanism is one protection of the core: a situation that needs it, and the way to
// take it out.
type mechanism struct {
	name      string
	options   func(*Options)
	takeOut   func(*Options, *switches)
	situation func(*bench) error
}

func mechanisms() []mechanism {
	return []mechanism{
		{"LeavingUpstreamGetsNoNewWork", nil,
			func(_ *Options, off *switches) { off.leaving = true }, leavingUpstream},
		{"BodyRunsOnTwoUpstreamsAtMost", nil,
			func(_ *Options, off *switches) { off.suspects = true }, bodyOnThree},
		{"SuspectRunsAlone", nil,
			func(_ *Options, off *switches) { off.suspects = true }, suspectAlone},
		{"ResendsOfACutBodyTakeDownTwoUpstreamsAtMost", nil,
			func(_ *Options, off *switches) { off.doubts = true }, resentAfterCut},
		{"SuccessorWaitsForEveryKnownEntry", recovering,
			func(_ *Options, off *switches) { off.recovery = true }, successorWaits},
		{"SuccessorLeavesRoomForUnheardEntries", recovering,
			func(_ *Options, off *switches) { off.unheard = true }, unheardEntry},
		{"LostEntryKeepsItsSlots", nil,
			func(_ *Options, off *switches) { off.holds = true }, lostEntry},
		{"LongWorkCantFillARunner", nil,
			func(o *Options, _ *switches) { o.Settings.ShortReserve = 0 }, longWork},
		{"BatchWorkAgesWithinABound", nil,
			func(o *Options, _ *switches) { o.Settings.BatchDelay = time.Hour }, batchAges},
		{"OneCallersBurstDoesNotStarveAnother", nil,
			func(o *Options, _ *switches) { o.Settings.Queue = QueueFIFO }, callerBurst},
		{"BusyModelDoesNotHoldUpAQuietOne", nil,
			func(o *Options, _ *switches) { o.Settings.Queue = QueueFIFO }, busyModel},
		{"CalmCallerIsNotRefusedForAnothersBacklog", nil,
			func(o *Options, _ *switches) { o.Settings.Queue = QueueFIFO }, calmCallerAdmitted},
		{"HopelessAskIsRefusedAtOnce", nil,
			func(o *Options, _ *switches) { o.Settings.EarlyRefusal = false }, hopelessAsk},
		{"StragglerIsAvoided", nil,
			func(o *Options, _ *switches) { o.Settings.AvoidStragglers = false }, straggler},
		{"AvoidedShareIsBounded", nil,
			func(o *Options, _ *switches) { o.Settings.MaxAvoidShare = 1 }, manyStragglers},
		{"TrustComesBackSlowly", nil,
			func(o *Options, _ *switches) { o.Settings.ProbeGood = 1 }, slowTrust},
		{"HedgesStayInTheirBudget", nil,
			func(o *Options, _ *switches) { o.Settings.HedgeShare = 1 }, hedgeBudgetHolds},
		{"HedgesUseSpareSlotsOnly", nil,
			func(o *Options, _ *switches) { o.Settings.HedgeSpare = 0 }, hedgeSpare},
		{"PrefixGapForgetsTheUpstream", nil,
			func(_ *Options, off *switches) { off.prefixGap = true }, prefixGap},
		{"PrefixHintNeverOverridesLoad", nil,
			func(o *Options, _ *switches) { o.Settings.PrefixSlack = 10 }, prefixLoad},
		{"ConcurrencyFallsWhenTokensAreSlow", nil,
			func(o *Options, _ *switches) { o.Settings.AdaptiveLimit = false }, slowTokens},
	}
}

func TestGrant_MechanismHoldsAndIsNeeded(t *testing.T) {
	for _, m := range mechanisms() {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(runSituation(t, m, false))
			is.True(runSituation(t, m, true) != nil) // without the mechanism the situation fails
		})
	}
}

// runSituation plays the situation, with the mechanism or without it. A broken invariant
// counts as a failure of the situation.
func runSituation(t *testing.T, m mechanism, without bool) (err error) {
	defer func() {
		if e, ok := recover().(*InvariantError); ok {
			err = e
		}
	}()
	var off switches
	b := newBench(t, func(o *Options) {
		if m.options != nil {
			m.options(o)
		}
		if without {
			m.takeOut(o, &off)
		}
	})
	b.core.off = off
	return m.situation(b)
}

func recovering(o *Options) {
	o.Recovering = true
	o.KnownEntries = []string{"e1", "e2"}
}

// want returns an error unless the condition holds.
func want(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return errors.Errorf(format, args...)
}

func leavingUpstream(b *bench) error {
	b.runner("u1", 2, "m1")
	b.step(UpstreamState{ID: "u1", Incarnation: 1, Slots: 2, Leaving: true, Ready: []Ready{{Model: "m1"}}})
	return want(len(grants(b.step(b.ask(nil)))) == 0, "a leaving upstream was granted")
}

func digest(d string) func(*Ask) { return func(k *Ask) { k.BodyDigest = d } }

func bodyOnThree(b *bench) error {
	for i := range 3 {
		b.runner(fmt.Sprint("u", i), 1, "m1")
	}
	n := 0
	for range 3 {
		n += len(grants(b.step(b.ask(digest("d")))))
	}
	return want(n == 2, "the body runs on %d upstreams", n)
}

func suspectAlone(b *bench) error {
	for i := range 3 {
		b.runner(fmt.Sprint("u", i), 2, "m1")
	}
	b.step(SuspectsChanged{[]*wire.Suspect{{BodyDigest: "d", Upstreams: []string{"u9@1"}}}})
	first := b.granted(b.step(b.ask(digest("d"))))
	if n := len(grants(b.step(b.ask(digest("d"))))); n != 0 {
		return errors.New("a suspect body runs twice at once")
	}
	if first.HedgeAfter != 0 {
		return errors.New("a suspect body may be hedged")
	}
	return want(len(grants(b.step(okRelease(first.Attempt, 10)))) == 1, "the next one was not granted in turn")
}

func resentAfterCut(b *bench) error {
	lost := 0
	for i := range 4 {
		b.runner(fmt.Sprint("u", i), 1, "m1")
	}
	for i := range 4 {
		g := grants(b.step(b.ask(digest("d"))))
		if len(g) == 0 {
			continue
		}
		lost++
		b.after(100*time.Millisecond, Release{Attempt: g[0].Attempt, Outcome: wire.Outcome_OUTCOME_CUT})
		// Nobody has noticed the death of this upstream when the caller sends again.
		b.step(UpstreamState{ID: g[0].Upstream, Incarnation: 1, Slots: 1})
		_ = i
	}
	return want(lost == 2, "%d upstreams were lost to one body", lost)
}

func successorWaits(b *bench) error {
	b.runner("u1", 1, "m1")
	b.step(EntryHello{Entry: "e1"})
	if len(grants(b.step(b.ask(nil)))) != 0 {
		return errors.New("granted before the second entry had said hello")
	}
	held := []HeldGrant{{Attempt: "old", Upstream: "u1", Incarnation: 1, Model: "m1"}}
	if len(grants(b.step(EntryHello{Entry: "e2", Held: held}))) != 0 {
		return errors.New("granted a slot that an entry holds")
	}
	return want(len(grants(b.step(okRelease("old", 10)))) == 1, "the waiting ask is stuck")
}

func unheardEntry(b *bench) error {
	b.step(UpstreamState{ID: "u1", Incarnation: 1, Slots: 2, ReportedRunning: 1, Ready: []Ready{{Model: "m1"}}})
	b.step(EntryHello{Entry: "e1"})
	b.step(EntryGone{"e2"}) // its session has expired, nobody knows what it runs
	n := len(grants(b.step(b.ask(nil)))) + len(grants(b.step(b.ask(nil))))
	return want(n == 1, "%d granted beside one that an unheard entry may run", n)
}

func lostEntry(b *bench) error {
	b.runner("u1", 1, "m1")
	b.granted(b.step(b.ask(nil)))
	b.step(EntryGone{"e1"})
	b.after(time.Second, Tick{})
	n := len(grants(b.step(b.ask(func(k *Ask) { k.Entry = "e2" }))))
	return want(n == 0, "the slot was granted while the lost entry's attempt may run")
}

func longAsk(k *Ask) {
	k.Class = wire.Class_CLASS_BATCH
	k.MaxTokens = 4000
	k.Deadline += time.Hour
}

func longWork(b *bench) error {
	b.runner("u1", 4, "m1")
	for range 8 {
		b.step(b.ask(longAsk))
	}
	if n := b.core.InUse("u1"); n != 2 {
		return errors.Errorf("long work holds %d of 4 slots", n)
	}
	return want(len(grants(b.step(b.ask(nil)))) == 1, "short work waits behind long work")
}

// batchAges keeps one slot busy with interactive work that never ends and expects the
// batch ask to be served within its delay and one answer.
func batchAges(b *bench) error {
	b.runner("u1", 1, "m1")
	running := b.granted(b.step(b.ask(nil))).Attempt
	batch := b.ask(func(k *Ask) { k.Class, k.Deadline = wire.Class_CLASS_BATCH, time.Hour })
	b.step(batch)
	turns := time.Duration(1/b.core.set.AgedShare) + 2
	for b.now < b.core.set.BatchDelay+turns*time.Second {
		b.step(b.ask(nil))
		g := grants(b.after(time.Second, okRelease(running, 10)))
		if len(g) == 0 {
			return errors.New("a free slot was not granted")
		}
		running = g[0].Attempt
		if running == batch.Attempt {
			return nil
		}
	}
	return errors.New("batch work starves")
}

func callerBurst(b *bench) error {
	b.runner("u1", 1, "m1")
	running := b.granted(b.step(b.ask(nil))).Attempt
	for range 20 {
		b.step(b.ask(func(k *Ask) { k.Caller = "burst" }))
	}
	calm := b.ask(func(k *Ask) { k.Caller = "calm" })
	b.step(calm)
	for range 2 {
		running = b.granted(b.after(100*time.Millisecond, okRelease(running, 10))).Attempt
		if running == calm.Attempt {
			return nil
		}
	}
	return errors.New("the calm caller waits behind the burst")
}

func busyModel(b *bench) error {
	b.runner("u1", 2, "m1", "m2")
	var running []string
	for range 20 {
		for _, g := range grants(b.step(b.ask(nil))) {
			running = append(running, g.Attempt)
		}
	}
	quiet := b.ask(func(k *Ask) { k.Model = "m2" })
	b.step(quiet)
	next := b.granted(b.after(100*time.Millisecond, okRelease(running[0], 10)))
	return want(next.Attempt == quiet.Attempt, "the quiet model waits behind the busy one")
}

func calmCallerAdmitted(b *bench) error {
	b.runner("u1", 1, "m1")
	b.teach(10, usual) // 1.1 s each
	for range 20 {
		b.step(b.ask(func(k *Ask) { k.Deadline += time.Hour }))
	}
	calm := b.ask(func(k *Ask) { k.Caller, k.Deadline = "calm", b.now+6*time.Second })
	return want(len(refusals(b.step(calm))) == 0, "the calm caller is refused for another's backlog")
}

// teach runs answers one by one, so that the model's timing is known.
func (b *bench) teach(n int, release func(string) Release) {
	for range n {
		g := b.granted(b.step(b.ask(nil)))
		b.after(10*time.Millisecond, release(g.Attempt))
	}
}

func usual(attempt string) Release { return okRelease(attempt, 30) }

func hopelessAsk(b *bench) error {
	b.runner("u1", 1, "m1")
	b.teach(10, usual)
	b.granted(b.step(b.ask(nil)))
	// An answer takes 1.1 s; the one running and the wait for it leave no time.
	r := refusals(b.step(b.ask(func(k *Ask) { k.Deadline = b.now + 1200*time.Millisecond })))
	if len(r) != 1 || r[0].Kind != errkind.DeadlineUnmeetable {
		return errors.New("an ask that can't meet its deadline waits")
	}
	return want(r[0].RetryAfter >= time.Second, "no time to come back")
}

// fleet announces nine runners and teaches the core what is usual.
func (b *bench) fleet() {
	for i := range 9 {
		b.runner(fmt.Sprint("u", i), 4, "m1")
	}
	b.play(200, func(string) float64 { return 1 })
}

// play runs answers whose speed depends on the upstream and counts them by upstream.
func (b *bench) play(n int, slowness func(string) float64) map[string]int {
	counts := map[string]int{}
	for range n {
		g := b.granted(b.step(b.ask(nil)))
		counts[g.Upstream]++
		r := usual(g.Attempt)
		f := slowness(g.Upstream)
		r.FirstToken = time.Duration(float64(r.FirstToken) * f)
		r.Duration = time.Duration(float64(r.Duration) * f)
		b.after(10*time.Millisecond, r)
	}
	return counts
}

func slowIf(slow func(string) bool) func(string) float64 {
	return func(id string) float64 {
		if slow(id) {
			return 10
		}
		return 1
	}
}

func straggler(b *bench) error {
	b.fleet()
	slow := slowIf(func(id string) bool { return id == "u3" })
	b.play(100, slow)
	n := b.play(200, slow)["u3"]
	return want(n <= 4, "%d of 200 went to the straggler", n)
}

func manyStragglers(b *bench) error {
	b.fleet()
	// Four of nine are slow: the median is healthy, yet only a bounded share may go.
	b.play(400, slowIf(func(id string) bool { return id <= "u3" }))
	avoided := 0
	for _, s := range b.core.Status() {
		if s.Avoided {
			avoided++
		}
	}
	return want(avoided >= 1 && avoided <= 3, "%d of 9 upstreams are avoided", avoided)
}

func slowTrust(b *bench) error {
	b.fleet()
	b.play(100, slowIf(func(id string) bool { return id == "u3" }))
	b.now += b.core.set.AvoidFor
	probes := 0
	for probes == 0 && b.now < time.Minute {
		probes = b.play(1, func(string) float64 { return 1 })["u3"]
	}
	if probes == 0 {
		return errors.New("the upstream is never probed")
	}
	if !b.core.Status()[3].Avoided {
		return errors.New("one good probe ended the avoiding")
	}
	b.play(400, func(string) float64 { return 1 })
	return want(!b.core.Status()[3].Avoided, "a healthy upstream stays avoided")
}

func hedgeOf(first Ask, on string) func(*Ask) {
	return func(k *Ask) {
		k.Request = first.Request
		k.Hedge = true
		k.Exclude = []string{on}
	}
}

func hedgeBudgetHolds(b *bench) error {
	b.fleet()
	hedged := 0
	const requests = 400
	for range requests {
		k := b.ask(nil)
		g := b.granted(b.step(k))
		if h := grants(b.step(b.ask(hedgeOf(k, g.Upstream)))); len(h) == 1 {
			hedged++
			b.step(Release{Attempt: h[0].Attempt, Outcome: wire.Outcome_OUTCOME_CANCELLED})
		}
		b.after(10*time.Millisecond, usual(g.Attempt))
	}
	most := int(requests*0.05) + maxHedgeCredit
	return want(hedged > 0 && hedged <= most, "%d of %d requests were hedged", hedged, requests)
}

func hedgeSpare(b *bench) error {
	b.runner("u1", 8, "m1")
	b.teach(300, usual)
	b.runner("u2", 8, "m1")
	// Seven of u2's slots are taken: one free slot is kept for first attempts.
	for range 7 {
		b.granted(b.step(b.ask(func(k *Ask) { k.Exclude = []string{"u1"} })))
	}
	k := b.ask(func(k *Ask) { k.Exclude = []string{"u2"} })
	g := b.granted(b.step(k))
	r := refusals(b.step(b.ask(hedgeOf(k, g.Upstream))))
	return want(len(r) == 1 && r[0].Kind == errkind.Overloaded, "a hedge took the last slot")
}

func prefixGap(b *bench) error {
	for i := range 9 {
		b.runner(fmt.Sprint("u", i), 16, "m1")
	}
	b.step(PrefixEvent{Upstream: "u4", Number: 1, Prefix: "p"})
	hinted := b.ask(func(k *Ask) { k.PrefixHash = "p" })
	if g := b.granted(b.step(hinted)); g.Upstream != "u4" {
		return errors.Errorf("the hint was not followed: %s", g.Upstream)
	}
	b.step(PrefixEvent{Upstream: "u4", Number: 3, Prefix: "q"}) // number 2 was lost
	return want(!b.core.prefixes.holds("u4", "p"), "a prefix is still believed after a gap")
}

func prefixLoad(b *bench) error {
	for i := range 9 {
		b.runner(fmt.Sprint("u", i), 16, "m1")
	}
	b.step(PrefixEvent{Upstream: "u4", Number: 1, Prefix: "p"})
	for range 72 {
		b.granted(b.step(b.ask(func(k *Ask) { k.PrefixHash = "p" })))
	}
	n := b.core.InUse("u4")
	return want(n <= 12, "the holder of the prefix has %d of 16 slots in use at half load", n)
}

func slowTokens(b *bench) error {
	b.runner("u1", 16, "m1")
	for range 20 {
		var attempts []string
		for b.core.InUse("u1") < min(16, b.core.free(b.core.upstreams["u1"])+b.core.InUse("u1")) {
			attempts = append(attempts, b.granted(b.step(b.ask(nil))).Attempt)
		}
		b.now += time.Second
		for _, id := range attempts {
			r := okRelease(id, 30)
			r.Duration = 30 * 90 * time.Millisecond
			b.step(r)
		}
	}
	limit := b.core.free(b.core.upstreams["u1"])
	return want(limit < 10 && limit >= 4, "the limit is %d of 16 though tokens come too slowly", limit)
}
