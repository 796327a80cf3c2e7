package grant

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"gentiankeel/internal/wire"
)

// environment models the system outside the core: what entries hold, what upstreams run
// and which deaths the replicated state has recorded.
type environment struct {
	t              *rapid.T
	core           *Core
	options        Options
	log            []logEntry
	settings       Settings
	now            Time
	nextID         int
	slots          map[string]int
	incarnations   map[string]uint64
	upstreams      map[string]UpstreamState
	waiting        map[string]SlotRequest // by attempt
	held           map[string]heldSlot
	answered       map[string]bool
	recordedDeaths map[string][]string // by body, in the replicated state
	trueDeaths     map[string]int      // by body since its last answer, whether recorded or not
	unreported     map[string]bool     // entries that have not reported to the recovering core
	recoveryEnd    Time
	cuts           []cutAttempt
	detached       []detachedAttempt
	coreOnlyCuts   []HeldGrant     // cut attempts of lost entries, recorded by the present core only
	unreportable   map[string]bool // deaths that nothing is left to report
	undetected     map[string]Time // times of failures that are not yet detected, by upstream
}

// cutAttempt is an attempt that was cut off, as kept by its entry.
type cutAttempt struct {
	held  HeldGrant
	entry string
	until Time
}

type heldSlot struct {
	grant Grant
	req   SlotRequest
	cut   bool // its upstream has failed
}

var (
	testEntries   = []string{"e1", "e2", "e3"}
	testUpstreams = []string{"u1", "u2", "u3", "u4"}
	testModels    = []string{"m1", "m2"}
	testDigests   = []string{"", "", "", "", "d1", "d2", "d3"}
)

func newEnvironment(t *rapid.T, s Settings) *environment {
	env := &environment{
		t: t, settings: s,
		slots: map[string]int{}, incarnations: map[string]uint64{}, upstreams: map[string]UpstreamState{},
		waiting: map[string]SlotRequest{}, held: map[string]heldSlot{}, answered: map[string]bool{},
		recordedDeaths: map[string][]string{}, trueDeaths: map[string]int{}, unreported: map[string]bool{}, undetected: map[string]Time{}, unreportable: map[string]bool{},
	}
	env.start(Options{Settings: s, Seed: 1, FullChecks: true})
	env.step(SpecChanged{testSpec(8)})
	return env
}

// logEntry is one step of the present core, for the replay.
type logEntry struct {
	now     Time
	event   Event
	actions []Action
}

// replay applies the log of the present core to a new one and compares the actions.
func (env *environment) replay(t *rapid.T) {
	other := New(env.options)
	for i, l := range env.log {
		got := fmt.Sprintf("%+v", other.Step(l.now, l.event))
		if want := fmt.Sprintf("%+v", l.actions); got != want {
			t.Fatalf("step %d replays to %s, want %s", i, got, want)
		}
	}
}

func (env *environment) step(ev Event) {
	actions := env.core.Step(env.now, ev)
	env.log = append(env.log, logEntry{env.now, ev, actions})
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			env.granted(a)
		case Refuse:
			env.answer(a.Attempt)
		case ReportDeath:
			list := env.recordedDeaths[a.BodyDigest]
			if key := wire.SuspectKey(a.Upstream, a.Incarnation); !slices.Contains(list, key) {
				env.recordedDeaths[a.BodyDigest] = append(list, key)
				env.countRecorded(a.BodyDigest + " " + key)
			}
		case ReportAnswer:
			env.recordAnswer(a)
		}
	}
}

// recordAnswer applies a reported answer to the replicated state.
func (env *environment) recordAnswer(a ReportAnswer) {
	list := env.recordedDeaths[a.BodyDigest]
	if len(list) >= maxLostUpstreams {
		return // in quarantine
	}
	list = slices.DeleteFunc(slices.Clone(list), func(death string) bool { return slices.Contains(a.Deaths, death) })
	env.recordedDeaths[a.BodyDigest] = list
	if len(list) == 0 {
		delete(env.recordedDeaths, a.BodyDigest)
	}
}

// bodyAnswered forgets the deaths before an answer: they were not the body's doing.
func (env *environment) bodyAnswered(digest string) {
	delete(env.trueDeaths, digest)
	for key := range env.unreportable {
		if strings.Fields(key)[0] == digest {
			env.unreportable[key] = false // it isn't counted again
		}
	}
}

// countRecorded counts an unreportable death again once it has been recorded after all.
func (env *environment) countRecorded(key string) {
	counts := env.unreportable[key]
	delete(env.unreportable, key)
	if counts {
		env.trueDeaths[strings.Fields(key)[0]]++
	}
}

func (env *environment) answer(attempt string) SlotRequest {
	req, waits := env.waiting[attempt]
	if !waits || env.answered[attempt] {
		env.t.Fatalf("attempt %s was answered twice or was never sent", attempt)
	}
	env.answered[attempt] = true
	delete(env.waiting, attempt)
	return req
}

func (env *environment) granted(g Grant) {
	req := env.answer(g.Attempt)
	u, alive := env.upstreams[g.Upstream]
	if !alive || u.Leaving || u.Incarnation != g.Incarnation {
		env.t.Fatalf("attempt granted on %s, which is leaving or gone", g.Upstream)
	}
	if slices.Contains(req.Exclude, g.Upstream) {
		env.t.Fatalf("attempt granted on excluded upstream %s", g.Upstream)
	}
	// On a failed upstream the entry gets no connection, so the body does not run.
	_, failed := env.undetected[g.Upstream]
	env.held[g.Attempt] = heldSlot{grant: g, req: req, cut: failed}
	if n := env.inFlight(g.Upstream); n > u.Slots {
		env.t.Fatalf("%d attempts in flight on %s with %d slots", n, g.Upstream, u.Slots)
	}
}

func (env *environment) inFlight(id string) int {
	n := 0
	for _, h := range env.held {
		if h.grant.Upstream == id && !h.cut {
			n++
		}
	}
	for _, g := range env.detached {
		if g.held.Upstream == id && g.until > env.now && env.upstreams[id].Incarnation == g.held.Incarnation {
			n++
		}
	}
	return n
}

func (env *environment) request(t *rapid.T) {
	env.nextID++
	req := SlotRequest{
		Attempt:    fmt.Sprintf("t%d", env.nextID),
		Request:    fmt.Sprintf("r%d", env.nextID),
		Entry:      rapid.SampledFrom(testEntries).Draw(t, "entry"),
		Caller:     rapid.SampledFrom([]string{"c1", "c2"}).Draw(t, "caller"),
		Model:      rapid.SampledFrom(testModels).Draw(t, "model"),
		Class:      wire.Class(rapid.IntRange(1, 3).Draw(t, "class")),
		Deadline:   env.now + time.Duration(rapid.IntRange(0, 20000).Draw(t, "deadline"))*time.Millisecond,
		MaxTokens:  rapid.SampledFrom([]int{0, 20, 2000}).Draw(t, "tokens"),
		BodyDigest: rapid.SampledFrom(testDigests).Draw(t, "digest"),
		PrefixHash: rapid.SampledFrom([]string{"", "p1"}).Draw(t, "prefix"),
		Hedge:      rapid.IntRange(0, 9).Draw(t, "hedge") == 0,
	}
	if rapid.Bool().Draw(t, "excludes") {
		req.Exclude = []string{rapid.SampledFrom(testUpstreams).Draw(t, "exclude")}
	}
	if env.unreported[req.Entry] {
		return // it has no session yet
	}
	env.waiting[req.Attempt] = req
	env.step(req)
}

// drawKey draws a key, and returns false when there is none.
func drawKey[V any](t *rapid.T, m map[string]V) (string, bool) {
	if len(m) == 0 {
		return "", false
	}
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return rapid.SampledFrom(keys).Draw(t, "key"), true
}

func (env *environment) cancel(t *rapid.T) {
	if id, ok := drawKey(t, env.waiting); ok {
		env.answered[id] = true
		delete(env.waiting, id)
		env.step(Cancel{id})
	}
}

func (env *environment) release(t *rapid.T) {
	id, ok := drawKey(t, env.held)
	if !ok || env.unreported[env.held[id].req.Entry] {
		return
	}
	h := env.held[id]
	if h.cut {
		env.cutOff(id)
		return
	}
	delete(env.held, id)
	r := okRelease(id, rapid.IntRange(1, 400).Draw(t, "tokens"))
	r.Outcome = wire.Outcome(rapid.SampledFrom([]int{1, 1, 1, 2, 3, 4, 6}).Draw(t, "outcome"))
	r.FirstToken *= time.Duration(rapid.SampledFrom([]int{1, 1, 1, 8}).Draw(t, "slow"))
	if r.Outcome == wire.Outcome_OUTCOME_OK {
		env.bodyAnswered(h.req.BodyDigest)
	}
	env.step(r)
}

func (env *environment) progress(t *rapid.T) {
	if id, ok := drawKey(t, env.held); ok {
		env.step(Progress{Attempt: id, Waited: time.Duration(rapid.IntRange(1, 5000).Draw(t, "waited")) * time.Millisecond})
	}
}

func (env *environment) announce(t *rapid.T) {
	id := rapid.SampledFrom(testUpstreams).Draw(t, "upstream")
	u, alive := env.upstreams[id]
	if _, failed := env.undetected[id]; failed {
		env.detectFailure(id) // its next incarnation is announced
		alive = false
	}
	if !alive {
		env.incarnations[id]++
		u = UpstreamState{ID: id, Incarnation: env.incarnations[id]}
	}
	u.Slots = max(rapid.IntRange(1, 4).Draw(t, "slots"), env.inFlight(id))
	u.Leaving = u.Leaving || rapid.IntRange(0, 5).Draw(t, "leaving") == 0
	u.ReportedRunning = rapid.IntRange(0, 4).Draw(t, "reported")
	u.Ready = nil
	for _, m := range testModels {
		if rapid.IntRange(0, 2).Draw(t, "ready") > 0 {
			u.Ready = append(u.Ready, Ready{Model: m, Version: "v1"})
		}
	}
	env.upstreams[id] = u
	env.step(u)
}

// maxDetectionTime bounds the time in which the system detects a failed upstream.
const maxDetectionTime = 4 * time.Second

// failUpstream makes an upstream fail. The failure is detected later.
func (env *environment) failUpstream(t *rapid.T) {
	id, ok := drawKey(t, env.upstreams)
	if _, failed := env.undetected[id]; !ok || failed {
		return
	}
	env.undetected[id] = env.now
	bodies := map[string]bool{}
	for _, attempt := range sortedKeys(env.held) {
		h := env.held[attempt]
		if h.grant.Upstream != id || h.cut {
			continue
		}
		h.cut = true
		env.held[attempt] = h
		bodies[h.req.BodyDigest] = true
	}
	for d := range bodies {
		if d != "" && !env.upstreams[id].Leaving {
			env.trueDeaths[d]++
		}
	}
}

// detectFailure reports a failed upstream to the core.
func (env *environment) detectFailure(id string) {
	u := env.upstreams[id]
	delete(env.upstreams, id)
	delete(env.undetected, id)
	env.step(UpstreamGone{id, u.Incarnation})
}

// advanceTo advances the time and performs what is due on the way.
func (env *environment) advanceTo(to Time) {
	for _, id := range sortedKeys(env.undetected) {
		if at := env.undetected[id] + maxDetectionTime; at <= to {
			env.now = max(env.now, at)
			env.expireUnreported()
			env.detectFailure(id)
		}
	}
	env.now = max(env.now, to)
	env.expireUnreported()
}

// releaseCut makes the entries release the attempts that were cut off on an upstream.
func (env *environment) releaseCut(id string) {
	for _, attempt := range sortedKeys(env.held) {
		h := env.held[attempt]
		if h.grant.Upstream == id && h.cut && !env.unreported[h.req.Entry] {
			env.cutOff(attempt)
		}
	}
}

// cutOff releases an attempt whose connection broke. Its entry keeps a record of it.
func (env *environment) cutOff(attempt string) {
	h := env.held[attempt]
	delete(env.held, attempt)
	held := h.report()
	held.Cut = true
	env.cuts = append(env.cuts, cutAttempt{held, h.req.Entry, env.now + env.settings.CutWindow})
	env.step(Release{Attempt: attempt, Outcome: wire.Outcome_OUTCOME_CUT})
}

func (h heldSlot) report() HeldGrant {
	return HeldGrant{
		Attempt: h.grant.Attempt, Upstream: h.grant.Upstream, Incarnation: h.grant.Incarnation,
		Model: h.req.Model, Class: h.req.Class, BodyDigest: h.req.BodyDigest, ExpectedTokens: 20,
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func (env *environment) reopenSession(t *rapid.T) {
	env.sendHello(rapid.SampledFrom(testEntries).Draw(t, "entry"))
}

func (env *environment) sendHello(name string) {
	ev := EntryHello{Entry: name}
	env.detached = slices.DeleteFunc(env.detached, func(g detachedAttempt) bool { return g.entry == name })
	for _, id := range sortedKeys(env.waiting) {
		if env.waiting[id].Entry == name {
			env.answered[id] = true
			delete(env.waiting, id)
		}
	}
	for _, id := range sortedKeys(env.held) {
		h := env.held[id]
		if h.req.Entry == name {
			ev.Held = append(ev.Held, h.report())
		}
	}
	for _, x := range env.cuts {
		if x.entry == name && x.until > env.now {
			ev.Held = append(ev.Held, x.held)
		}
	}
	delete(env.unreported, name)
	env.step(ev)
	for _, d := range ev.Held {
		if h, held := env.held[d.Attempt]; held && h.cut && env.upstreams[d.Upstream].Incarnation != d.Incarnation {
			env.cutOff(d.Attempt)
		}
	}
}

// detachedAttempt is an attempt whose entry lost its session. It may run until its
// deadline.
type detachedAttempt struct {
	held  HeldGrant
	entry string
	until Time
}

// loseEntry ends an entry's session. Its attempts may run until their deadlines, unless
// the entry has not reported since the last change of scheduler: then it cuts them off.
func (env *environment) loseEntry(t *rapid.T) {
	name := rapid.SampledFrom(testEntries).Draw(t, "entry")
	for _, id := range sortedKeys(env.held) {
		h := env.held[id]
		if h.req.Entry == name && !h.cut && !env.unreported[name] {
			env.detached = append(env.detached, detachedAttempt{h.report(), name, h.req.Deadline})
		}
	}
	env.endEntry(name)
	env.step(EntryGone{name})
}

// endEntry ends an entry that has not reported since the last change of scheduler, or
// whose session is lost. Deaths that only this entry could report become unreportable: a
// body whose scheduler, entry and upstream all end before a report can bring down one more
// upstream.
func (env *environment) endEntry(name string) {
	if env.unreported[name] {
		env.excludeUnreportable(env.cutsOf(name))
	} else {
		env.coreOnlyCuts = append(env.coreOnlyCuts, env.cutsOf(name)...)
	}
	env.cuts = slices.DeleteFunc(env.cuts, func(x cutAttempt) bool { return x.entry == name })
	for id, req := range env.waiting {
		if req.Entry == name {
			env.answered[id] = true
			delete(env.waiting, id)
		}
	}
	for id, h := range env.held {
		if h.req.Entry == name {
			delete(env.held, id)
		}
	}
	delete(env.unreported, name)
}

// cutsOf returns the cut attempts of an entry, whether it has released them or not.
func (env *environment) cutsOf(name string) []HeldGrant {
	var list []HeldGrant
	for _, id := range sortedKeys(env.held) {
		if h := env.held[id]; h.req.Entry == name && h.cut {
			list = append(list, h.report())
		}
	}
	for _, x := range env.cuts {
		if x.entry == name {
			list = append(list, x.held)
		}
	}
	return list
}

// excludeUnreportable no longer counts deaths that nothing is left to report. One that is
// recorded after all is counted again.
func (env *environment) excludeUnreportable(list []HeldGrant) {
	for _, h := range list {
		key := wire.SuspectKey(h.Upstream, h.Incarnation)
		if h.BodyDigest == "" || slices.Contains(env.recordedDeaths[h.BodyDigest], key) || env.unreportable[h.BodyDigest+" "+key] {
			continue
		}
		env.unreportable[h.BodyDigest+" "+key] = true
		env.trueDeaths[h.BodyDigest]--
	}
}

func (env *environment) suspectList() SuspectsChanged {
	var ev SuspectsChanged
	for _, d := range sortedKeys(env.recordedDeaths) {
		ups := env.recordedDeaths[d]
		ev.Suspects = append(ev.Suspects, &wire.Suspect{BodyDigest: d, Upstreams: ups, Quarantined: len(ups) >= 2})
	}
	return ev
}

func (env *environment) start(o Options) {
	env.options = o
	env.core = New(o)
	env.log = nil
}

// replaceScheduler replaces the core. The entries report to the new one later.
func (env *environment) replaceScheduler() {
	env.detached = nil
	env.excludeUnreportable(env.coreOnlyCuts)
	env.coreOnlyCuts = nil
	env.waiting = map[string]SlotRequest{} // the entries send new attempts
	for _, e := range testEntries {
		env.unreported[e] = true
	}
	env.start(Options{
		Settings: env.settings, Seed: 2, Recovering: true, KnownEntries: testEntries, Start: env.now, FullChecks: true,
	})
	env.recoveryEnd = env.now + env.settings.RecoveryTimeout
	env.step(SpecChanged{testSpec(8)})
	env.step(env.suspectList())
	for _, id := range sortedKeys(env.upstreams) {
		env.step(env.upstreams[id])
	}
}

// expireUnreported ends the entries that have not reported in time. They cut off their
// attempts.
func (env *environment) expireUnreported() {
	if env.now < env.recoveryEnd {
		return
	}
	for _, e := range sortedKeys(env.unreported) {
		env.endEntry(e)
	}
}

func (env *environment) passTime(t *rapid.T) {
	env.advanceTo(env.now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
	env.step(Tick{})
}

func (env *environment) check(t *rapid.T) {
	for d, n := range env.trueDeaths {
		if n > maxLostUpstreams {
			t.Fatalf("body %s brought down %d upstreams", d, n)
		}
	}
	if len(env.waiting) != env.core.Waiting() {
		t.Fatalf("%d attempts wait, the core counts %d", len(env.waiting), env.core.Waiting())
	}
}

func (env *environment) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"attempt": env.request, "attempt again": env.request, "attempt more": env.request, "cancel": env.cancel, "release": env.release,
		"release more": env.release, "progress": env.progress, "announce": env.announce, "announce more": env.announce,
		"end upstream": env.failUpstream, "cut": func(t *rapid.T) {
			if id, ok := drawKey(t, env.undetected); ok {
				env.releaseCut(id)
			}
		}, "notice end": func(t *rapid.T) {
			if id, ok := drawKey(t, env.undetected); ok {
				env.detectFailure(id)
			}
		}, "hello": env.reopenSession, "lose entry": env.loseEntry, "pass time": env.passTime,
		"suspects": func(*rapid.T) { env.step(env.suspectList()) },
		"scheduler change": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "replace") == 0 {
				env.replaceScheduler()
			}
		},
		"prefix": func(t *rapid.T) {
			env.step(PrefixEvent{
				Upstream: rapid.SampledFrom(testUpstreams).Draw(t, "upstream"),
				Number:   uint64(rapid.IntRange(1, 20).Draw(t, "number")),
				Prefix:   "p1", Evicted: rapid.Bool().Draw(t, "evicted"),
			})
		},
		"": env.check,
	}
}
