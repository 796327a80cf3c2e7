package orders

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

func (w *world) heartbeat(u *fakeUpstream) {
	if u.full == 0 {
		w.announce(u)
	} else {
		w.announceAs(u, true)
	}
	w.after(time.Second, func() { w.heartbeat(u) })
}

// announce sends an announcement; it may come late, twice or out of order.
func (w *world) announce(u *fakeUpstream) { w.announceAs(u, false) }

// announceAs sends a full announcement or a brief one; either may get lost.
func (w *world) announceAs(u *fakeUpstream, brief bool) {
	if !u.alive || u.silent {
		return
	}
	u.seq++
	a := u.a
	a.Sequence = u.seq
	if brief {
		a.Brief, a.Full = true, u.full
	} else {
		a.State = u.state()
		u.full = u.seq
	}
	if w.chance(w.f.lostRead) {
		return
	}
	times := 1
	if w.chance(w.f.dupAnnounce) {
		times = 2
	}
	for range times {
		late := w.rndTime(300 * time.Millisecond)
		if w.chance(w.f.dupAnnounce) {
			late = w.rndTime(5 * time.Second)
		}
		w.after(late, func() { w.step(w.core, Announced{a}) })
	}
}

// crashOne ends an upstream; it starts again as a new incarnation.
func (w *world) crashOne() {
	if w.f.crashEvery == 0 {
		return
	}
	u := w.ups[w.rnd.IntN(len(w.ups))]
	u.alive = false
	u.held, u.replies = nil, map[string]*upstream.OrderReply{}
	clear(u.running)
	w.after(w.rndTime(3*time.Second), func() {
		if !u.alive {
			u.alive = true
			u.a.Incarnation++
			u.fence = 0
			u.seq, u.full = 0, 0
			w.announce(u)
		}
	})
	w.after(w.rndTime(w.f.crashEvery), w.crashOne)
}

// silenceOne cuts an upstream off for longer than it takes to expire.
func (w *world) silenceOne() {
	if w.f.silentEvery == 0 {
		return
	}
	u := w.ups[w.rnd.IntN(len(w.ups))]
	u.silent = true
	w.after(DefaultExpireAfter+w.rndTime(10*time.Second), func() { u.silent = false })
	w.after(w.rndTime(w.f.silentEvery), w.silenceOne)
}

// loadStray loads a model that no decision asked for, as an operator by hand would.
func (w *world) loadStray() {
	if w.f.strayEvery == 0 {
		return
	}
	u := w.ups[w.rnd.IntN(len(w.ups))]
	m := w.log.spec.Models[w.rnd.IntN(len(w.log.spec.Models))]
	if u.alive && u.find(m.Name, "") < 0 && w.isNowhere(m.Name) {
		u.held = append(u.held, upstream.Held{Model: m.Name, Version: "1", MemoryMiB: m.MemoryMib, OrderID: fmt.Sprintf("%s%d", byHand, w.seq)})
		w.announce(u)
	}
	w.after(w.rndTime(w.f.strayEvery), w.loadStray)
}

// isByHand tells whether something is held without a decision. What an operator loads
// by hand may break the limits on its own; the runner then refuses further loads.
func (w *world) isByHand(h upstream.Held) bool {
	return strings.HasPrefix(h.OrderID, byHand) && !w.log.holds(h.OrderID)
}

const byHand = "by-hand-"

// isNowhere tells whether neither the log nor an upstream knows of a model.
func (w *world) isNowhere(model string) bool {
	return !w.log.names(model) && !slices.ContainsFunc(w.ups, func(u *fakeUpstream) bool { return u.find(model, "") >= 0 })
}

// grantUpdate notes what is ready, as the grant core does.
func (w *world) grantUpdate(fence uint64, ev grant.Event) {
	switch ev := ev.(type) {
	case grant.UpstreamState:
		w.ready[readyKey{fence, ev.ID}] = ev
	case grant.UpstreamGone:
		if u := w.upstream(ev.ID); u.alive && u.a.Incarnation == ev.Incarnation {
			w.fail("%s is declared gone and lives", ev.ID)
		}
		delete(w.ready, readyKey{fence, ev.ID})
	}
}

// readyKey names what one scheduler knows of one upstream.
type readyKey struct {
	fence uint64
	id    string
}

const requestEvery = 20 * time.Millisecond

// requestAny starts a request on some ready model.
func (w *world) requestAny() {
	u := w.ups[w.rnd.IntN(len(w.ups))]
	fence := w.log.fence - w.rnd.Uint64N(2) // the former holder grants until its lease ends
	if s := w.ready[readyKey{fence, u.a.ID}]; len(s.Ready) > 0 && s.Incarnation == u.a.Incarnation && !s.Leaving && u.alive {
		r := s.Ready[w.rnd.IntN(len(s.Ready))]
		adapter := ""
		if _, ok := r.Adapters["x"]; ok && w.chance(0.5) {
			adapter = "x"
		}
		w.maybeRequest(u, r.Model, adapter)
	}
	w.after(w.rndTime(requestEvery), w.requestAny)
}

// maybeRequest lets models without demand fall idle, but for a request now and then.
func (w *world) maybeRequest(u *fakeUpstream, model, adapter string) {
	wanted := slices.ContainsFunc(w.demand, func(d placement.Demand) bool { return d.Model == model })
	if wanted || w.chance(max(0.03, w.f.idleRequests)) {
		w.request(u, model, adapter)
	}
}

func (w *world) request(u *fakeUpstream, model, adapter string) {
	if u.find(model, adapter) < 0 || u.find(model, "") < 0 {
		return // it is refused as not run
	}
	subjects := []placement.Subject{{Model: model}}
	if adapter != "" {
		subjects = append(subjects, placement.Subject{Model: model, Adapter: adapter})
	}
	incarnation := u.a.Incarnation
	for _, s := range subjects {
		u.running[s]++
	}
	w.after(w.rndTime(100*time.Millisecond), func() {
		for _, s := range subjects {
			if u.a.Incarnation == incarnation && u.alive {
				u.running[s]--
				u.used[s] = w.now
			}
		}
	})
}

// settleDown ends the faults and expects that one wanted model gets ready.
func (w *world) settleDown() {
	w.f = faults{}
	w.quiet = true
	w.run(w.now + 40*time.Second)
	w.demand = []placement.Demand{{Model: "m0", Waiting: 1, Oldest: w.now, Class: wire.Class_CLASS_INTERACTIVE}}
	w.run(w.now + 30*time.Second)
	for _, s := range w.ready {
		for _, r := range s.Ready {
			if r.Model == "m0" {
				return
			}
		}
	}
	w.fail("m0 is not ready: %v, %+v", w.ready, w.core.Snapshot(w.now, nil).Runners)
}
