package fleet

import (
	"slices"
	"strings"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// upstream is one incarnation of an upstream.
type upstream struct {
	number        uint32              // identifies the incarnation within the term
	state         *wire.UpstreamState // newest heartbeat, with the tiers of the newest report
	lastHeartbeat Time
	suspect       bool
	fromEntries   bool                // no heartbeat yet: merged from the partial states of entries
	isKnown       bool                // entries had it from an earlier coordinator
	published     *wire.UpstreamState // state published last

	running       int  // requests over all entries
	prefillTokens int  // prompt tokens of streams without a first event, over all entries
	kvTokens      int  // KV cache tokens of running requests, over all entries
	publishedLoad load // last sent to entries

	models map[string]*heldModel

	// Orders to a runner. The sequence is read from a report and then advanced with each
	// accepted order.
	confirmed     bool // models is based on a report and the orders accepted since
	sequenceKnown bool
	sequence      uint64
	lastAccepted  Time            // when the last order was accepted
	readPending   bool            // a report was requested
	nextRead      Time            // earliest next read of a report
	sent          *sentOrder      // order without an answer
	executing     *sentOrder      // accepted order that is being executed
	pauseUntil    Time            // earliest next order
	quietUntil    Time            // end of the time for which it wants no calls
	quietFor      map[string]Time // the same for requests, by the entry that was told
	target        string          // model that room is being made for
	targetUntil   Time            // when the target is abandoned if it is not loaded
	targetReason  string          // why it is to be loaded
	targetAhead   bool            // no request waited for it
	targetReplica bool            // it is a further replica
	load          *storeLoad      // load from the store that is, or may be, in progress
	lastIdle      Time            // newest report without an order in progress
}

// heldModel is one model on a runner.
type heldModel struct {
	version  uint64
	adapters map[string]*heldAdapter
	running  int
	lastUsed Time
	hidden   bool // it is being unloaded and not published
}

// heldAdapter is one adapter of a model on a runner.
type heldAdapter struct {
	readyAt  Time // expected end of its load; 0 once loaded
	running  int
	lastUsed Time
	hidden   bool // an order on it has no answer yet
}

// isReady reports whether requests may use the adapter.
func (a *heldAdapter) isReady() bool { return !a.hidden && a.readyAt == 0 }

// sentOrder is an order sent to a runner.
type sentOrder struct {
	order     Order
	sentAt    Time
	due       Time // when its execution should be complete
	fromStore bool // it loads from the weight store
}

func (u *upstream) id() string { return u.state.Id }

// isAvailable reports whether the upstream may get orders and requests.
func (u *upstream) isAvailable() bool {
	return !u.suspect && u.state.Phase == wire.UpstreamPhase_PHASE_READY
}

// serving returns a model that requests may use on the upstream, or nil.
func (u *upstream) serving(model string) *heldModel {
	if h := u.models[model]; h != nil && !h.hidden && u.isAvailable() {
		return h
	}
	return nil
}

// entryView returns the state as published to entries.
func (c *Core) entryView(u *upstream) *wire.UpstreamState {
	s := &wire.UpstreamState{
		Id: u.state.Id, BornUnixMs: u.state.BornUnixMs, Sequence: u.state.Sequence, Service: u.state.Service,
		Address: u.state.Address, Zone: u.state.Zone, Software: u.state.Software, Slots: u.state.Slots, Phase: u.state.Phase,
		LeavesMs: u.state.LeavesMs, Number: u.number, Limit: c.entryLimit(u), Pace: c.speeds.Published(u.number),
	}
	if u.suspect && s.Phase == wire.UpstreamPhase_PHASE_READY {
		s.Phase = wire.UpstreamPhase_PHASE_UNSPECIFIED
	}
	for name, h := range u.models {
		if !h.hidden {
			s.Models = append(s.Models, &wire.HeldModel{Name: name, Version: h.version, Adapters: h.readyAdapters()})
		}
	}
	slices.SortFunc(s.Models, func(a, b *wire.HeldModel) int { return strings.Compare(a.Name, b.Name) })
	return s
}

func (h *heldModel) readyAdapters() []string {
	var out []string
	for name, a := range h.adapters {
		if a.isReady() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func containsModel(models []*wire.HeldModel, name string) bool {
	return slices.ContainsFunc(models, func(m *wire.HeldModel) bool { return m.Name == name })
}

// replaceModels replaces the models on the runner, keeping their usage.
func (u *upstream) replaceModels(models []*wire.HeldModel) {
	next := make(map[string]*heldModel, len(models))
	for _, m := range models {
		h := u.models[m.Name]
		if h == nil {
			h = &heldModel{adapters: map[string]*heldAdapter{}}
		}
		h.version = m.Version
		h.replaceAdapters(m.Adapters)
		next[m.Name] = h
	}
	u.models = next
}

// mergeModels adds the models that another entry had. Requests for one that has been
// unloaded meanwhile are refused by the runner without being run.
func (u *upstream) mergeModels(models []*wire.HeldModel) {
	for _, m := range models {
		h := u.models[m.Name]
		if h == nil {
			h = &heldModel{version: m.Version, adapters: map[string]*heldAdapter{}}
			u.models[m.Name] = h
		}
		for _, name := range m.Adapters {
			if h.adapters[name] == nil {
				h.adapters[name] = &heldAdapter{}
			}
		}
	}
}

// minNewSequence returns the lowest sequence of a heartbeat with new information.
func (u *upstream) minNewSequence() uint64 {
	if u.fromEntries {
		return u.state.Sequence
	}
	return u.state.Sequence + 1
}

// replaceAdapters replaces the adapters of a model, keeping their usage.
func (h *heldModel) replaceAdapters(names []string) {
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

// applyHeartbeatModels processes the models of a heartbeat. A heartbeat can be seconds
// old and does not tell which orders it covers, so it must not undo what reports and
// accepted orders have established. It only shows that the order being executed on a
// model is complete. A very old heartbeat may show that too early; the runner then
// refuses the next order as a conflict.
func (u *upstream) applyHeartbeatModels() {
	if !u.confirmed {
		u.replaceModels(u.state.Models)
		return
	}
	if o := u.executing; o != nil && containsModel(u.state.Models, o.order.Model) != o.order.Unload {
		u.completeOrder(o)
	}
}

// completeOrder records that an order on a model has been executed.
func (u *upstream) completeOrder(o *sentOrder) {
	u.executing = nil
	if o.order.Unload {
		delete(u.models, o.order.Model)
		return
	}
	h := &heldModel{adapters: map[string]*heldAdapter{}}
	for _, m := range u.state.Models {
		if m.Name == o.order.Model {
			h.version = m.Version
		}
	}
	u.models[o.order.Model] = h
}

// openOrder returns the order that is sent or being executed, or nil.
func (u *upstream) openOrder() *sentOrder {
	if u.sent != nil {
		return u.sent
	}
	return u.executing
}

func (u *upstream) addLoad(now Time, l *wire.UpstreamLoad) {
	u.running += int(l.Running)
	u.prefillTokens += int(l.PrefillTokens)
	u.kvTokens += int(l.KvTokens)
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

// tick checks orders that should be complete, requests needed reports, and publishes
// adapters that became ready.
func (u *upstream) tick(c *Core) {
	if u.executing != nil && c.now >= u.executing.due {
		u.sequenceKnown = u.sequenceKnown && u.executing.order.Adapter != ""
		u.requestReport(c)
	}
	if !u.sequenceKnown && u.sent == nil && u.executing == nil && u.isRunner(c) {
		u.requestReport(c)
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
	s := c.config.FindService(service)
	if s == nil {
		return nil
	}
	return s.Engine
}

// requestReport reads the runner's report unless a read is pending or too recent.
func (u *upstream) requestReport(c *Core) {
	if u.readPending || c.reportReads >= c.settings.MaxReportReads || c.now < max(u.nextRead, u.quietUntil) || !u.isAvailable() || !c.limits.Spend(c.now, u.limitKey(), true) {
		return
	}
	u.readPending = true
	c.reportReads++
	u.nextRead = c.now + c.settings.ReportReadInterval
	c.emit(ReadReport{Upstream: u.id(), BornUnixMs: u.state.BornUnixMs, Address: u.state.Address})
}

// currentIncarnation returns the upstream with an id, or nil if its known incarnation is
// another one.
func (c *Core) currentIncarnation(id string, bornUnixMs int64) *upstream {
	u := c.byID[id]
	if u == nil || u.state.BornUnixMs != bornUnixMs {
		return nil
	}
	return u
}

// handleReport processes a runner's report. A report that may predate the last accepted
// order is dropped: its sequence is below the counted one, and that order is younger
// than MaxReportAge.
func (c *Core) handleReport(ev ReportReceived) {
	c.reportReads = max(0, c.reportReads-1)
	u := c.currentIncarnation(ev.Upstream, ev.BornUnixMs)
	if u == nil {
		return
	}
	u.readPending = false
	c.recordAnswer(u, ev.Answer, ev.Took)
	outdated := ev.Report.Sequence < u.sequence && c.now-u.lastAccepted < c.settings.MaxReportAge
	if ev.Failed || u.sent != nil || outdated {
		return
	}
	r := ev.Report
	u.state.InMemory, u.state.OnDisk = r.InMemory, r.OnDisk
	c.followStoreLoad(u, r, ev.Took)
	if r.Busy {
		return
	}
	u.sequence, u.sequenceKnown, u.confirmed = r.Sequence, true, true
	u.executing = nil
	u.replaceModels(r.Models)
	for _, h := range u.models {
		h.hidden = false
	}
	for _, a := range r.LoadingAdapters {
		if h := u.models[a.Model]; h != nil {
			h.adapters[a.Adapter] = &heldAdapter{readyAt: c.now + c.settings.AdapterLoadTime, lastUsed: c.now}
		}
	}
	c.publish(u)
}

// handleOrderResult processes the answer to an order.
func (c *Core) handleOrderResult(ev OrderAnswered) {
	u := c.currentIncarnation(ev.Upstream, ev.BornUnixMs)
	if u == nil || u.sent == nil {
		return
	}
	c.recordAnswer(u, ev.Answer, ev.Took)
	o := u.sent
	u.sent = nil
	c.recordLoadAnswer(u, o, ev.Result)
	switch ev.Result {
	case OrderAccepted, OrderCompleted:
		u.sequence++
		u.lastAccepted = c.now
		c.applyAccepted(u, o, ev.Result == OrderCompleted)
	case OrderFenced:
		c.fenced = true
		c.emit(TokenSuperseded{})
	case OrderMisdirected:
		c.drop(u)
		return
	default:
		// It may still be executed later, but only while the sequence is unchanged.
		u.sequenceKnown = false
		u.pauseUntil = c.now + c.settings.ReportReadInterval
		u.nextRead = c.now + c.settings.ReportReadInterval/2
		u.rollback(o)
		if ev.Result == OrderUnknown && o.fromStore {
			c.storeStarts = append(c.storeStarts, c.now)
		}
	}
	c.publish(u)
}

// rollback reverts the expected effect of an order that was not accepted.
func (u *upstream) rollback(o *sentOrder) {
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

// applyAccepted records an accepted order; completed is set if the requested state has
// been reached.
func (c *Core) applyAccepted(u *upstream, o *sentOrder, completed bool) {
	h := u.models[o.order.Model]
	switch {
	case o.order.Adapter != "" && h == nil:
	case o.order.Adapter != "" && o.order.Unload:
		delete(h.adapters, o.order.Adapter)
	case o.order.Adapter != "":
		h.adapters[o.order.Adapter] = &heldAdapter{readyAt: c.now + c.settings.AdapterLoadTime, lastUsed: c.now}
	case completed:
		// If the state had been reached before, the runner may not have counted the order.
		u.sequenceKnown = false
		u.nextRead = c.now
	default:
		u.executing = o
	}
}
