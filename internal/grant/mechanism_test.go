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

// mechanism is one protection of the core, with a scenario that needs it and a function
// that disables it.
type mechanism struct {
	name     string
	options  func(*Options)
	disable  func(*Options, *disabledMechanisms)
	scenario func(*harness) error
}

func mechanisms() []mechanism {
	return []mechanism{
		{"UpstreamLeaving", nil,
			func(_ *Options, off *disabledMechanisms) { off.leaving = true }, leavingUpstream},
		{"BodyOnTwoUpstreams", nil,
			func(_ *Options, off *disabledMechanisms) { off.suspects = true }, bodyOnThreeUpstreams},
		{"SuspectBody", nil,
			func(_ *Options, off *disabledMechanisms) { off.suspects = true }, suspectBodyTwice},
		{"RetriesOfCutBody", nil,
			func(_ *Options, off *disabledMechanisms) { off.unresolvedCuts = true }, retriesOfCutBody},
		{"RecoveryWithKnownEntries", recovering,
			func(_ *Options, off *disabledMechanisms) { off.recovery = true }, slotHeldAtRecovery},
		{"RecoveryWithMissingEntry", recovering,
			func(_ *Options, off *disabledMechanisms) { off.unaccounted = true }, missingEntry},
		{"EntryLost", nil,
			func(_ *Options, off *disabledMechanisms) { off.holds = true }, lostEntry},
		{"ShortBehindLongWork", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.ShortReserve = 0 }, shortBehindLongWork},
		{"BatchUnderInteractiveLoad", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.BatchDelay = time.Hour }, batchUnderInteractiveLoad},
		{"CallerBurst", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.Queue = QueueFIFO }, callerBurst},
		{"BusyModel", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.Queue = QueueFIFO }, busyModel},
		{"BacklogOfAnotherCaller", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.Queue = QueueFIFO }, steadyCallerAdmitted},
		{"UnmeetableDeadline", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.EarlyRefusal = false }, unmeetableDeadline},
		{"Straggler", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.AvoidStragglers = false }, straggler},
		{"ManyStragglers", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.MaxAvoidShare = 1 }, manyStragglers},
		{"StragglerRecovers", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.ProbeSuccesses = 1 }, stragglerRecovers},
		{"HedgeBudget", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.HedgeShare = 1 }, hedgesWithinBudget},
		{"HedgeWithoutSpareSlots", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.HedgeFreeShare = 0 }, hedgeWithoutSpareSlots},
		{"PrefixEventGap", nil,
			func(_ *Options, off *disabledMechanisms) { off.prefixGap = true }, prefixEventGap},
		{"PrefixHintUnderLoad", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.PrefixSlack = 10 }, prefixHintUnderLoad},
		{"SlowTokens", nil,
			func(o *Options, _ *disabledMechanisms) { o.Settings.AdaptiveLimit = false }, slowTokens},
	}
}

func TestGrant_MechanismEnabledAndDisabled(t *testing.T) {
	for _, m := range mechanisms() {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(runScenario(t, m, false))
			is.True(runScenario(t, m, true) != nil) // without the mechanism the scenario fails
		})
	}
}

// runScenario runs the scenario with the mechanism enabled or disabled. A violated
// invariant is returned as an error of the scenario.
func runScenario(t *testing.T, m mechanism, disabled bool) (err error) {
	defer func() {
		if e, ok := recover().(*InvariantError); ok {
			err = e
		}
	}()
	var off disabledMechanisms
	h := newHarness(t, func(o *Options) {
		if m.options != nil {
			m.options(o)
		}
		if disabled {
			m.disable(o, &off)
		}
	})
	h.core.disabled = off
	return m.scenario(h)
}

func recovering(o *Options) {
	o.Recovering = true
	o.KnownEntries = []string{"e1", "e2"}
}

// expect returns an error unless ok is true.
func expect(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return errors.Errorf(format, args...)
}

func leavingUpstream(h *harness) error {
	h.addRunner("u1", 2, "m1")
	h.step(UpstreamState{ID: "u1", Incarnation: 1, Slots: 2, Leaving: true, Ready: []Ready{{Model: "m1"}}})
	return expect(len(grants(h.step(h.request(nil)))) == 0, "a slot of a leaving upstream was granted")
}

func digest(d string) func(*SlotRequest) { return func(req *SlotRequest) { req.BodyDigest = d } }

func bodyOnThreeUpstreams(h *harness) error {
	for i := range 3 {
		h.addRunner(fmt.Sprint("u", i), 1, "m1")
	}
	n := 0
	for range 3 {
		n += len(grants(h.step(h.request(digest("d")))))
	}
	return expect(n == 2, "the body runs on %d upstreams", n)
}

func suspectBodyTwice(h *harness) error {
	for i := range 3 {
		h.addRunner(fmt.Sprint("u", i), 2, "m1")
	}
	h.step(SuspectsChanged{[]*wire.Suspect{{BodyDigest: "d", Upstreams: []string{"u9@1"}}}})
	first := h.granted(h.step(h.request(digest("d"))))
	if n := len(grants(h.step(h.request(digest("d"))))); n != 0 {
		return errors.New("a suspect body runs twice at once")
	}
	if first.HedgeAfter != 0 {
		return errors.New("a suspect body may be hedged")
	}
	return expect(len(grants(h.step(okRelease(first.Attempt, 10)))) == 1, "the next attempt was not granted after the first had ended")
}

func retriesOfCutBody(h *harness) error {
	lost := 0
	for i := range 4 {
		h.addRunner(fmt.Sprint("u", i), 1, "m1")
	}
	for i := range 4 {
		g := grants(h.step(h.request(digest("d"))))
		if len(g) == 0 {
			continue
		}
		lost++
		h.stepAfter(100*time.Millisecond, Release{Attempt: g[0].Attempt, Outcome: wire.Outcome_OUTCOME_CUT})
		// The failure of this upstream is not detected yet when the caller retries.
		h.step(UpstreamState{ID: g[0].Upstream, Incarnation: 1, Slots: 1})
		_ = i
	}
	return expect(lost == 2, "one body brought down %d upstreams", lost)
}

func slotHeldAtRecovery(h *harness) error {
	h.addRunner("u1", 1, "m1")
	h.step(EntryHello{Entry: "e1"})
	if len(grants(h.step(h.request(nil)))) != 0 {
		return errors.New("granted before the second entry had opened its session")
	}
	held := []HeldGrant{{Attempt: "old", Upstream: "u1", Incarnation: 1, Model: "m1"}}
	if len(grants(h.step(EntryHello{Entry: "e2", Held: held}))) != 0 {
		return errors.New("granted a slot that an entry holds")
	}
	return expect(len(grants(h.step(okRelease("old", 10)))) == 1, "the waiting attempt was not granted after the release")
}

func missingEntry(h *harness) error {
	h.step(UpstreamState{ID: "u1", Incarnation: 1, Slots: 2, ReportedRunning: 1, Ready: []Ready{{Model: "m1"}}})
	h.step(EntryHello{Entry: "e1"})
	h.step(EntryGone{"e2"}) // its session has expired, so its running attempts are unknown
	n := len(grants(h.step(h.request(nil)))) + len(grants(h.step(h.request(nil))))
	return expect(n == 1, "%d attempts granted beside one that a missing entry may run", n)
}

func lostEntry(h *harness) error {
	h.addRunner("u1", 1, "m1")
	h.granted(h.step(h.request(nil)))
	h.step(EntryGone{"e1"})
	h.stepAfter(time.Second, Tick{})
	n := len(grants(h.step(h.request(func(req *SlotRequest) { req.Entry = "e2" }))))
	return expect(n == 0, "the slot was granted while the lost entry's attempt may still run")
}

func longRequest(req *SlotRequest) {
	req.Class = wire.Class_CLASS_BATCH
	req.MaxTokens = 4000
	req.Deadline += time.Hour
}

func shortBehindLongWork(h *harness) error {
	h.addRunner("u1", 4, "m1")
	for range 8 {
		h.step(h.request(longRequest))
	}
	if n := h.core.InUse("u1"); n != 2 {
		return errors.Errorf("long work holds %d of 4 slots", n)
	}
	return expect(len(grants(h.step(h.request(nil)))) == 1, "short work waits behind long work")
}

// batchUnderInteractiveLoad keeps one slot busy with interactive work and expects the batch
// attempt to be granted after its delay and the grants of its aged share.
func batchUnderInteractiveLoad(h *harness) error {
	h.addRunner("u1", 1, "m1")
	running := h.granted(h.step(h.request(nil))).Attempt
	batch := h.request(func(req *SlotRequest) { req.Class, req.Deadline = wire.Class_CLASS_BATCH, time.Hour })
	h.step(batch)
	turns := time.Duration(1/h.core.settings.AgedShare) + 2
	for h.now < h.core.settings.BatchDelay+turns*time.Second {
		h.step(h.request(nil))
		g := grants(h.stepAfter(time.Second, okRelease(running, 10)))
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

func callerBurst(h *harness) error {
	h.addRunner("u1", 1, "m1")
	running := h.granted(h.step(h.request(nil))).Attempt
	for range 20 {
		h.step(h.request(func(req *SlotRequest) { req.Caller = "burst" }))
	}
	steady := h.request(func(req *SlotRequest) { req.Caller = "steady" })
	h.step(steady)
	for range 2 {
		running = h.granted(h.stepAfter(100*time.Millisecond, okRelease(running, 10))).Attempt
		if running == steady.Attempt {
			return nil
		}
	}
	return errors.New("the steady caller waits behind the burst")
}

func busyModel(h *harness) error {
	h.addRunner("u1", 2, "m1", "m2")
	var running []string
	for range 20 {
		for _, g := range grants(h.step(h.request(nil))) {
			running = append(running, g.Attempt)
		}
	}
	rare := h.request(func(req *SlotRequest) { req.Model = "m2" })
	h.step(rare)
	next := h.granted(h.stepAfter(100*time.Millisecond, okRelease(running[0], 10)))
	return expect(next.Attempt == rare.Attempt, "the rarely used model waits behind the busy one")
}

func steadyCallerAdmitted(h *harness) error {
	h.addRunner("u1", 1, "m1")
	h.runAnswers(10, usualRelease) // 1.1 s each
	for range 20 {
		h.step(h.request(func(req *SlotRequest) { req.Deadline += time.Hour }))
	}
	steady := h.request(func(req *SlotRequest) { req.Caller, req.Deadline = "steady", h.now+6*time.Second })
	return expect(len(refusals(h.step(steady))) == 0, "the steady caller is refused because of another caller's backlog")
}

// runAnswers runs answers one after another, so that the model's timing is known.
func (h *harness) runAnswers(n int, release func(string) Release) {
	for range n {
		g := h.granted(h.step(h.request(nil)))
		h.stepAfter(10*time.Millisecond, release(g.Attempt))
	}
}

func usualRelease(attempt string) Release { return okRelease(attempt, 30) }

func unmeetableDeadline(h *harness) error {
	h.addRunner("u1", 1, "m1")
	h.runAnswers(10, usualRelease)
	h.granted(h.step(h.request(nil)))
	// An answer takes 1.1 s. After the wait for the running one there is too little time
	// left.
	r := refusals(h.step(h.request(func(req *SlotRequest) { req.Deadline = h.now + 1200*time.Millisecond })))
	if len(r) != 1 || r[0].Kind != errkind.DeadlineUnmeetable {
		return errors.New("an attempt that can't meet its deadline was not refused")
	}
	return expect(r[0].RetryAfter >= time.Second, "the refusal has no retry delay")
}

// startFleet announces nine runners and runs answers until the usual latency is known.
func (h *harness) startFleet() {
	for i := range 9 {
		h.addRunner(fmt.Sprint("u", i), 4, "m1")
	}
	h.runAtSpeed(200, func(string) float64 { return 1 })
}

// runAtSpeed runs answers whose latency depends on the upstream and counts them by
// upstream.
func (h *harness) runAtSpeed(n int, slowness func(string) float64) map[string]int {
	counts := map[string]int{}
	for range n {
		g := h.granted(h.step(h.request(nil)))
		counts[g.Upstream]++
		r := usualRelease(g.Attempt)
		f := slowness(g.Upstream)
		r.FirstToken = time.Duration(float64(r.FirstToken) * f)
		r.Duration = time.Duration(float64(r.Duration) * f)
		h.stepAfter(10*time.Millisecond, r)
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

func straggler(h *harness) error {
	h.startFleet()
	slow := slowIf(func(id string) bool { return id == "u3" })
	h.runAtSpeed(100, slow)
	n := h.runAtSpeed(200, slow)["u3"]
	return expect(n <= 4, "%d of 200 attempts went to the straggler", n)
}

func manyStragglers(h *harness) error {
	h.startFleet()
	// Four of nine are slow: the median is healthy, but only a bounded share may be
	// avoided.
	h.runAtSpeed(400, slowIf(func(id string) bool { return id <= "u3" }))
	avoided := 0
	for _, s := range h.core.Status() {
		if s.Avoided {
			avoided++
		}
	}
	return expect(avoided >= 1 && avoided <= 3, "%d of 9 upstreams are avoided", avoided)
}

func stragglerRecovers(h *harness) error {
	h.startFleet()
	h.runAtSpeed(100, slowIf(func(id string) bool { return id == "u3" }))
	h.now += h.core.settings.AvoidFor
	probes := 0
	for probes == 0 && h.now < time.Minute {
		probes = h.runAtSpeed(1, func(string) float64 { return 1 })["u3"]
	}
	if probes == 0 {
		return errors.New("the upstream is never probed")
	}
	if !h.core.Status()[3].Avoided {
		return errors.New("the upstream is used normally after a single successful probe")
	}
	h.runAtSpeed(400, func(string) float64 { return 1 })
	return expect(!h.core.Status()[3].Avoided, "a healthy upstream is still avoided")
}

func hedgeOf(first SlotRequest, on string) func(*SlotRequest) {
	return func(req *SlotRequest) {
		req.Request = first.Request
		req.Hedge = true
		req.Exclude = []string{on}
	}
}

func hedgesWithinBudget(h *harness) error {
	h.startFleet()
	hedged := 0
	const requests = 400
	for range requests {
		req := h.request(nil)
		g := h.granted(h.step(req))
		if hedges := grants(h.step(h.request(hedgeOf(req, g.Upstream)))); len(hedges) == 1 {
			hedged++
			h.step(Release{Attempt: hedges[0].Attempt, Outcome: wire.Outcome_OUTCOME_CANCELLED})
		}
		h.stepAfter(10*time.Millisecond, usualRelease(g.Attempt))
	}
	maxHedges := int(requests*0.05) + maxHedgeCredit
	return expect(hedged > 0 && hedged <= maxHedges, "%d of %d requests were hedged", hedged, requests)
}

func hedgeWithoutSpareSlots(h *harness) error {
	h.addRunner("u1", 8, "m1")
	h.runAnswers(300, usualRelease)
	h.addRunner("u2", 8, "m1")
	// Seven of u2's slots are taken: the last one is reserved for first attempts.
	for range 7 {
		h.granted(h.step(h.request(func(req *SlotRequest) { req.Exclude = []string{"u1"} })))
	}
	req := h.request(func(req *SlotRequest) { req.Exclude = []string{"u2"} })
	g := h.granted(h.step(req))
	r := refusals(h.step(h.request(hedgeOf(req, g.Upstream))))
	return expect(len(r) == 1 && r[0].Kind == errkind.Overloaded, "a hedge took the last slot")
}

func prefixEventGap(h *harness) error {
	for i := range 9 {
		h.addRunner(fmt.Sprint("u", i), 16, "m1")
	}
	h.step(PrefixEvent{Upstream: "u4", Number: 1, Prefix: "p"})
	hinted := h.request(func(req *SlotRequest) { req.PrefixHash = "p" })
	if g := h.granted(h.step(hinted)); g.Upstream != "u4" {
		return errors.Errorf("the hint was not followed: %s", g.Upstream)
	}
	h.step(PrefixEvent{Upstream: "u4", Number: 3, Prefix: "q"}) // number 2 was lost
	return expect(!h.core.prefixes.holds("u4", "p"), "the prefix is still recorded after a gap")
}

func prefixHintUnderLoad(h *harness) error {
	for i := range 9 {
		h.addRunner(fmt.Sprint("u", i), 16, "m1")
	}
	h.step(PrefixEvent{Upstream: "u4", Number: 1, Prefix: "p"})
	for range 72 {
		h.granted(h.step(h.request(func(req *SlotRequest) { req.PrefixHash = "p" })))
	}
	n := h.core.InUse("u4")
	return expect(n <= 12, "the holder of the prefix has %d of 16 slots in use at half load", n)
}

func slowTokens(h *harness) error {
	h.addRunner("u1", 16, "m1")
	for range 20 {
		var attempts []string
		for h.core.InUse("u1") < min(16, h.core.freeSlots(h.core.upstreams["u1"])+h.core.InUse("u1")) {
			attempts = append(attempts, h.granted(h.step(h.request(nil))).Attempt)
		}
		h.now += time.Second
		for _, id := range attempts {
			r := okRelease(id, 30)
			r.Duration = 30 * 90 * time.Millisecond
			h.step(r)
		}
	}
	limit := h.core.freeSlots(h.core.upstreams["u1"])
	return expect(limit < 10 && limit >= 4, "the limit is %d of 16 slots although tokens come too slowly", limit)
}
