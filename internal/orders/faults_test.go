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

// heartbeat sends an announcement every second: a full one first, then load-only ones.
func (sim *simulation) heartbeat(u *fakeUpstream) {
	if u.lastFullSequence == 0 {
		sim.announce(u)
	} else {
		sim.sendAnnouncement(u, true)
	}
	sim.after(time.Second, func() { sim.heartbeat(u) })
}

// announce sends a full announcement.
func (sim *simulation) announce(u *fakeUpstream) { sim.sendAnnouncement(u, false) }

// sendAnnouncement sends a full or a load-only announcement. It may be lost, delayed,
// duplicated or reordered.
func (sim *simulation) sendAnnouncement(u *fakeUpstream, loadOnly bool) {
	if !u.alive || u.isolated {
		return
	}
	u.sequence++
	a := u.announcement
	a.Sequence = u.sequence
	if loadOnly {
		a.LoadOnly, a.FullSequence = true, u.lastFullSequence
	} else {
		a.State = u.state()
		u.lastFullSequence = u.sequence
	}
	if sim.randomBool(sim.faults.lostRead) {
		return
	}
	copies := 1
	if sim.randomBool(sim.faults.duplicateAnnounce) {
		copies = 2
	}
	for range copies {
		delay := sim.randomDuration(300 * time.Millisecond)
		if sim.randomBool(sim.faults.duplicateAnnounce) {
			delay = sim.randomDuration(5 * time.Second)
		}
		sim.after(delay, func() { sim.step(sim.core, Announced{a}) })
	}
}

// crashUpstream crashes an upstream, which restarts as a new incarnation.
func (sim *simulation) crashUpstream() {
	if sim.faults.crashEvery == 0 {
		return
	}
	u := sim.upstreams[sim.rng.IntN(len(sim.upstreams))]
	u.alive = false
	u.held, u.replies = nil, map[string]*upstream.OrderReply{}
	clear(u.running)
	sim.after(sim.randomDuration(3*time.Second), func() {
		if !u.alive {
			u.alive = true
			u.announcement.Incarnation++
			u.fence = 0
			u.sequence, u.lastFullSequence = 0, 0
			sim.announce(u)
		}
	})
	sim.after(sim.randomDuration(sim.faults.crashEvery), sim.crashUpstream)
}

// isolateUpstream partitions an upstream from the schedulers for longer than ExpireAfter.
func (sim *simulation) isolateUpstream() {
	if sim.faults.isolateEvery == 0 {
		return
	}
	u := sim.upstreams[sim.rng.IntN(len(sim.upstreams))]
	u.isolated = true
	sim.after(DefaultExpireAfter+sim.randomDuration(10*time.Second), func() { u.isolated = false })
	sim.after(sim.randomDuration(sim.faults.isolateEvery), sim.isolateUpstream)
}

// loadManually loads a model without an order, as an operator could by hand.
func (sim *simulation) loadManually() {
	if sim.faults.manualLoadEvery == 0 {
		return
	}
	u := sim.upstreams[sim.rng.IntN(len(sim.upstreams))]
	m := sim.log.spec.Models[sim.rng.IntN(len(sim.log.spec.Models))]
	if u.alive && u.heldIndex(m.Name, "") < 0 && sim.isUnused(m.Name) {
		u.held = append(u.held, upstream.HeldModel{Model: m.Name, Version: "1", MemoryMiB: m.MemoryMib, OrderID: fmt.Sprintf("%s%d", manualLoadPrefix, sim.seq)})
		sim.announce(u)
	}
	sim.after(sim.randomDuration(sim.faults.manualLoadEvery), sim.loadManually)
}

// isManualLoad reports whether a load has no order in the log. Manual loads alone may exceed
// the limits; the runner then refuses further loads.
func (sim *simulation) isManualLoad(h upstream.HeldModel) bool {
	return strings.HasPrefix(h.OrderID, manualLoadPrefix) && !sim.log.hasOrder(h.OrderID)
}

const manualLoadPrefix = "by-hand-"

// isUnused reports whether neither the log nor an upstream has a model.
func (sim *simulation) isUnused(model string) bool {
	return !sim.log.hasModel(model) && !slices.ContainsFunc(sim.upstreams, func(u *fakeUpstream) bool { return u.heldIndex(model, "") >= 0 })
}

// grantUpdate records what is ready, as the grant core does.
func (sim *simulation) grantUpdate(fence uint64, ev grant.Event) {
	switch ev := ev.(type) {
	case grant.UpstreamState:
		sim.ready[readyUpstreamKey{fence, ev.ID}] = ev
	case grant.UpstreamGone:
		if u := sim.upstream(ev.ID); u.alive && u.announcement.Incarnation == ev.Incarnation {
			sim.fail("%s is reported gone but is alive", ev.ID)
		}
		delete(sim.ready, readyUpstreamKey{fence, ev.ID})
	}
}

// readyUpstreamKey identifies the state that one scheduler published for one upstream.
type readyUpstreamKey struct {
	fence uint64
	id    string
}

const requestInterval = 20 * time.Millisecond

// startRandomRequest starts a request for a random ready model.
func (sim *simulation) startRandomRequest() {
	u := sim.upstreams[sim.rng.IntN(len(sim.upstreams))]
	fence := sim.log.fence - sim.rng.Uint64N(2) // the former holder grants until its lease ends
	if s := sim.ready[readyUpstreamKey{fence, u.announcement.ID}]; len(s.Ready) > 0 && s.Incarnation == u.announcement.Incarnation && !s.Leaving && u.alive {
		r := s.Ready[sim.rng.IntN(len(s.Ready))]
		adapter := ""
		if _, ok := r.Adapters["x"]; ok && sim.randomBool(0.5) {
			adapter = "x"
		}
		sim.requestByDemand(u, r.Model, adapter)
	}
	sim.after(sim.randomDuration(requestInterval), sim.startRandomRequest)
}

// requestByDemand starts a request if the model has demand, and rarely otherwise, so that
// models without demand become idle.
func (sim *simulation) requestByDemand(u *fakeUpstream, model, adapter string) {
	wanted := slices.ContainsFunc(sim.demand, func(d placement.Demand) bool { return d.Model == model })
	if wanted || sim.randomBool(max(0.03, sim.faults.idleRequests)) {
		sim.startRequest(u, model, adapter)
	}
}

// startRequest runs a request on an upstream for up to 100 ms.
func (sim *simulation) startRequest(u *fakeUpstream, model, adapter string) {
	if u.heldIndex(model, adapter) < 0 || u.heldIndex(model, "") < 0 {
		return // the upstream refuses it without running it
	}
	subjects := []placement.Subject{{Model: model}}
	if adapter != "" {
		subjects = append(subjects, placement.Subject{Model: model, Adapter: adapter})
	}
	incarnation := u.announcement.Incarnation
	for _, s := range subjects {
		u.running[s]++
	}
	sim.after(sim.randomDuration(100*time.Millisecond), func() {
		for _, s := range subjects {
			if u.announcement.Incarnation == incarnation && u.alive {
				u.running[s]--
				u.lastUsed[s] = sim.now
			}
		}
	})
}

// expectRecovery ends all faults and fails unless a model with demand becomes ready.
func (sim *simulation) expectRecovery() {
	sim.faults = faults{}
	sim.demandStopped = true
	sim.run(sim.now + 40*time.Second)
	sim.demand = []placement.Demand{{Model: "m0", Waiting: 1, Oldest: sim.now, Class: wire.Class_CLASS_INTERACTIVE}}
	sim.run(sim.now + 30*time.Second)
	for _, s := range sim.ready {
		for _, r := range s.Ready {
			if r.Model == "m0" {
				return
			}
		}
	}
	sim.fail("m0 is not ready: %v, %+v", sim.ready, sim.core.Snapshot(sim.now, nil).Runners)
}
