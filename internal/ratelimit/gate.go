package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxUnitWait bounds the time that a request waits for units; waitShare is the part of its time left
	// that it may wait at most. What is left has to be enough for the request itself.
	maxUnitWait = time.Second
	waitShare   = 4
	// minRefusalDelay is the shortest time after which a refused request is told to return.
	minRefusalDelay = 10 * time.Millisecond
)

// Gate admits the requests of organisations at one entry. It does no I/O and is not safe for concurrent
// use. Each request that gets a Decision to be admitted must be reported to Finish in the end.
type Gate struct {
	accounts map[string]*account
	requests map[uint64]*unitRequest
	changed  map[*account]bool // accounts whose demand may differ from the one reported
	held     map[*account]bool // accounts that hold units
	waiting  int
	epoch    uint64 // of the contact with a coordinator
	clock    SentClock

	// contact tells whether units can be granted. attaching is set from the first report to a coordinator
	// until it answers: requests only wait then, since the report has told what was used without contact.
	contact   bool
	attaching bool
	contactAt Time // when the coordinator was last heard
	entries   int  // as last published
	now       Time // of the last call that told the time
	begunAt   Time // when a coordinator was first heard; valid if hasBegun is set
	hasBegun  bool
	// most is the highest number of entries published within goneTime, last at mostAt. A coordinator that
	// was replaced early may have published only some of those that its predecessor had.
	most    int
	mostAt  Time
	pruneAt Time // when old histories are dropped next
}

// account is an organisation with a limit, as one entry sees it.
type account struct {
	name     string
	quota    Quota
	limited  bool
	permits  Permits
	waiting  []*unitRequest // in the order of their arrival
	reserved uint64         // granted units of requests that were not sent yet
	charged  uint64         // units used without a permit
	usual    uint64         // units of the last request
	reported Demand
	interval time.Duration // between two requests of this entry, as last told
	returnAt Time          // when the last refused request was told to return

	admitted []amount // within the last offlineTime of contact
	history  history
	offline  offline
}

// offline is what an entry without contact may admit.
type offline struct {
	allowance float64 // left of what was admitted in the last time of contact
	ready     float64 // part of the allowance that may be admitted now
	perSecond float64 // at which the rest becomes ready
	share     float64 // saved up of the entry's part of the rate
	shareFrom Time    // when it begins to save that up
	at        Time    // up to which these are computed
	used      uint64  // since the contact ended
}

// unitRequest is a request that waits for units or has some.
type unitRequest struct {
	id        uint64
	account   *account
	units     uint64
	waitUntil Time
	admitted  bool
	epoch     uint64 // of the units
	offline   bool   // the units were admitted without contact
	sends     int    // attempts that may have run
	sentAt    Time   // when the last attempt was sent
	paid      int    // attempts that units were taken for
}

// UnitRequest is a request of an organisation.
type UnitRequest struct {
	ID           uint64
	Organisation string
	Units        int
	Deadline     Time
}

// UnitDecision is the outcome of a request for units.
type UnitDecision struct {
	ID         uint64
	Admitted   bool
	RetryAfter time.Duration // if refused: when the units can be expected
	NoContact  bool          // if refused: there was no coordinator to ask
}

// UnitDemand is what a report tells of an organisation.
type UnitDemand struct {
	Organisation string
	Demand
}

// NewGate returns a gate that has no contact yet.
func NewGate() *Gate {
	return &Gate{accounts: map[string]*account{}, requests: map[uint64]*unitRequest{}, changed: map[*account]bool{}, held: map[*account]bool{}}
}

// SetQuotas replaces the quotas of all organisations. Under a lower one units granted before are dropped.
func (g *Gate) SetQuotas(now Time, quotas map[string]Quota) []UnitDecision {
	var out []UnitDecision
	for _, name := range slices.Sorted(maps.Keys(g.accounts)) {
		a := g.accounts[name]
		q, limited := quotas[name]
		if a.limited && (!limited || q.PerSecond < a.quota.PerSecond || q.Burst < a.quota.Burst) {
			a.permits.drop()
			g.changed[a] = true
		}
		if limited {
			a.quota, a.limited = q, true
			continue
		}
		a.limited = false
		for _, r := range a.waiting {
			delete(g.requests, r.id)
			out = append(out, UnitDecision{ID: r.id, Admitted: true})
		}
		g.waiting -= len(a.waiting)
		a.waiting = nil
	}
	for name, q := range quotas {
		if g.accounts[name] == nil {
			g.accounts[name] = &account{name: name, quota: q, limited: true, permits: Permits{isQuota: true}, offline: newOffline(nil, now)}
		}
	}
	return out
}

// Request asks for the units of a request. Without a limit it is admitted at once and needs no further
// calls. The result is empty while it has to wait.
func (g *Gate) Request(now Time, req UnitRequest) []UnitDecision {
	a := g.accounts[req.Organisation]
	if a == nil || !a.limited || req.Units <= 0 {
		return []UnitDecision{{ID: req.ID, Admitted: true}}
	}
	g.advance(now)
	r := &unitRequest{id: req.ID, account: a, units: uint64(req.Units), waitUntil: now + min(maxUnitWait, max(req.Deadline-now, 0)/waitShare)}
	a.usual = r.units
	a.waiting = append(a.waiting, r)
	g.requests[r.id] = r
	g.waiting++
	g.changed[a] = true
	return g.serve(now, a)
}

// Cancel ends the wait of a request. If it was admitted meanwhile, its units return.
func (g *Gate) Cancel(id uint64) {
	r := g.requests[id]
	if r == nil {
		return
	}
	if r.admitted {
		g.Finish(id)
		return
	}
	r.account.waiting = slices.DeleteFunc(r.account.waiting, func(o *unitRequest) bool { return o == r })
	g.drop(r)
}

// drop forgets a request that waits no longer and has no units.
func (g *Gate) drop(r *unitRequest) {
	delete(g.requests, r.id)
	g.waiting--
	g.changed[r.account] = true
}

// Sent records that an attempt of a request is being sent. One after an attempt that may have run is
// charged again. It need not wait, since its caller has been told to expect an answer.
func (g *Gate) Sent(id uint64) {
	r := g.requests[id]
	if r == nil {
		return
	}
	a := r.account
	r.sends++
	r.sentAt = g.now
	a.history.add(g.now, r.units)
	g.changed[a] = true
	switch {
	case r.sends > r.paid:
		r.paid++
		r.epoch = g.epoch
		a.charged += r.units
		return
	case r.sends > 1:
		return
	case r.epoch == g.epoch && !r.offline:
		a.reserved -= min(r.units, a.reserved)
	case !r.offline:
		// The units were granted by an earlier coordinator, and this one doesn't know that they were
		// not used before.
		r.epoch = g.epoch
		a.charged += r.units
	}
}

// NotRun records that the last attempt of a request did not run. The next attempt needs no more units.
func (g *Gate) NotRun(id uint64) {
	if r := g.requests[id]; r != nil && r.sends > 0 {
		r.sends--
		r.account.history.remove(r.sentAt, r.units)
		if r.sends == 0 && r.epoch == g.epoch && !r.offline {
			r.account.reserved += r.units
			g.changed[r.account] = true
		}
	}
}

// Finish records that a request sends nothing any more. The units of attempts that did not run return.
func (g *Gate) Finish(id uint64) {
	r := g.requests[id]
	if r == nil {
		return
	}
	delete(g.requests, id)
	a := r.account
	unused := uint64(r.paid-r.sends) * r.units
	switch {
	case unused == 0 || r.epoch != g.epoch:
	case r.offline:
		a.offline.ready += float64(unused)
		a.offline.allowance += float64(unused)
		a.offline.used -= min(unused, a.offline.used)
	default:
		a.permits.returned += unused
		if r.sends == 0 {
			a.reserved -= min(r.units, a.reserved)
		}
		g.changed[a] = true
	}
}

// serve admits the waiting requests of an organisation that there are units for, in order.
func (g *Gate) serve(now Time, a *account) []UnitDecision {
	var out []UnitDecision
	for len(a.waiting) > 0 {
		r := a.waiting[0]
		switch {
		case g.contact && a.permits.availableUnits(now) >= r.units:
			a.permits.take(now, r.units)
			a.reserved += r.units
			a.admitted = append(dropOlder(a.admitted, now-offlineTime), amount{now, r.units})
		case !g.contact && !g.attaching && a.admitOffline(now, float64(r.units), g.entries):
			r.offline = true
		default:
			return out
		}
		r.admitted, r.epoch, r.paid = true, g.epoch, 1
		a.waiting = a.waiting[1:]
		g.waiting--
		g.changed[a] = true
		out = append(out, UnitDecision{ID: r.id, Admitted: true})
	}
	return out
}

// Attach begins the contact with a coordinator, which grants anew. It returns the demand for its first
// report, and what was used before.
func (g *Gate) Attach(now Time) ([]UnitDemand, AttachReport) {
	g.advance(now)
	report := g.attachReport(now)
	g.epoch++
	g.attaching = true
	g.clock = SentClock{}
	for name, a := range g.accounts {
		if !a.limited && len(a.waiting) == 0 {
			delete(g.accounts, name)
			delete(g.changed, a)
			continue
		}
		a.permits.Reset()
		a.reserved, a.charged, a.reported = 0, 0, Demand{}
		if a.offline.used > 0 {
			if report.Used == nil {
				report.Used = map[string]uint64{}
			}
			report.Used[name] = a.offline.used
		}
		if len(a.waiting) > 0 {
			g.changed[a] = true
		}
	}
	clear(g.held)
	return g.Report(now), report
}

// attachReport returns what the entry sent lately, and how many entries it has heard of.
func (g *Gate) attachReport(now Time) AttachReport {
	r := AttachReport{StepAge: now % historyStep, Recent: map[string]RecentUse{}}
	if !g.hasBegun {
		return r
	}
	r.Entries, r.History = uint32(g.most), min(now-g.begunAt, historyTime)
	inUse := map[string]uint64{}
	for _, req := range g.requests {
		if req.admitted && req.paid > req.sends {
			inUse[req.account.name] += uint64(req.paid-req.sends) * req.units
		}
	}
	for name, a := range g.accounts {
		if use := (RecentUse{a.history.steps(now), inUse[name]}); len(use.Steps) > 0 || use.InUse > 0 {
			r.Recent[name] = use
		}
	}
	return r
}

// prune drops the histories of organisations without recent requests.
func (g *Gate) prune(now Time) {
	if now < g.pruneAt {
		return
	}
	g.pruneAt = now + historyTime
	for _, a := range g.accounts {
		if n := len(a.history); n > 0 && a.history[n-1].at+historyStep <= now-historyTime {
			a.history = nil
		}
	}
}

func (g *Gate) advance(now Time) { g.now = max(g.now, now) }

// Heard records that an update of the coordinator has arrived. entries is how many are attached; 0: as
// before. The first update after Attach ends the time without contact.
func (g *Gate) Heard(now Time, entries int) {
	if entries > 0 {
		g.entries = entries
	}
	g.advance(now)
	if entries > 0 && (entries >= g.most || now-g.mostAt >= goneTime) {
		g.most, g.mostAt = entries, now
	}
	if !g.hasBegun {
		g.begunAt, g.hasBegun = now, true
	}
	g.contactAt = now
	if g.contact {
		return
	}
	g.contact, g.attaching = true, false
	for _, a := range g.accounts {
		a.offline = offline{}
	}
}

// Lost records that the contact with the coordinator has ended, or that an attempt to attach failed.
func (g *Gate) Lost(now Time) []UnitDecision {
	g.attaching = false
	if g.contact {
		g.contact = false
		g.epoch++
		for _, a := range g.accounts {
			a.offline = newOffline(a.admitted, g.contactAt)
			a.admitted = nil
		}
	}
	return g.Tick(now)
}

// newOffline returns what an entry may admit without contact: what it admitted in the last offlineTime of
// contact, half of it at once and the rest over offlineTime. What was admitted since then counts.
func newOffline(admitted []amount, contactAt Time) offline {
	o := offline{at: contactAt, shareFrom: contactAt + offlineTime}
	for _, u := range admitted {
		switch {
		case u.at > contactAt:
			o.used += u.units
		case u.at > contactAt-offlineTime:
			o.allowance += float64(u.units)
		}
	}
	o.perSecond = o.allowance / 2 / offlineTime.Seconds()
	o.ready = o.allowance/2 - float64(o.used)
	o.allowance -= float64(o.used)
	return o
}

// admitOffline takes units without contact and reports whether there were enough. After offlineTime they
// come from the entry's equal part of the rate, of which at most a second is saved up.
func (a *account) admitOffline(now Time, units float64, entries int) bool {
	o := &a.offline
	part := 0.0
	if entries > 0 {
		part = a.quota.PerSecond / float64(entries)
	}
	if now > o.at {
		o.ready = min(o.ready+o.perSecond*(now-o.at).Seconds(), o.allowance)
		if now >= o.shareFrom {
			o.allowance = 0
			o.share = min(o.share+part*(now-max(o.at, o.shareFrom)).Seconds(), part)
		}
		o.at = now
	}
	switch {
	case units <= min(o.ready, o.allowance):
		o.ready -= units
		o.allowance -= units
	case units <= o.share:
		o.share -= units
	default:
		return false
	}
	o.used += uint64(units)
	return true
}

// Grant adopts what the coordinator tells. sent is the coordinator's time of the message: units that were
// delayed, such as while this process was suspended, are valid for the rest of their time only.
func (g *Gate) Grant(now, sent Time, grants []Grant) []UnitDecision {
	if !g.contact {
		return nil
	}
	delay := g.clock.Delay(now, sent)
	var out []UnitDecision
	for _, grant := range grants {
		a := g.accounts[grant.Organisation]
		if a == nil {
			continue
		}
		a.permits.Grant(now, grant, delay)
		g.held[a], g.changed[a] = true, true
		if grant.Interval > 0 {
			a.interval = grant.Interval
		}
		if !a.limited {
			a.permits.drop()
			continue
		}
		out = append(out, g.serve(now, a)...)
		out = append(out, g.refuseLate(now, a, grant)...)
	}
	return out
}

// refuseLate refuses the waiting requests whose units come too late by the coordinator's answer.
func (g *Gate) refuseLate(now Time, a *account, grant Grant) []UnitDecision {
	if grant.Wait <= 0 {
		return nil
	}
	var out []UnitDecision
	kept := a.waiting[:0]
	for _, r := range a.waiting {
		wait := grant.Wait + time.Duration(len(kept))*grant.Interval
		if now+wait <= r.waitUntil {
			kept = append(kept, r)
			continue
		}
		out = append(out, g.refuse(now, r, wait))
	}
	clear(a.waiting[len(kept):])
	a.waiting = kept
	return out
}

// refuse refuses a request that is no longer in the list of those that wait. wait is when its units can be
// expected; 0: unknown. Requests that are refused one
// after the other are told to return one after the other, as the quota refills.
func (g *Gate) refuse(now Time, r *unitRequest, wait time.Duration) UnitDecision {
	a := r.account
	g.drop(r)
	interval := max(a.interval, unitTime(float64(r.units), a.quota.PerSecond))
	if !g.contact {
		interval = unitTime(float64(r.units), a.quota.PerSecond/float64(max(g.entries, 1)))
	}
	if wait == 0 {
		wait = interval
	}
	a.returnAt = min(max(now+wait, a.returnAt+interval, now+minRefusalDelay), now+maxReturnAfter)
	return UnitDecision{ID: r.id, RetryAfter: a.returnAt - now, NoContact: !g.contact}
}

// Tick refuses the requests that have waited for too long and admits those that there are units for.
func (g *Gate) Tick(now Time) []UnitDecision {
	g.advance(now)
	g.prune(now)
	for a := range g.held {
		before := a.permits.returned
		a.permits.expire(now)
		if a.permits.returned != before {
			g.changed[a] = true
		}
		if len(a.permits.held) == 0 {
			delete(g.held, a)
		}
	}
	if g.waiting == 0 {
		return nil
	}
	var out []UnitDecision
	for _, name := range slices.Sorted(maps.Keys(g.accounts)) {
		a := g.accounts[name]
		if len(a.waiting) == 0 {
			continue
		}
		out = append(out, g.serve(now, a)...)
		kept := a.waiting[:0]
		for _, r := range a.waiting {
			if now < r.waitUntil {
				kept = append(kept, r)
				continue
			}
			out = append(out, g.refuse(now, r, 0))
		}
		clear(a.waiting[len(kept):])
		a.waiting = kept
	}
	return out
}

// Report returns the demands that differ from those reported before, by organisation.
func (g *Gate) Report(now Time) []UnitDemand {
	var out []UnitDemand
	for a := range g.changed {
		delete(g.changed, a)
		if d := a.demand(now); d != a.reported {
			a.reported = d
			out = append(out, UnitDemand{a.name, d})
		}
	}
	slices.SortFunc(out, func(x, y UnitDemand) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return out
}

func (a *account) demand(now Time) Demand {
	waiting, first := uint64(0), uint64(0)
	for _, r := range a.waiting {
		waiting += r.units
	}
	if len(a.waiting) > 0 {
		first = a.waiting[0].units
	}
	d := a.permits.demandUnits(now, waiting, first, a.usual)
	d.Held += a.reserved
	d.Charged = a.charged
	return d
}

// HasChanges reports whether there may be something to report.
func (g *Gate) HasChanges() bool { return len(g.changed) > 0 }

// IsUrgent reports whether a request waits for units that the coordinator was not asked for.
func (g *Gate) IsUrgent(now Time) bool {
	for a := range g.changed {
		if d := a.demand(now); len(a.waiting) > 0 && (d.Urgent > a.reported.Urgent || d.First != a.reported.First || d.Known != a.reported.Known) {
			return true
		}
	}
	return false
}

// Waiting returns the number of requests that wait for units.
func (g *Gate) Waiting() int { return g.waiting }

// SentClock estimates how long messages of one sender were on their way, beyond the shortest time of any,
// from the times at which they were sent by the sender's clock.
type SentClock struct {
	offset    Time // lowest difference between this clock and the sender's
	hasOffset bool
}

// Delay returns the delay of a message that arrives now.
func (c *SentClock) Delay(now, sent Time) time.Duration {
	offset := now - sent
	if !c.hasOffset || offset < c.offset {
		c.offset, c.hasOffset = offset, true
	}
	return offset - c.offset
}
