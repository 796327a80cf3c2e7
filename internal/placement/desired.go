package placement

import (
	"slices"
	"time"

	"gentiankeel/internal/wire"
)

const (
	defaultRequestsPerReplica = 8
	intervalMarginDivisor     = 10 // a burst may be early or late by the interval divided by this
	minutesPerDay             = 24 * 60
)

// unloadDisallowed unloads what the applied file does not allow: unknown models and
// adapters, other versions, disallowed availability zones and surplus replicas.
func (p *planner) unloadDisallowed() {
	for _, rep := range p.unlisted {
		p.unloadIfKept(rep, "the applied file does not name it")
	}
	for _, m := range p.models {
		for _, rep := range m.replicas {
			if reason := m.disallowedReason(rep); reason != "" {
				p.unloadIfKept(rep, reason)
			}
		}
		p.removeSurplus(m)
	}
	for _, rep := range p.adapters {
		if reason := p.disallowedAdapterReason(rep); reason != "" {
			p.unloadIfKept(rep, reason)
		}
	}
}

// unloadIfKept unloads a replica that no earlier decision has covered.
func (p *planner) unloadIfKept(rep *replica, reason string) {
	if rep.status == statusKept {
		p.unload(rep, reason, Subject{})
	}
}

// disallowedReason returns why the applied file does not allow a replica, or "".
func (m *modelState) disallowedReason(rep *replica) string {
	switch {
	case rep.alloc.Version != m.spec.GetVersion():
		return "the applied file names another version"
	case !m.allowsZone(rep.runner.Zone):
		return "the applied file does not allow the availability zone"
	default:
		return ""
	}
}

func (m *modelState) allowsZone(zone string) bool {
	zones := m.spec.GetZones()
	return len(zones) == 0 || slices.Contains(zones, zone)
}

// removeSurplus unloads replicas beyond the applied file's count, the least used first.
// A replica on a suspect runner may be chosen and is then only drained: a runner whose
// heartbeats come and go does not shift the choice to another replica.
func (p *planner) removeSurplus(m *modelState) {
	var loaded []*replica
	surplus := -int(m.spec.GetReplicas())
	for _, rep := range m.replicas {
		if rep.status == statusUnloading || rep.status == statusDraining || m.disallowedReason(rep) != "" {
			continue
		}
		surplus++
		if rep.alloc.State == Loaded {
			loaded = append(loaded, rep)
		}
	}
	if surplus <= 0 {
		return
	}
	slices.SortStableFunc(loaded, compareByUse)
	for _, rep := range loaded[:min(surplus, len(loaded))] {
		p.unload(rep, "the applied file allows fewer replicas", Subject{})
	}
}

// compareByUse sorts the least used replica first.
func compareByUse(a, b *replica) int {
	if a.alloc.Running != b.alloc.Running {
		return a.alloc.Running - b.alloc.Running
	}
	if a.alloc.LastUsed != b.alloc.LastUsed {
		return compareDuration(a.alloc.LastUsed, b.alloc.LastUsed)
	}
	return compareDuration(a.alloc.LoadedAt, b.alloc.LoadedAt)
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

// countReplicas counts the serving replicas of each model and sets how many are
// desired.
func (p *planner) countReplicas() {
	lead := p.warmLeadTime()
	for _, m := range p.models {
		for _, rep := range m.replicas {
			if p.isServing(m, rep) {
				m.serving++
			}
		}
		p.setDesired(m, lead)
	}
}

// isServing reports whether a replica serves or soon will. One on a suspect runner
// counts until a request has waited for it too long.
func (p *planner) isServing(m *modelState, rep *replica) bool {
	if m.disallowedReason(rep) != "" || rep.runner.Leaving && p.features.avoidLeaving {
		return false
	}
	switch rep.status {
	case statusKept, statusLeaving:
		return true
	case statusSuspect:
		waited := p.in.Now - m.oldest
		return m.waiting == 0 || waited < p.in.Settings.SuspectGrace
	default:
		return false
	}
}

// setDesired sets how many replicas the applied file and the demand require, and why.
func (p *planner) setDesired(m *modelState, lead time.Duration) {
	m.desired, m.reason = int(m.spec.GetMinReplicas()), "kept by the applied file"
	if n := p.warmReplicas(m, lead); n > m.desired {
		m.desired, m.reason = n, "warm window of the applied file"
	}
	if m.desired == 0 && p.isBurstDue(m) {
		m.desired, m.reason = 1, "expected by its learnt interval"
	}
	m.baseline = m.desired
	if n := p.replicasForDemand(m); n > m.desired {
		m.desired, m.reason = n, "requests wait or run"
	}
	m.desired = min(m.desired, int(m.spec.GetReplicas()))
	m.needed = min(p.replicasWithoutQueue(m), int(m.spec.GetReplicas()))
	m.baseline = min(m.baseline, m.desired)
}

// replicasForDemand returns how many replicas the requests justify. A queue of up to
// half a replica's requests is left to drain: another replica would be loaded too late
// for it and then stay idle. A queue that does not drain gets one.
func (p *planner) replicasForDemand(m *modelState) int {
	n := m.waiting + m.running
	full := p.replicasWithoutQueue(m)
	if n == 0 || !p.features.queueSlack {
		return full
	}
	desired := max(1, (n+p.requestsPerReplica()/2-1)/p.requestsPerReplica())
	if p.hasBacklog(m) {
		desired = min(full, max(desired, m.serving+1)) // one at a time: it may suffice
	}
	return desired
}

// replicasWithoutQueue returns how many replicas serve all requests at once.
func (p *planner) replicasWithoutQueue(m *modelState) int {
	return (m.waiting + m.running + p.requestsPerReplica() - 1) / p.requestsPerReplica()
}

// hasBacklog reports whether requests have waited for the time of a load from disk
// since the newest replica became ready. It returns false while a replica is loading.
func (p *planner) hasBacklog(m *modelState) bool {
	if m.waiting == 0 {
		return false
	}
	from := m.oldest
	for _, rep := range m.replicas {
		if rep.alloc.State == Loading || rep.alloc.State == OutcomeUnknown {
			return false
		}
		from = max(from, rep.alloc.LoadedAt)
	}
	return p.in.Now-from >= p.in.Settings.LoadCost[wire.Tier_TIER_DISK]
}

func (p *planner) requestsPerReplica() int {
	if p.in.Settings.RequestsPerReplica <= 0 {
		return defaultRequestsPerReplica
	}
	return p.in.Settings.RequestsPerReplica
}

// warmLeadTime returns the time that loading all warm replicas may take. Loads start
// this early, so that they are done when the window opens.
func (p *planner) warmLeadTime() time.Duration {
	if !p.features.warmLead {
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

// warmReplicas returns how many replicas the open warm windows require.
func (p *planner) warmReplicas(m *modelState, lead time.Duration) int {
	n := 0
	for _, w := range m.spec.GetWarm() {
		if isOpen(w, p.in.WallClock, lead) {
			n = max(n, int(w.GetReplicas()))
		}
	}
	return n
}

// isOpen reports whether a daily window is open now or opens within lead.
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
	elapsed := (sinceMidnight - from + day) % day
	return elapsed < length+lead
}

// isBurstDue reports whether a model's next burst is so near that the model is to be
// loaded now. An interval below the idle time needs no preload, as the replica is still
// loaded.
func (p *planner) isBurstDue(m *modelState) bool {
	idleAfter := time.Duration(m.spec.GetIdleAfterS()) * time.Second
	if !p.features.burstPreload || m.burstInterval == 0 || m.burstInterval < idleAfter || m.lastUsed == 0 {
		return false
	}
	margin := m.burstMargin()
	next := m.nextBurst()
	lead := p.in.Settings.LoadCost[wire.Tier_TIER_REMOTE]
	return p.in.Now >= next-margin-lead && p.in.Now <= next+margin
}

// burstMargin returns by how much the next burst may deviate from its predicted time.
func (m *modelState) burstMargin() time.Duration {
	if m.burstDeviation > 0 {
		return m.burstDeviation
	}
	return m.burstInterval / intervalMarginDivisor
}

// nextBurst returns the predicted time of the next burst.
func (m *modelState) nextBurst() time.Duration {
	if m.lastBurst > 0 {
		return m.lastBurst + m.burstInterval
	}
	return m.lastUsed + m.burstInterval
}

// unloadIdle unloads spare replicas that have been idle for as long as the applied file
// allows.
func (p *planner) unloadIdle() {
	if !p.features.idleUnload {
		return
	}
	for _, m := range p.models {
		if m.spareReplicas() <= 0 || m.spec.GetIdleAfterS() == 0 {
			continue
		}
		idleAfter := time.Duration(m.spec.GetIdleAfterS()) * time.Second
		for _, rep := range p.idleReplicas(m) {
			idle := p.in.Now - max(rep.alloc.LastUsed, rep.alloc.LoadedAt)
			if m.spareReplicas() > 0 && idle >= idleAfter {
				p.unload(rep, "idle for longer than the applied file allows", Subject{})
				m.serving--
			}
		}
	}
}

// idleReplicas returns the replicas that may be evicted, the least recently used first.
func (p *planner) idleReplicas(m *modelState) []*replica {
	var idle []*replica
	for _, rep := range m.replicas {
		if p.canEvict(rep) {
			idle = append(idle, rep)
		}
	}
	slices.SortStableFunc(idle, compareByUse)
	return idle
}

// canEvict reports whether a replica is loaded and idle, and has stayed long enough
// that fluctuating demand does not load and unload it in turn.
func (p *planner) canEvict(rep *replica) bool {
	if rep.status != statusKept || rep.alloc.State != Loaded || rep.alloc.Running > 0 || !rep.runner.isAvailable() {
		return false
	}
	return !p.features.minResidence || p.in.Now-rep.alloc.LoadedAt >= p.in.Settings.MinResidence
}
