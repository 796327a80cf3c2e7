package ratelimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	simStep      = 5 * time.Millisecond
	simLatency   = 5 * time.Millisecond // of a message between an entry and the coordinator
	simReports   = 100 * time.Millisecond
	simWindow    = 8 * time.Second
	simDeadline  = 12 * time.Second
	simSilence   = time.Second // without a message after which an entry gives a stream up
	simKeepAlive = 300 * time.Millisecond
	simNoticed   = time.Second // until the coordinator gives up an entry that is cut off, after that entry
)

// simOrganisation is an organisation of a simulation.
type simOrganisation struct {
	quota     Quota
	perSecond float64 // requests that callers send
	minCost   int
	maxCost   int

	sent          []amount
	asked         float64
	refused       float64
	refusedBelow  float64 // of this, units that one bucket at a single place would have allowed
	central       Bucket  // that bucket
	returnOrder   []Time  // when refused requests were told to return, in the order of refusal
	returnEntries []int
}

// simEntry is an entry of a simulation. It is attached to a coordinator while link is not nil.
type simEntry struct {
	id         string
	gate       *Gate
	link       *simCoordinator
	cut        bool // no coordinator can be reached
	frozen     Time // until when
	attachAt   Time // when it finds a new coordinator
	nextReport Time
	heardAt    Time
	inbox      []simMessage
	admitted   []simRun // to be sent
}

type simRun struct {
	id, units uint64
	at        Time
	org       string
}

type simMessage struct {
	at      Time
	sent    Time // by the coordinator's clock
	entries int
	grants  []Grant
}

type simReport struct {
	at     Time
	entry  int
	id     string
	attach bool
	report AttachReport
	list   []UnitDemand
}

type simCoordinator struct {
	allocator *Allocator
	began     Time
	inbox     []simReport
	entries   map[int]string
	aliveAt   Time
	lost      []simLoss // entries that are cut off, which the coordinator does not know yet
}

type simLoss struct {
	at    Time
	entry *simEntry
	i     int
}

// quotaSimulation has entries, a coordinator that can be replaced, and callers of organisations. Messages
// take simLatency.
type quotaSimulation struct {
	rng         *rand.Rand
	now         Time
	coordinator *simCoordinator // nil: there is none
	entries     []*simEntry
	names       []string
	orgs        map[string]*simOrganisation
	pick        func(org string) int // the entry of the next request
	costs       map[uint64]simRun
	nextID      uint64
	restarts    int
	notRun      float64 // share of requests that do not run
	queue       Time    // longest time that a request waits for an upstream
	attachTime  Time    // longest time until an entry finds a new coordinator
	countFrom   Time    // refusals of requests that came before this don't count
}

func newQuotaSimulation(seed uint64, entries int) *quotaSimulation {
	s := &quotaSimulation{rng: rand.New(rand.NewPCG(seed, 7)), orgs: map[string]*simOrganisation{}, costs: map[uint64]simRun{}, notRun: 0.02,
		queue: 40 * time.Millisecond}
	for i := range entries {
		s.entries = append(s.entries, &simEntry{id: fmt.Sprintf("n%d/0", i), gate: NewGate()})
	}
	s.pick = func(string) int { return s.rng.IntN(len(s.entries)) }
	s.newCoordinator()
	return s
}

// add adds an organisation whose limit is 1.8 times what it usually uses, with a burst of one second.
func (s *quotaSimulation) add(name string, perSecond float64) *simOrganisation {
	const meanCost = (650 + 5000) / 2
	rate := max(1.8*perSecond*meanCost, 2700)
	o := &simOrganisation{quota: Quota{PerSecond: rate, Burst: rate}, perSecond: perSecond, minCost: 650, maxCost: 5000}
	o.central = *newQuotaBucket(0, o.quota)
	s.orgs[name] = o
	s.names = append(s.names, name)
	s.configure()
	return o
}

// addDay adds organisations with the given number of requests a second in total, a few of them large.
func (s *quotaSimulation) addDay(n int, perSecond float64) {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range n {
		s.add(fmt.Sprintf("o%02d", i), perSecond*math.Pow(float64(i+1), -1.2)/sum)
	}
}

func (s *quotaSimulation) quotas() map[string]Quota {
	out := map[string]Quota{}
	for name, o := range s.orgs {
		out[name] = o.quota
	}
	return out
}

// configure puts the quotas in force everywhere.
func (s *quotaSimulation) configure() {
	if s.coordinator != nil {
		s.coordinator.allocator.SetQuotas(s.now-s.coordinator.began, s.quotas())
	}
	for _, e := range s.entries {
		s.decided(e, e.gate.SetQuotas(s.now, s.quotas()))
	}
}

func (s *quotaSimulation) newCoordinator() {
	s.coordinator = &simCoordinator{allocator: NewAllocator(), began: s.now, entries: map[int]string{}}
	s.coordinator.allocator.SetQuotas(0, s.quotas())
	if s.attachTime > 0 {
		for _, e := range s.entries {
			e.attachAt = s.now + time.Duration(s.rng.Float64()*float64(s.attachTime))
		}
	}
}

// restart replaces the process of an entry.
func (s *quotaSimulation) restart(i int) {
	s.restarts++
	e := &simEntry{id: fmt.Sprintf("n%d/%d", i, s.restarts), gate: NewGate()}
	s.detach(s.entries[i], i)
	s.entries[i] = e
	e.gate.SetQuotas(s.now, s.quotas())
}

// detach ends the stream of an entry at the coordinator.
func (s *quotaSimulation) detach(e *simEntry, i int) {
	if c := e.link; c != nil && c.entries[i] == e.id {
		delete(c.entries, i)
		c.allocator.Lost(s.now-c.began, e.id)
	}
}

func (s *quotaSimulation) decided(e *simEntry, list []UnitDecision) {
	for _, d := range list {
		r, ok := s.costs[d.ID]
		if !ok {
			continue
		}
		delete(s.costs, d.ID)
		o := s.orgs[r.org]
		if o == nil {
			continue // its organisation has been removed, so it is refused for that
		}
		if d.Admitted {
			r.at = s.now + time.Duration(s.rng.Float64()*float64(s.queue))
			e.admitted = append(e.admitted, r)
			continue
		}
		if r.at >= s.countFrom {
			o.refused += float64(r.units)
		}
		if o.central.covers(s.now, float64(r.units)) {
			o.refusedBelow += float64(r.units)
			o.central.tokens -= float64(r.units)
		}
		o.returnOrder = append(o.returnOrder, s.now+d.RetryAfter)
		for i := range s.entries {
			if s.entries[i] == e {
				o.returnEntries = append(o.returnEntries, i)
			}
		}
	}
}

func (s *quotaSimulation) step() {
	s.now += simStep
	for _, name := range s.names {
		o := s.orgs[name]
		if o == nil {
			continue
		}
		for mean := o.perSecond * simStep.Seconds(); s.rng.Float64() < mean; mean-- {
			s.request(name, o)
		}
	}
	for i, e := range s.entries {
		if s.now >= e.frozen {
			s.stepEntry(i, e)
		}
	}
	if s.coordinator != nil {
		s.stepCoordinator(s.coordinator)
	}
}

func (s *quotaSimulation) request(name string, o *simOrganisation) {
	e := s.entries[s.pick(name)]
	if s.now < e.frozen {
		return
	}
	s.nextID++
	units := o.minCost + s.rng.IntN(o.maxCost-o.minCost+1)
	o.asked += float64(units)
	s.costs[s.nextID] = simRun{id: s.nextID, units: uint64(units), org: name, at: s.now}
	s.decided(e, e.gate.Request(s.now, UnitRequest{ID: s.nextID, Organisation: name, Units: units, Deadline: s.now + simDeadline}))
}

func (s *quotaSimulation) stepEntry(i int, e *simEntry) {
	for len(e.inbox) > 0 && e.inbox[0].at <= s.now {
		m := e.inbox[0]
		e.inbox = e.inbox[1:]
		e.heardAt = s.now
		e.gate.Heard(s.now, m.entries)
		s.decided(e, e.gate.Grant(s.now, m.sent, m.grants))
	}
	s.sendAdmitted(e)
	if s.now%(50*time.Millisecond) == 0 {
		s.decided(e, e.gate.Tick(s.now))
	}
	switch {
	case e.link != nil && (e.link != s.coordinator || s.now-e.heardAt > simSilence || e.link.entries[i] != e.id && s.now-e.heardAt > 10*simLatency):
		if e.cut && s.now-e.heardAt > simSilence {
			e.link.lost = append(e.link.lost, simLoss{s.now + simNoticed, e, i})
		} else {
			s.detach(e, i)
		}
		e.link, e.inbox = nil, nil
		s.decided(e, e.gate.Lost(s.now))
	case e.link == nil && !e.cut && s.coordinator != nil && s.now >= e.attachAt:
		e.link, e.heardAt = s.coordinator, s.now
		list, report := e.gate.Attach(s.now)
		e.link.inbox = append(e.link.inbox, simReport{at: s.now + simLatency, entry: i, id: e.id, attach: true, list: list, report: report})
	case e.link != nil && !e.cut && (e.gate.IsUrgent(s.now) || e.gate.HasChanges() && s.now >= e.nextReport):
		e.nextReport = s.now + simReports
		if list := e.gate.Report(s.now); len(list) > 0 {
			e.link.inbox = append(e.link.inbox, simReport{at: s.now + simLatency, entry: i, id: e.id, list: list})
		}
	}
}

// sendAdmitted sends the requests whose wait for an upstream has ended.
func (s *quotaSimulation) sendAdmitted(e *simEntry) {
	kept := e.admitted[:0]
	for _, r := range e.admitted {
		if s.now < r.at {
			kept = append(kept, r)
			continue
		}
		switch p := s.rng.Float64(); {
		case p < s.notRun: // refused by the upstream
			e.gate.Sent(r.id)
			e.gate.NotRun(r.id)
		case p < 2*s.notRun: // the caller left
			e.gate.Cancel(r.id)
		default:
			e.gate.Sent(r.id)
			o := s.orgs[r.org]
			o.sent = append(o.sent, amount{s.now, r.units})
			o.central.refill(s.now)
			o.central.tokens -= float64(r.units)
		}
		e.gate.Finish(r.id)
	}
	e.admitted = kept
}

func (s *quotaSimulation) stepCoordinator(c *simCoordinator) {
	now := s.now - c.began
	for len(c.inbox) > 0 && c.inbox[0].at <= s.now {
		r := c.inbox[0]
		c.inbox = c.inbox[1:]
		if r.attach {
			c.entries[r.entry] = r.id
			c.allocator.Attach(now, r.id, r.report)
			s.deliver(c, r.entry, nil)
		}
		if c.entries[r.entry] == r.id {
			s.tell(c, c.allocator.ReportQuotas(now, r.id, r.list))
		}
	}
	for len(c.lost) > 0 && c.lost[0].at <= s.now {
		l := c.lost[0]
		c.lost = c.lost[1:]
		if c.entries[l.i] == l.entry.id && l.entry.link != c {
			delete(c.entries, l.i)
			c.allocator.Lost(now, l.entry.id)
		}
	}
	if now%tick == 0 {
		s.tell(c, c.allocator.Allocate(now))
		c.allocator.Advance(now)
	}
	if now-c.aliveAt >= simKeepAlive {
		c.aliveAt = now
		for i := range s.entries {
			if c.entries[i] != "" {
				s.deliver(c, i, nil)
			}
		}
	}
}

func (s *quotaSimulation) tell(c *simCoordinator, grants map[string][]Grant) {
	for i := range s.entries {
		if list := grants[c.entries[i]]; len(list) > 0 && c.entries[i] != "" {
			s.deliver(c, i, list)
		}
	}
}

func (s *quotaSimulation) deliver(c *simCoordinator, i int, grants []Grant) {
	e := s.entries[i]
	if e.cut || e.link != c || c.entries[i] != e.id {
		return
	}
	e.inbox = append(e.inbox, simMessage{at: s.now + simLatency, sent: s.now - c.began, entries: len(c.entries), grants: grants})
}

func (s *quotaSimulation) run(d time.Duration, each func()) {
	for end := s.now + d; s.now < end; {
		if each != nil {
			each()
		}
		s.step()
	}
}

// mostUsed returns the highest number of units sent within a window that begins after a time.
func (o *simOrganisation) mostUsed(after Time) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, u := range o.sent {
		if u.at <= after {
			first++
			continue
		}
		sum += float64(u.units)
		for o.sent[first].at <= u.at-simWindow {
			sum -= float64(o.sent[first].units)
			first++
		}
		most = max(most, sum)
	}
	return most
}

// checkWindows asserts the bound on what any window may have.
func (s *quotaSimulation) checkWindows(t *testing.T, label string, after Time) {
	t.Helper()
	for _, name := range s.names {
		o := s.orgs[name]
		allowed := (o.quota.PerSecond*simWindow.Seconds()+o.quota.Burst)*1.1 + 11000
		if most := o.mostUsed(after); most > allowed {
			t.Errorf("%s: organisation %s used %.0f units in a window, %.0f are allowed", label, name, most, allowed)
		}
	}
}

// refusedShare returns the part of all units asked for that were refused below the limit.
func (s *quotaSimulation) refusedShare() float64 {
	asked, refused := 0.0, 0.0
	for _, o := range s.orgs {
		asked += o.asked
		refused += o.refusedBelow
	}
	return refused / asked
}

func (s *quotaSimulation) forget() {
	for _, o := range s.orgs {
		o.asked, o.refused, o.refusedBelow = 0, 0, 0
	}
}

func (s *quotaSimulation) checkRefused(t *testing.T, label string, most float64) {
	t.Helper()
	t.Logf("%s: %.4f of the units refused below the limit", label, s.refusedShare())
	if got := s.refusedShare(); got > most {
		t.Errorf("%s: %.4f of the units refused below the limit, %.2f are allowed", label, got, most)
	}
}

// Requests are refused below the limit if units lie unused at entries, or if an entry refuses before the
// coordinator has answered.
func TestQuota_CalmDay(t *testing.T) {
	for seed := range uint64(3) {
		s := newQuotaSimulation(seed, 91)
		s.addDay(16, 235)
		s.run(4*time.Second, nil)
		s.forget()
		s.run(30*time.Second, nil)
		s.checkWindows(t, "calm", 0)
		s.checkRefused(t, "calm", 0.01)
	}
}

// One organisation sends six times its usual requests for nine seconds. The window bound fails if entries
// are granted more than the bucket has, and the others lose requests if they share its bucket or wait.
func TestQuota_HotOrganisation(t *testing.T) {
	for seed, hot := range []string{"o00", "o03", "o12"} {
		s := newQuotaSimulation(uint64(seed), 91)
		s.addDay(16, 235)
		s.run(4*time.Second, nil)
		s.forget()
		s.run(6*time.Second, nil)
		o := s.orgs[hot]
		o.perSecond *= 6
		before, began := len(o.sent), s.now
		s.run(9*time.Second, nil)
		used := 0.0
		for _, u := range o.sent[before:] {
			used += float64(u.units)
		}
		o.perSecond /= 6
		s.run(10*time.Second, nil)
		s.checkWindows(t, "hot "+hot, 0)
		s.checkRefused(t, "hot "+hot, 0.03)
		if least := 0.9 * o.quota.PerSecond * 9; used < least {
			t.Errorf("hot %s: %.0f units used after %v, of which the quota allows %.0f", hot, used, began, least)
		}
	}
}

// Organisations without requests must cost the others nothing.
func TestQuota_ManyIdleOrganisations(t *testing.T) {
	s := newQuotaSimulation(1, 91)
	for i := range 1000 {
		s.orgs[fmt.Sprintf("idle%d", i)] = &simOrganisation{quota: Quota{PerSecond: 2700, Burst: 2700}}
	}
	s.addDay(16, 235)
	s.run(4*time.Second, nil)
	s.forget()
	s.run(15*time.Second, nil)
	s.checkWindows(t, "idle", 0)
	s.checkRefused(t, "idle", 0.01)
	if n := len(s.coordinator.allocator.claimed); n > 16 {
		t.Errorf("%d organisations are checked on each tick", n)
	}
}

// All requests come through one entry for a second and then through another one. Units that stay at the
// former entry are lost to the latter until they return.
func TestQuota_DemandHopsBetweenEntries(t *testing.T) {
	s := newQuotaSimulation(2, 91)
	s.addDay(16, 235)
	s.pick = func(string) int { return int(s.now/time.Second) * 37 % len(s.entries) }
	s.run(4*time.Second, nil)
	s.forget()
	s.run(30*time.Second, nil)
	s.checkWindows(t, "hopping", 0)
	s.checkRefused(t, "hopping", 0.01)
}

// A request larger than the burst is admitted at a full bucket, and what follows has to wait until the
// bucket has refilled.
func TestQuota_RequestLargerThanBurst(t *testing.T) {
	s := newQuotaSimulation(3, 91)
	o := s.add("small", 0.05)
	o.minCost, o.maxCost = 5000, 5000
	s.notRun = 0
	s.run(60*time.Second, nil)
	s.checkWindows(t, "large", 0)
	s.checkRefused(t, "large", 0.01)
	if len(o.sent) == 0 {
		t.Error("no request was sent")
	}
	o.perSecond = 5
	s.run(60*time.Second, nil)
	s.checkWindows(t, "large, many", 0)
	if rate := o.mostUsed(s.now-30*time.Second) / simWindow.Seconds(); rate < 0.8*o.quota.PerSecond {
		t.Errorf("%.0f units a second were used, the quota allows %.0f", rate, o.quota.PerSecond)
	}
}

// A lower limit binds one window after the entries have it, also with units granted before.
func TestQuota_LowerLimit(t *testing.T) {
	s := newQuotaSimulation(4, 91)
	o := s.add("a", 40)
	o.perSecond *= 3
	s.run(12*time.Second, nil)
	o.quota = Quota{PerSecond: o.quota.PerSecond / 4, Burst: o.quota.Burst / 4}
	s.configure()
	changed := s.now
	s.run(20*time.Second, nil)
	s.checkWindows(t, "lowered", changed)
}

// No change of the configuration gives a fresh burst.
func TestQuota_ConfigurationGivesNoBurst(t *testing.T) {
	s := newQuotaSimulation(5, 20)
	o := s.add("a", 40)
	s.add("b", 1)
	o.perSecond *= 3
	quota := o.quota
	n := 0
	s.run(40*time.Second, func() {
		if n++; n%100 != 0 {
			return
		}
		switch n / 100 % 4 {
		case 0: // the same again
		case 1: // raised and lowered
			o.quota = Quota{PerSecond: 2 * quota.PerSecond, Burst: 4 * quota.Burst}
			s.configure()
			o.quota = quota
		case 2: // removed and added
			delete(s.orgs, "a")
			s.configure()
			s.orgs["a"] = o
		case 3:
			s.orgs["b"].quota.PerSecond++
		}
		s.configure()
	})
	s.checkWindows(t, "configured", 0)
}

// The previous coordinator may have granted everything, and entries admit some more while there is none.
func TestQuota_Takeover(t *testing.T) {
	for seed, gap := range []time.Duration{0, 700 * time.Millisecond, 3 * time.Second} {
		for _, hot := range []float64{1, 6} {
			for _, early := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 5 * time.Second} {
				label := fmt.Sprintf("takeover after %v, %v times the usual for %v before", gap, hot, early)
				s := newQuotaSimulation(uint64(seed), 91)
				s.addDay(16, 235)
				s.run(8*time.Second, nil)
				s.orgs["o00"].perSecond *= hot
				s.orgs["o05"].perSecond *= hot
				s.run(early, nil)
				s.coordinator = nil
				s.run(gap, nil)
				s.newCoordinator()
				s.run(9*time.Second, nil)
				s.checkWindows(t, label, 0)
			}
		}
	}
}

// Entries that are cut off admit a little without being counted, and so do others in their stead.
func TestQuota_EntriesCutOff(t *testing.T) {
	for seed, n := range []int{1, 10, 45, 91} {
		s := newQuotaSimulation(uint64(seed), 91)
		s.addDay(16, 235)
		s.run(5*time.Second, nil)
		s.orgs["o00"].perSecond *= 6
		s.orgs["o04"].perSecond *= 6
		s.run(2*time.Second, nil)
		for _, e := range s.entries[:n] {
			e.cut = true
		}
		s.run(12*time.Second, nil)
		for _, e := range s.entries[:n] {
			e.cut = false
		}
		s.run(10*time.Second, nil)
		s.checkWindows(t, fmt.Sprintf("%d cut off", n), 0)
	}
}

// A coordinator that has none of the entries of the one before must not give their part to those that it
// has.
func TestQuota_PartitionWithTakeover(t *testing.T) {
	s := newQuotaSimulation(1, 90)
	s.addDay(16, 235)
	s.run(8*time.Second, nil)
	s.orgs["o00"].perSecond *= 6
	for _, e := range s.entries[:45] {
		e.cut = true
	}
	s.coordinator = nil
	s.run(500*time.Millisecond, nil)
	s.newCoordinator()
	s.run(18*time.Second, nil)
	s.checkWindows(t, "partition", 0)
}

// Units that a frozen entry holds, and messages that it finds when it goes on, must not be used late.
func TestQuota_EntriesFrozen(t *testing.T) {
	for seed := range uint64(3) {
		s := newQuotaSimulation(seed, 91)
		s.addDay(16, 235)
		s.run(6*time.Second, nil)
		s.orgs["o00"].perSecond *= 6
		for round := range 4 {
			s.run(time.Second, nil)
			for i := range 30 {
				s.entries[(round*30+i)%91].frozen = s.now + time.Duration(500+s.rng.IntN(6000))*time.Millisecond
			}
		}
		s.run(14*time.Second, nil)
		s.checkWindows(t, "frozen", 0)
	}
}

// Restarted entries start without units, and their predecessors' count as used.
func TestQuota_EntriesRestarted(t *testing.T) {
	s := newQuotaSimulation(1, 91)
	s.addDay(16, 235)
	s.run(6*time.Second, nil)
	s.forget()
	i := 0
	s.run(30*time.Second, func() {
		if s.now%(100*time.Millisecond) == 0 {
			s.restart(i * 7 % 91)
			i++
		}
	})
	s.checkWindows(t, "restarted", 0)
	s.checkRefused(t, "restarted", 0.03)
}

// Refused requests that all return at once are refused again.
func TestQuota_RefusedReturnInOrder(t *testing.T) {
	s := newQuotaSimulation(1, 20)
	o := s.add("a", 20)
	s.run(4*time.Second, nil)
	o.perSecond *= 8
	s.run(4*time.Second, nil)
	last := map[int]Time{}
	for i, at := range o.returnOrder {
		e := o.returnEntries[i]
		if at < last[e] {
			t.Fatalf("entry %d told a request to return before one that was refused earlier", e)
		}
		last[e] = at
	}
	// Those refused are told to return at no more than about the rate of the quota.
	perWindow := map[Time]int{}
	for _, at := range o.returnOrder {
		perWindow[at/simWindow]++
	}
	mean := float64(o.minCost+o.maxCost) / 2
	for w, n := range perWindow {
		if most := 1.5 * o.quota.PerSecond * simWindow.Seconds() / mean; float64(n) > most {
			t.Errorf("%d refused requests return in window %v, the quota allows %.0f", n, w, most/1.5)
		}
	}
	if len(o.returnOrder) < 100 {
		t.Errorf("only %d requests were refused", len(o.returnOrder))
	}
}
