package grant

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"gentiankeel/internal/wire"
)

// world is the truth outside the core: what entries hold, what upstreams run and which
// deaths the replicated state has recorded.
type world struct {
	t        *rapid.T
	core     *Core
	options  Options
	log      []logged
	settings Settings
	now      Time
	n        int
	slots    map[string]int
	gen      map[string]uint64
	up       map[string]UpstreamState
	asks     map[string]Ask // waiting, by attempt
	held     map[string]heldSlot
	answered map[string]bool
	recorded map[string][]string // deaths by body in the replicated state
	lost     map[string]int      // true deaths by body
	unheard  map[string]bool     // entries that the recovering core has not heard
	heardBy  Time
	cuts     []cutAttempt
	ghosts   []ghost
	onlyCore []HeldGrant     // cut attempts of lost entries, known to the core in use only
	forgiven map[string]bool // deaths that nobody was left to report
	dead     map[string]Time // upstreams that died unnoticed, and when
}

// cutAttempt is what an entry remembers of an attempt that was cut off.
type cutAttempt struct {
	held  HeldGrant
	entry string
	until Time
}

type heldSlot struct {
	grant Grant
	ask   Ask
	cut   bool // the upstream has died under it
}

var (
	worldEntries   = []string{"e1", "e2", "e3"}
	worldUpstreams = []string{"u1", "u2", "u3", "u4"}
	worldModels    = []string{"m1", "m2"}
	worldDigests   = []string{"", "", "", "", "d1", "d2", "d3"}
)

func newWorld(t *rapid.T, s Settings) *world {
	w := &world{
		t: t, settings: s,
		slots: map[string]int{}, gen: map[string]uint64{}, up: map[string]UpstreamState{},
		asks: map[string]Ask{}, held: map[string]heldSlot{}, answered: map[string]bool{},
		recorded: map[string][]string{}, lost: map[string]int{}, unheard: map[string]bool{}, dead: map[string]Time{}, forgiven: map[string]bool{},
	}
	w.start(Options{Settings: s, Seed: 1, FullChecks: true})
	w.step(SpecChanged{testSpec(8)})
	return w
}

// logged is one step of the core in use, for the replay.
type logged struct {
	now     Time
	event   Event
	actions []Action
}

// replay feeds the log of the core in use to a twin and compares the actions.
func (w *world) replay(t *rapid.T) {
	twin := New(w.options)
	for i, l := range w.log {
		got := fmt.Sprintf("%+v", twin.Step(l.now, l.event))
		if want := fmt.Sprintf("%+v", l.actions); got != want {
			t.Fatalf("step %d replays to %s, was %s", i, got, want)
		}
	}
}

func (w *world) step(ev Event) {
	actions := w.core.Step(w.now, ev)
	w.log = append(w.log, logged{w.now, ev, actions})
	for _, a := range actions {
		switch a := a.(type) {
		case Grant:
			w.granted(a)
		case Refuse:
			w.answer(a.Attempt)
		case Death:
			list := w.recorded[a.BodyDigest]
			if key := wire.SuspectKey(a.Upstream, a.Incarnation); !slices.Contains(list, key) {
				w.recorded[a.BodyDigest] = append(list, key)
				w.remember(a.BodyDigest + " " + key)
			}
		}
	}
}

// remember counts a forgiven death again that has been recorded after all.
func (w *world) remember(key string) {
	if w.forgiven[key] {
		delete(w.forgiven, key)
		w.lost[strings.Fields(key)[0]]++
	}
}

func (w *world) answer(attempt string) Ask {
	k, waits := w.asks[attempt]
	if !waits || w.answered[attempt] {
		w.t.Fatalf("attempt %s has a second answer or never asked", attempt)
	}
	w.answered[attempt] = true
	delete(w.asks, attempt)
	return k
}

func (w *world) granted(g Grant) {
	k := w.answer(g.Attempt)
	u, alive := w.up[g.Upstream]
	if !alive || u.Leaving || u.Incarnation != g.Incarnation {
		w.t.Fatalf("granted on %s, which is leaving or gone", g.Upstream)
	}
	if slices.Contains(k.Exclude, g.Upstream) {
		w.t.Fatalf("granted on the excluded %s", g.Upstream)
	}
	// On a dead upstream the entry finds no connection, so the body does not run.
	_, dead := w.dead[g.Upstream]
	w.held[g.Attempt] = heldSlot{grant: g, ask: k, cut: dead}
	if n := w.inFlight(g.Upstream); n > u.Slots {
		w.t.Fatalf("%d in flight on %s with %d slots", n, g.Upstream, u.Slots)
	}
}

func (w *world) inFlight(id string) int {
	n := 0
	for _, h := range w.held {
		if h.grant.Upstream == id && !h.cut {
			n++
		}
	}
	for _, g := range w.ghosts {
		if g.held.Upstream == id && g.until > w.now && w.up[id].Incarnation == g.held.Incarnation {
			n++
		}
	}
	return n
}

func (w *world) ask(t *rapid.T) {
	w.n++
	k := Ask{
		Attempt:    fmt.Sprintf("t%d", w.n),
		Request:    fmt.Sprintf("r%d", w.n),
		Entry:      rapid.SampledFrom(worldEntries).Draw(t, "entry"),
		Caller:     rapid.SampledFrom([]string{"c1", "c2"}).Draw(t, "caller"),
		Model:      rapid.SampledFrom(worldModels).Draw(t, "model"),
		Class:      wire.Class(rapid.IntRange(1, 3).Draw(t, "class")),
		Deadline:   w.now + time.Duration(rapid.IntRange(0, 20000).Draw(t, "deadline"))*time.Millisecond,
		MaxTokens:  rapid.SampledFrom([]int{0, 20, 2000}).Draw(t, "tokens"),
		BodyDigest: rapid.SampledFrom(worldDigests).Draw(t, "digest"),
		PrefixHash: rapid.SampledFrom([]string{"", "p1"}).Draw(t, "prefix"),
		Hedge:      rapid.IntRange(0, 9).Draw(t, "hedge") == 0,
	}
	if rapid.Bool().Draw(t, "excludes") {
		k.Exclude = []string{rapid.SampledFrom(worldUpstreams).Draw(t, "exclude")}
	}
	if w.unheard[k.Entry] {
		return // it has no session yet
	}
	w.asks[k.Attempt] = k
	w.step(k)
}

// oneOf draws a key; false when there is none.
func oneOf[V any](t *rapid.T, m map[string]V) (string, bool) {
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

func (w *world) cancel(t *rapid.T) {
	if id, ok := oneOf(t, w.asks); ok {
		w.answered[id] = true
		delete(w.asks, id)
		w.step(Cancel{id})
	}
}

func (w *world) release(t *rapid.T) {
	id, ok := oneOf(t, w.held)
	if !ok || w.unheard[w.held[id].ask.Entry] {
		return
	}
	h := w.held[id]
	if h.cut {
		w.cutOff(id)
		return
	}
	delete(w.held, id)
	r := okRelease(id, rapid.IntRange(1, 400).Draw(t, "tokens"))
	r.Outcome = wire.Outcome(rapid.SampledFrom([]int{1, 1, 1, 2, 3, 4, 6}).Draw(t, "outcome"))
	r.FirstToken *= time.Duration(rapid.SampledFrom([]int{1, 1, 1, 8}).Draw(t, "slow"))
	w.step(r)
}

func (w *world) progress(t *rapid.T) {
	if id, ok := oneOf(t, w.held); ok {
		w.step(Progress{Attempt: id, Waited: time.Duration(rapid.IntRange(1, 5000).Draw(t, "waited")) * time.Millisecond})
	}
}

func (w *world) announce(t *rapid.T) {
	id := rapid.SampledFrom(worldUpstreams).Draw(t, "upstream")
	u, alive := w.up[id]
	if _, dead := w.dead[id]; dead {
		w.notice(id) // its next incarnation announces itself
		alive = false
	}
	if !alive {
		w.gen[id]++
		u = UpstreamState{ID: id, Incarnation: w.gen[id]}
	}
	u.Slots = max(rapid.IntRange(1, 4).Draw(t, "slots"), w.inFlight(id))
	u.Leaving = u.Leaving || rapid.IntRange(0, 5).Draw(t, "leaving") == 0
	u.ReportedRunning = rapid.IntRange(0, 4).Draw(t, "reported")
	u.Ready = nil
	for _, m := range worldModels {
		if rapid.IntRange(0, 2).Draw(t, "ready") > 0 {
			u.Ready = append(u.Ready, Ready{Model: m, Version: "v1"})
		}
	}
	w.up[id] = u
	w.step(u)
}

// noticeWithin bounds the time in which the system notices a dead upstream.
const noticeWithin = 4 * time.Second

// die ends an upstream; nobody has noticed yet.
func (w *world) die(t *rapid.T) {
	id, ok := oneOf(t, w.up)
	if _, dead := w.dead[id]; !ok || dead {
		return
	}
	w.dead[id] = w.now
	bodies := map[string]bool{}
	for _, attempt := range sortedKeys(w.held) {
		h := w.held[attempt]
		if h.grant.Upstream != id || h.cut {
			continue
		}
		h.cut = true
		w.held[attempt] = h
		bodies[h.ask.BodyDigest] = true
	}
	for d := range bodies {
		if d != "" && !w.up[id].Leaving {
			w.lost[d]++
		}
	}
}

func (w *world) notice(id string) {
	u := w.up[id]
	delete(w.up, id)
	delete(w.dead, id)
	w.step(UpstreamGone{id, u.Incarnation})
}

// moveTo lets time pass; what must happen by then happens on the way.
func (w *world) moveTo(to Time) {
	for _, id := range sortedKeys(w.dead) {
		if at := w.dead[id] + noticeWithin; at <= to {
			w.now = max(w.now, at)
			w.expireUnheard()
			w.notice(id)
		}
	}
	w.now = max(w.now, to)
	w.expireUnheard()
}

// releaseCut lets the entries give back what was cut off on an upstream.
func (w *world) releaseCut(id string) {
	for _, attempt := range sortedKeys(w.held) {
		h := w.held[attempt]
		if h.grant.Upstream == id && h.cut && !w.unheard[h.ask.Entry] {
			w.cutOff(attempt)
		}
	}
}

// cutOff gives an attempt back whose connection broke. Its entry remembers it.
func (w *world) cutOff(attempt string) {
	h := w.held[attempt]
	delete(w.held, attempt)
	held := h.report()
	held.Cut = true
	w.cuts = append(w.cuts, cutAttempt{held, h.ask.Entry, w.now + w.settings.DoubtFor})
	w.step(Release{Attempt: attempt, Outcome: wire.Outcome_OUTCOME_CUT})
}

func (h heldSlot) report() HeldGrant {
	return HeldGrant{
		Attempt: h.grant.Attempt, Upstream: h.grant.Upstream, Incarnation: h.grant.Incarnation,
		Model: h.ask.Model, Class: h.ask.Class, BodyDigest: h.ask.BodyDigest, Expected: 20,
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

func (w *world) hello(t *rapid.T) {
	w.sayHello(rapid.SampledFrom(worldEntries).Draw(t, "entry"))
}

func (w *world) sayHello(name string) {
	ev := EntryHello{Entry: name}
	w.ghosts = slices.DeleteFunc(w.ghosts, func(g ghost) bool { return g.entry == name })
	for _, id := range sortedKeys(w.asks) {
		if w.asks[id].Entry == name {
			w.answered[id] = true
			delete(w.asks, id)
		}
	}
	for _, id := range sortedKeys(w.held) {
		h := w.held[id]
		if h.ask.Entry == name {
			ev.Held = append(ev.Held, h.report())
		}
	}
	for _, x := range w.cuts {
		if x.entry == name && x.until > w.now {
			ev.Held = append(ev.Held, x.held)
		}
	}
	delete(w.unheard, name)
	w.step(ev)
	for _, d := range ev.Held {
		if h, held := w.held[d.Attempt]; held && h.cut && w.up[d.Upstream].Incarnation != d.Incarnation {
			w.cutOff(d.Attempt)
		}
	}
}

// ghost is an attempt of an entry that lost its session and goes on until its deadline.
type ghost struct {
	held  HeldGrant
	entry string
	until Time
}

// lose ends an entry's session. What it runs may go on until its deadlines, unless no
// scheduler has heard the entry since the last change: then it cuts off what it runs.
func (w *world) lose(t *rapid.T) {
	name := rapid.SampledFrom(worldEntries).Draw(t, "entry")
	for _, id := range sortedKeys(w.held) {
		h := w.held[id]
		if h.ask.Entry == name && !h.cut && !w.unheard[name] {
			w.ghosts = append(w.ghosts, ghost{h.report(), name, h.ask.Deadline})
		}
	}
	w.forgetEntry(name)
	w.step(EntryGone{name})
}

// forgetEntry ends an entry that no scheduler has heard since the last change, or whose
// session is lost. What only that entry knew of a death is lost with it: a body whose
// scheduler, entry and upstream end together before a report can take down one more.
func (w *world) forgetEntry(name string) {
	if w.unheard[name] {
		w.forgive(w.cutsOf(name))
	} else {
		w.onlyCore = append(w.onlyCore, w.cutsOf(name)...)
	}
	w.cuts = slices.DeleteFunc(w.cuts, func(x cutAttempt) bool { return x.entry == name })
	for id, k := range w.asks {
		if k.Entry == name {
			w.answered[id] = true
			delete(w.asks, id)
		}
	}
	for id, h := range w.held {
		if h.ask.Entry == name {
			delete(w.held, id)
		}
	}
	delete(w.unheard, name)
}

// cutsOf returns what an entry knows of attempts that were cut off.
func (w *world) cutsOf(name string) []HeldGrant {
	var list []HeldGrant
	for _, id := range sortedKeys(w.held) {
		if h := w.held[id]; h.ask.Entry == name && h.cut {
			list = append(list, h.report())
		}
	}
	for _, x := range w.cuts {
		if x.entry == name {
			list = append(list, x.held)
		}
	}
	return list
}

// forgive takes back true deaths that nobody is left to report. Should one be recorded
// after all, it counts again.
func (w *world) forgive(list []HeldGrant) {
	for _, h := range list {
		key := wire.SuspectKey(h.Upstream, h.Incarnation)
		if h.BodyDigest == "" || slices.Contains(w.recorded[h.BodyDigest], key) || w.forgiven[h.BodyDigest+" "+key] {
			continue
		}
		w.forgiven[h.BodyDigest+" "+key] = true
		w.lost[h.BodyDigest]--
	}
}

func (w *world) suspectList() SuspectsChanged {
	var ev SuspectsChanged
	for _, d := range sortedKeys(w.recorded) {
		ups := w.recorded[d]
		ev.Suspects = append(ev.Suspects, &wire.Suspect{BodyDigest: d, Upstreams: ups, Quarantined: len(ups) >= 2})
	}
	return ev
}

func (w *world) start(o Options) {
	w.options = o
	w.core = New(o)
	w.log = nil
}

// successor replaces the core; the entries report to the new one later.
func (w *world) successor() {
	w.ghosts = nil
	w.forgive(w.onlyCore)
	w.onlyCore = nil
	w.asks = map[string]Ask{} // the entries ask again under new attempts
	for _, e := range worldEntries {
		w.unheard[e] = true
	}
	w.start(Options{
		Settings: w.settings, Seed: 2, Recovering: true, KnownEntries: worldEntries, Start: w.now, FullChecks: true,
	})
	w.heardBy = w.now + w.settings.RecoveryTimeout
	w.step(SpecChanged{testSpec(8)})
	w.step(w.suspectList())
	for _, id := range sortedKeys(w.up) {
		w.step(w.up[id])
	}
}

// expireUnheard ends entries that said no hello in time: they cut off what they run.
func (w *world) expireUnheard() {
	if w.now < w.heardBy {
		return
	}
	for _, e := range sortedKeys(w.unheard) {
		w.forgetEntry(e)
	}
}

func (w *world) pass(t *rapid.T) {
	w.moveTo(w.now + time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
	w.step(Tick{})
}

func (w *world) check(t *rapid.T) {
	for d, n := range w.lost {
		if n > maxLost {
			t.Fatalf("body %s took down %d upstreams", d, n)
		}
	}
	if len(w.asks) != w.core.Waiting() {
		t.Fatalf("%d asks wait, the core knows %d", len(w.asks), w.core.Waiting())
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"ask": w.ask, "ask again": w.ask, "ask more": w.ask, "cancel": w.cancel, "release": w.release,
		"release more": w.release, "progress": w.progress, "announce": w.announce, "announce more": w.announce,
		"die": w.die, "cut": func(t *rapid.T) {
			if id, ok := oneOf(t, w.dead); ok {
				w.releaseCut(id)
			}
		}, "notice": func(t *rapid.T) {
			if id, ok := oneOf(t, w.dead); ok {
				w.notice(id)
			}
		}, "hello": w.hello, "lose": w.lose, "pass": w.pass,
		"suspects": func(*rapid.T) { w.step(w.suspectList()) },
		"successor": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
				w.successor()
			}
		},
		"prefix": func(t *rapid.T) {
			w.step(PrefixEvent{
				Upstream: rapid.SampledFrom(worldUpstreams).Draw(t, "upstream"),
				Number:   uint64(rapid.IntRange(1, 20).Draw(t, "number")),
				Prefix:   "p1", Evicted: rapid.Bool().Draw(t, "evicted"),
			})
		},
		"": w.check,
	}
}
