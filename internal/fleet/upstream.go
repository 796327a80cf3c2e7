package fleet

import (
	"slices"
	"strings"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// upstream is one incarnation of an upstream.
type upstream struct {
	number    uint32              // of the incarnation, within the term
	state     *wire.UpstreamState // newest heartbeat
	lastHeard Time
	suspect   bool
	hearsay   bool                // no heartbeat yet: known from entries, each of which knows a part
	published *wire.UpstreamState // what entries were told last

	running     int // over all entries
	toldRunning int

	models map[string]*held

	// Orders to a runner. The sequence is known only from a report, and from the answers
	// to the orders since.
	ledger   bool // models is a report's and what accepted orders made of it
	seqKnown bool
	sequence uint64
	accepted Time // when the last order was accepted
	reading  bool
	nextRead Time
	sent     *sentOrder // waits for its answer
	doing    *sentOrder // was accepted and is being carried out
	pause    Time       // no order before
	goal     string     // model that room is being made for
	goalTill Time
}

// held is one model on a runner.
type held struct {
	version  uint64
	adapters map[string]*heldAdapter
	running  int
	lastUsed Time
	hidden   bool // it is being unloaded: entries don't see it
}

type heldAdapter struct {
	readyAt  Time // a load was accepted and ends about then
	running  int
	lastUsed Time
	hidden   bool
}

// isReady reports whether requests may use the adapter.
func (a *heldAdapter) isReady() bool { return !a.hidden && a.readyAt == 0 }

type sentOrder struct {
	order Order
	at    Time
	due   Time // when it should be carried out
	store bool // it loads from the weight store
}

func (u *upstream) id() string { return u.state.Id }

// usable reports whether the upstream may get orders.
func (u *upstream) usable() bool {
	return !u.suspect && u.state.Phase == wire.UpstreamPhase_PHASE_READY
}

// serving returns a model that requests may use, nil if the upstream has none.
func (u *upstream) serving(model string) *held {
	if h := u.models[model]; h != nil && !h.hidden && u.usable() {
		return h
	}
	return nil
}

// shown is the state as entries shall see it.
func (u *upstream) shown() *wire.UpstreamState {
	s := &wire.UpstreamState{
		Id: u.state.Id, BornUnixMs: u.state.BornUnixMs, Sequence: u.state.Sequence, Service: u.state.Service,
		Address: u.state.Address, Zone: u.state.Zone, Slots: u.state.Slots, Phase: u.state.Phase,
		LeavesMs: u.state.LeavesMs, Number: u.number,
	}
	if u.suspect && s.Phase == wire.UpstreamPhase_PHASE_READY {
		s.Phase = wire.UpstreamPhase_PHASE_UNSPECIFIED
	}
	for name, h := range u.models {
		if !h.hidden {
			s.Models = append(s.Models, &wire.HeldModel{Name: name, Version: h.version, Adapters: h.shownAdapters()})
		}
	}
	slices.SortFunc(s.Models, func(a, b *wire.HeldModel) int { return strings.Compare(a.Name, b.Name) })
	return s
}

func (h *held) shownAdapters() []string {
	var out []string
	for name, a := range h.adapters {
		if a.isReady() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func holds(models []*wire.HeldModel, name string) bool {
	return slices.ContainsFunc(models, func(m *wire.HeldModel) bool { return m.Name == name })
}

// takeModels replaces what the runner holds, keeping what is known of the use.
func (u *upstream) takeModels(models []*wire.HeldModel) {
	next := make(map[string]*held, len(models))
	for _, m := range models {
		h := u.models[m.Name]
		if h == nil {
			h = &held{adapters: map[string]*heldAdapter{}}
		}
		h.version = m.Version
		h.takeAdapters(m.Adapters)
		next[m.Name] = h
	}
	u.models = next
}

// addModels adds what a further entry knows of. What has gone meanwhile is refused by the
// runner without running.
func (u *upstream) addModels(models []*wire.HeldModel) {
	for _, m := range models {
		h := u.models[m.Name]
		if h == nil {
			h = &held{version: m.Version, adapters: map[string]*heldAdapter{}}
			u.models[m.Name] = h
		}
		for _, name := range m.Adapters {
			if h.adapters[name] == nil {
				h.adapters[name] = &heldAdapter{}
			}
		}
	}
}

// nextSequence is the lowest number of a heartbeat that tells something new.
func (u *upstream) nextSequence() uint64 {
	if u.hearsay {
		return u.state.Sequence
	}
	return u.state.Sequence + 1
}

// takeAdapters replaces the adapters, keeping what is known of the use.
func (h *held) takeAdapters(names []string) {
	next := make(map[string]*heldAdapter, len(names))
	for _, name := range names {
		next[name] = h.adapters[name]
		if next[name] == nil {
			next[name] = &heldAdapter{}
		}
		next[name].hidden, next[name].readyAt = false, 0
	}
	h.adapters = next
}

// heardModels takes the models of a heartbeat in. Heartbeats can be seconds old and do not
// tell which orders they know of, so they can't undo what reports and accepted orders
// have shown: they only tell that the order on a model is carried out. A very old one may
// tell so too early; the runner then refuses the next order as another one runs.
func (u *upstream) heardModels() {
	if !u.ledger {
		u.takeModels(u.state.Models)
		return
	}
	if o := u.doing; o != nil && holds(u.state.Models, o.order.Model) != o.order.Unload {
		u.settle(o)
	}
}

// settle notes that an order on a model is carried out.
func (u *upstream) settle(o *sentOrder) {
	u.doing = nil
	if o.order.Unload {
		delete(u.models, o.order.Model)
		return
	}
	h := &held{adapters: map[string]*heldAdapter{}}
	for _, m := range u.state.Models {
		if m.Name == o.order.Model {
			h.version = m.Version
		}
	}
	u.models[o.order.Model] = h
}

// open returns the order on a model whose end is not known, nil without one.
func (u *upstream) open() *sentOrder {
	if u.sent != nil {
		return u.sent
	}
	return u.doing
}

func (u *upstream) addLoad(now Time, l *wire.UpstreamLoad) {
	u.running += int(l.Running)
	for _, m := range l.Models {
		h := u.models[m.Model]
		if h == nil {
			continue
		}
		h.running += int(m.Running)
		h.lastUsed = now
		if a := h.adapters[m.Adapter]; a != nil {
			a.running += int(m.Running)
			a.lastUsed = now
		}
	}
}

// tick looks at orders that should be done and reads the reports that are needed.
func (u *upstream) tick(c *Core) {
	if u.doing != nil && c.now >= u.doing.due {
		u.seqKnown = u.seqKnown && u.doing.order.Adapter != ""
		u.read(c)
	}
	if !u.seqKnown && u.sent == nil && u.doing == nil && u.isRunner(c) {
		u.read(c)
	}
	changed := false
	for _, h := range u.models {
		for _, a := range h.adapters {
			if a.readyAt > 0 && c.now >= a.readyAt {
				a.readyAt = 0
				changed = true
			}
		}
	}
	if changed {
		c.publish(u)
	}
}

func (u *upstream) isRunner(c *Core) bool { return c.engine(u.state.Service) != nil }

func (c *Core) engine(service string) *routing.Engine {
	if c.config == nil {
		return nil
	}
	s := c.config.Find(service)
	if s == nil {
		return nil
	}
	return s.Engine
}

func (u *upstream) read(c *Core) {
	if u.reading || c.now < u.nextRead || !u.usable() {
		return
	}
	u.reading = true
	u.nextRead = c.now + c.set.ReadRetry
	c.emit(Read{Upstream: u.id(), Born: u.state.BornUnixMs, Address: u.state.Address})
}

func (c *Core) current(id string, born int64) *upstream {
	u := c.byID[id]
	if u == nil || u.state.BornUnixMs != born {
		return nil
	}
	return u
}

// reported takes a report in. One that may be older than an order accepted since is
// thrown away: its sequence lies below the counted one.
func (c *Core) reported(ev Reported) {
	u := c.current(ev.Upstream, ev.Born)
	if u == nil {
		return
	}
	u.reading = false
	older := ev.Report.Sequence < u.sequence && c.now-u.accepted < c.set.ReportLag
	if ev.Failed || u.sent != nil || older {
		return
	}
	r := ev.Report
	u.state.InMemory, u.state.OnDisk = r.InMemory, r.OnDisk
	if r.Busy {
		return
	}
	u.sequence, u.seqKnown, u.ledger = r.Sequence, true, true
	u.doing = nil
	u.takeModels(r.Models)
	for _, h := range u.models {
		h.hidden = false
	}
	for _, a := range r.Coming {
		if h := u.models[a.Model]; h != nil {
			h.adapters[a.Adapter] = &heldAdapter{readyAt: c.now + c.set.AdapterTime, lastUsed: c.now}
		}
	}
	c.publish(u)
}

// ordered takes the answer to an order in.
func (c *Core) ordered(ev Ordered) {
	u := c.current(ev.Upstream, ev.Born)
	if u == nil || u.sent == nil {
		return
	}
	o := u.sent
	u.sent = nil
	switch ev.Result {
	case OrderAccepted, OrderHolds:
		u.sequence++
		u.accepted = c.now
		c.carriedOut(u, o, ev.Result == OrderHolds)
	case OrderFenced:
		c.stopped = true
		c.emit(Stop{})
	case OrderMisdirected:
		c.drop(u)
		return
	default:
		// It may be carried out later, but only while the sequence stays as it is.
		u.seqKnown = false
		u.pause = c.now + c.set.ReadRetry
		u.nextRead = c.now + c.set.ReadRetry/2
		u.unhide(o)
		if ev.Result == OrderUnknown && o.store {
			c.storeStarts = append(c.storeStarts, c.now)
		}
	}
	c.publish(u)
}

func (u *upstream) unhide(o *sentOrder) {
	h := u.models[o.order.Model]
	switch {
	case h == nil:
	case o.order.Adapter == "":
		h.hidden = false
	case o.order.Unload:
		if a := h.adapters[o.order.Adapter]; a != nil {
			a.hidden = false
		}
	default:
		delete(h.adapters, o.order.Adapter)
	}
}

func (c *Core) carriedOut(u *upstream, o *sentOrder, holds bool) {
	h := u.models[o.order.Model]
	switch {
	case o.order.Adapter != "" && h == nil:
	case o.order.Adapter != "" && o.order.Unload:
		delete(h.adapters, o.order.Adapter)
	case o.order.Adapter != "":
		h.adapters[o.order.Adapter] = &heldAdapter{readyAt: c.now + c.set.AdapterTime, lastUsed: c.now}
	case holds:
		// What holds already may not have been counted as an order.
		u.seqKnown = false
		u.nextRead = c.now
	default:
		u.doing = o
	}
}
