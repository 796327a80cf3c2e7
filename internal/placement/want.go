package placement

import (
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

const (
	defaultRequestsPerReplica = 8
	intervalMargin            = 10 // a learnt interval is trusted to one part in this many
	minutesPerDay             = 24 * 60
)

// removeForbidden takes away what the applied file does not allow: unknown models,
// old versions, wrong availability zones, surplus replicas and their adapters.
func (p *planner) removeForbidden() {
	for _, rep := range p.strays {
		p.remove(rep, "the applied file does not name it")
	}
	for _, m := range p.models {
		for _, rep := range m.replicas {
			if why := m.forbids(rep); why != "" {
				p.remove(rep, why)
			}
		}
		p.removeSurplus(m)
	}
	for _, rep := range p.adapter {
		if why := p.forbidsAdapter(rep); why != "" {
			p.remove(rep, why)
		}
	}
}

func (p *planner) remove(rep *replica, why string) {
	if rep.fate == fateStay {
		p.unload(rep, why, Subject{})
	}
}

func (m *model) forbids(rep *replica) string {
	switch {
	case rep.h.Version != m.spec.GetVersion():
		return "the applied file names another version"
	case !m.allowsZone(rep.r.Zone):
		return "the applied file does not allow the availability zone"
	default:
		return ""
	}
}

func (m *model) allowsZone(zone string) bool {
	zones := m.spec.GetZones()
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// removeSurplus takes away replicas beyond the file's count, least used first. One on
// a suspect runner may be chosen and is then left alone: its runner's flapping does not
// move the choice to another.
func (p *planner) removeSurplus(m *model) {
	var staying []*replica
	surplus := -int(m.spec.GetReplicas())
	for _, rep := range m.replicas {
		if rep.fate == fateGoing || rep.fate == fateDrain || m.forbids(rep) != "" {
			continue
		}
		surplus++
		if rep.h.State == Loaded {
			staying = append(staying, rep)
		}
	}
	if surplus <= 0 {
		return
	}
	slices.SortStableFunc(staying, compareUse)
	for _, rep := range staying[:min(surplus, len(staying))] {
		p.unload(rep, "the applied file allows fewer replicas", Subject{})
	}
}

// compareUse sorts the least used replica first.
func compareUse(a, b *replica) int {
	if a.h.Running != b.h.Running {
		return a.h.Running - b.h.Running
	}
	if a.h.LastUsed != b.h.LastUsed {
		return compareDuration(a.h.LastUsed, b.h.LastUsed)
	}
	return compareDuration(a.h.Since, b.h.Since)
}

func compareDuration(a, b time.Duration) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// countServing counts for each model what serves and what is wanted.
func (p *planner) countServing() {
	lead := p.warmLead()
	for _, m := range p.models {
		for _, rep := range m.replicas {
			if p.serves(m, rep) {
				m.serving++
			}
		}
		p.setWant(m, lead)
	}
}

// serves tells whether a replica serves or is about to.
func (p *planner) serves(m *model, rep *replica) bool {
	if m.forbids(rep) != "" || rep.r.Leaving && p.mech.leavingAvoid {
		return false
	}
	switch rep.fate {
	case fateStay, fateLost:
		return true
	case fateFrozen:
		waited := p.in.Now - m.oldest
		return m.waiting == 0 || waited < p.in.Settings.SuspectPatience
	default:
		return false
	}
}

// setWant sets how many replicas the file and the demand want, and why.
func (p *planner) setWant(m *model, lead time.Duration) {
	m.want, m.why = int(m.spec.GetMinReplicas()), "kept by the applied file"
	if n := p.warmReplicas(m, lead); n > m.want {
		m.want, m.why = n, "warm window of the applied file"
	}
	if m.want == 0 && p.isExpected(m) {
		m.want, m.why = 1, "expected by its learnt interval"
	}
	m.floor = m.want
	if n := p.demandReplicas(m); n > m.want {
		m.want, m.why = n, "requests wait or run"
	}
	m.want = min(m.want, int(m.spec.GetReplicas()))
	m.keep = min(p.fullReplicas(m), int(m.spec.GetReplicas()))
	m.floor = min(m.floor, m.want)
}

// demandReplicas is how many replicas the requests are worth. A queue of up to half a
// replica's requests is left to drain: a further replica would be loaded too late for
// it and then stay idle. One that does not drain is worth the replica.
func (p *planner) demandReplicas(m *model) int {
	n := m.waiting + m.running
	full := p.fullReplicas(m)
	if n == 0 || !p.mech.scaleSlack {
		return full
	}
	want := max(1, (n+p.perReplica()/2-1)/p.perReplica())
	if p.isBacklog(m) {
		want = min(full, max(want, m.serving+1)) // one at a time: it may be enough
	}
	return want
}

// fullReplicas is how many replicas serve all requests at once.
func (p *planner) fullReplicas(m *model) int {
	return (m.waiting + m.running + p.perReplica() - 1) / p.perReplica()
}

// isBacklog tells whether requests have waited for a whole load since the last replica
// became ready.
func (p *planner) isBacklog(m *model) bool {
	if m.waiting == 0 {
		return false
	}
	from := m.oldest
	for _, rep := range m.replicas {
		if rep.h.State == Loading || rep.h.State == Unsettled {
			return false
		}
		from = max(from, rep.h.Since)
	}
	return p.in.Now-from >= p.in.Settings.LoadCost[wire.Tier_TIER_DISK]
}

func (p *planner) perReplica() int {
	if p.in.Settings.RequestsPerReplica <= 0 {
		return defaultRequestsPerReplica
	}
	return p.in.Settings.RequestsPerReplica
}

// warmLead is the time that loading all warm replicas may take, so that they are
// loaded when their window opens.
func (p *planner) warmLead() time.Duration {
	if !p.mech.warmLead {
		return 0
	}
	replicas := 0
	for _, m := range p.models {
		for _, w := range m.spec.GetWarm() {
			replicas += int(w.GetReplicas())
		}
	}
	waves := replicas/max(1, p.in.Budget.StoreMax) + 1
	return time.Duration(waves) * p.in.Settings.LoadCost[wire.Tier_TIER_REMOTE]
}

func (p *planner) warmReplicas(m *model, lead time.Duration) int {
	n := 0
	for _, w := range m.spec.GetWarm() {
		if isOpen(w, p.in.WallClock, lead) {
			n = max(n, int(w.GetReplicas()))
		}
	}
	return n
}

// isOpen tells whether a daily window is open now or opens within lead.
func isOpen(w *wire.WarmWindow, now time.Time, lead time.Duration) bool {
	utc := now.UTC()
	midnight := time.Date(utc.Year(), utc.Month(), utc.Day(), 0, 0, 0, 0, time.UTC)
	sinceMidnight := utc.Sub(midnight)
	from := time.Duration(w.GetFromMinute())*time.Minute - lead
	length := time.Duration((w.GetUntilMinute()+minutesPerDay-w.GetFromMinute())%minutesPerDay) * time.Minute
	if length == 0 {
		return false
	}
	const day = minutesPerDay * time.Minute
	into := (sinceMidnight - from + day) % day
	return into < length+lead
}

// isExpected tells whether a model's next burst is so near that loading it now pays.
// An interval below the idle time needs no preload: the replica is still there.
func (p *planner) isExpected(m *model) bool {
	idleAfter := time.Duration(m.spec.GetIdleAfterS()) * time.Second
	if !p.mech.learntPreload || m.interval == 0 || m.interval < idleAfter || m.lastUsed == 0 {
		return false
	}
	margin := m.margin()
	next := m.nextBurst()
	lead := p.in.Settings.LoadCost[wire.Tier_TIER_REMOTE]
	return p.in.Now >= next-margin-lead && p.in.Now <= next+margin
}

// margin is how far from its learnt time the next burst may come.
func (m *model) margin() time.Duration {
	if m.spread > 0 {
		return m.spread
	}
	return m.interval / intervalMargin
}

// nextBurst is when the next burst is due by the learnt interval.
func (m *model) nextBurst() time.Duration {
	if m.burst > 0 {
		return m.burst + m.interval
	}
	return m.lastUsed + m.interval
}

// unloadIdle takes away spare replicas that were idle for as long as the file says.
func (p *planner) unloadIdle() {
	if !p.mech.idleUnload {
		return
	}
	for _, m := range p.models {
		if m.spare() <= 0 || m.spec.GetIdleAfterS() == 0 {
			continue
		}
		idleAfter := time.Duration(m.spec.GetIdleAfterS()) * time.Second
		for _, rep := range p.idleReplicas(m) {
			idle := p.in.Now - max(rep.h.LastUsed, rep.h.Since)
			if m.spare() > 0 && idle >= idleAfter {
				p.unload(rep, "idle for longer than the applied file allows", Subject{})
				m.serving--
			}
		}
	}
}

// idleReplicas lists the replicas that may be unloaded without need, the longest
// unused first.
func (p *planner) idleReplicas(m *model) []*replica {
	var idle []*replica
	for _, rep := range m.replicas {
		if p.mayEvict(rep) {
			idle = append(idle, rep)
		}
	}
	slices.SortStableFunc(idle, compareUse)
	return idle
}

// mayEvict tells whether a replica is idle, its outcome known, and has stayed long
// enough that demand that comes and goes does not load and unload it in turn.
func (p *planner) mayEvict(rep *replica) bool {
	if rep.fate != fateStay || rep.h.State != Loaded || rep.h.Running > 0 || !rep.r.usable() {
		return false
	}
	return !p.mech.minResident || p.in.Now-rep.h.Since >= p.in.Settings.MinResident
}
