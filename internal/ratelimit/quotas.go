package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// throttle tells whether requests of an organisation have to wait for its quota.
type throttle struct {
	on      bool
	since   Time
	delayed Time // when requests last waited
}

// Throttle is a change of whether an organisation is throttled.
type Throttle struct {
	Organisation string
	On           bool
	For          time.Duration // how long it was throttled; valid unless On is set
	Quota        Quota
}

// outstanding returns the units that were granted to an entry and may still be used there, as far as
// its last report tells.
func (s *share) outstanding() float64 {
	return float64(s.granted-min(s.Known, s.granted)) + float64(s.Held)
}

// SetQuotas replaces the quotas of all organisations. The bucket of an organisation keeps what it has,
// and one of a new organisation starts empty, so that no change of the configuration gives a burst.
func (a *Allocator) SetQuotas(now Time, quotas map[string]Quota) {
	a.quotas = len(quotas)
	for sub, l := range a.limits {
		if _, ok := quotas[sub.Organisation]; l.quota != nil && l.Limited && !ok {
			l.Limited, l.removedAt = false, now
			for _, entry := range slices.Clone(l.order) {
				l.dropShare(entry)
			}
			delete(a.claimed, sub)
		}
	}
	for name, q := range quotas {
		sub := Subject{Organisation: name}
		l := a.limits[sub]
		if l == nil {
			l = &limit{shares: map[string]*share{}, bucket: newQuotaBucket(max(now, takeoverDelay), q)}
			a.limits[sub] = l
		}
		l.Limited, l.quota = true, &q
		a.applyRate(now, l)
	}
	if t := &a.contact.takeover; !t.configured {
		t.configured = true
		a.takeOver(now)
	}
}

// applyRate sets the refill of an organisation's bucket: the rate of its quota less what entries that
// are out of contact may use.
func (a *Allocator) applyRate(now Time, l *limit) {
	l.bucket.set(now, l.quota.PerSecond*(1-a.contact.absent), l.quota.Burst)
}

// HasQuotas reports whether an organisation has a limit.
func (a *Allocator) HasQuotas() bool { return a.quotas > 0 }

// Quota returns the quota in force of an organisation; nil: there is none.
func (a *Allocator) Quota(organisation string) *Quota {
	if l := a.limits[Subject{Organisation: organisation}]; l != nil && l.Limited {
		return l.quota
	}
	return nil
}

// ReportQuotas replaces an entry's demands for units and returns the entries that are to be told something.
// The entry itself is told of all organisations whose requests wait there, also if it got nothing, so that
// it can refuse those whose units come too late.
func (a *Allocator) ReportQuotas(now Time, entry string, demands []UnitDemand) map[string][]Grant {
	var asked []string
	for _, d := range demands {
		if a.setQuotaDemand(now, entry, d.Organisation, d.Demand) {
			asked = append(asked, d.Organisation)
		}
	}
	out := a.Allocate(now)
	for _, name := range asked {
		sub := Subject{Organisation: name}
		if slices.ContainsFunc(out[entry], func(g Grant) bool { return g.Organisation == name }) {
			continue
		}
		if out == nil {
			out = map[string][]Grant{}
		}
		g := a.limits[sub].grantOf(now, sub, entry)
		if a.contact.isPending(now) {
			g.Wait, g.Interval = 0, 0 // the level of the bucket is not known yet
		}
		out[entry] = append(out[entry], g)
	}
	return out
}

// setQuotaDemand replaces an entry's demand for units of an organisation, and reports whether requests
// wait for them there.
func (a *Allocator) setQuotaDemand(now Time, entry, organisation string, d Demand) bool {
	s := a.setDemand(entry, Subject{Organisation: organisation}, d)
	if s == nil || !a.limits[Subject{Organisation: organisation}].Limited {
		return false
	}
	s.reportedAt = now
	if s.First > 0 {
		s.lastFirst = s.First
	}
	return s.urgent() > 0
}

// settle takes into account what an entry reported beyond its demand.
func (l *limit) settle(before, d Demand) {
	if d.Charged > before.Charged {
		l.bucket.tokens -= float64(d.Charged - before.Charged)
		l.used += float64(d.Charged - before.Charged)
	}
	if d.Returned > before.Returned {
		l.bucket.put(float64(d.Returned - before.Returned))
		l.used -= float64(d.Returned - before.Returned)
	}
}

// dueUnits returns how many units an entry whose turn it is can get at once: all that its requests wait
// for, or those of the first one. A stock for requests to come is granted only from a bucket that is more
// than half full, as it may stay unused there while another entry needs it.
func (l *limit) dueUnits(now Time, s *share) uint64 {
	if all := s.urgent(); all > 0 {
		l.bucket.refill(now)
		if float64(all) <= l.bucket.tokens {
			return all
		}
		if s.First > 0 && l.bucket.covers(now, float64(min(s.First, all))) {
			return min(s.First, all)
		}
		return 0
	}
	l.bucket.refill(now)
	return min(s.unmet(), uint64(max(l.bucket.tokens-l.bucket.burst/2, 0)))
}

// grantUnits records units granted to an entry. What its next request lacks is known with its next report
// only.
func (l *limit) grantUnits(now Time, s *share, n uint64) {
	l.bucket.grant(float64(n))
	l.used += float64(n)
	s.First = 0
	s.recent = append(dropOlder(s.recent, now-recentGrants), amount{now, n})
}

// dropOlder removes the amounts up to a time from a list in order of time.
func dropOlder(list []amount, until Time) []amount {
	n := 0
	for n < len(list) && list[n].at <= until {
		n++
	}
	return list[n:]
}

// addWait adds to a grant when an entry whose requests wait can expect units. Entries get them in turn,
// so the time from one of its requests to the next is that of one request of each claimant.
func (l *limit) addWait(now Time, entry string, g *Grant) {
	own := l.shares[entry]
	round, ahead := 0.0, 0.0
	isAhead := true
	for _, e := range l.order {
		s := l.shares[e]
		isAhead = isAhead && e != entry
		waits := s.urgent() > 0
		if waits {
			s.claimedAt, s.hasClaimed = now, true
			g.Claimants++
		}
		cost := float64(max(s.lastFirst, 1))
		if waits || s.hasClaimed && now-s.claimedAt < claimTime {
			round += cost
		}
		if waits && isAhead {
			ahead += cost
		}
	}
	if own.urgent() == 0 {
		return
	}
	needed := float64(max(own.First, 1))
	if ahead == 0 {
		needed = min(needed, l.bucket.capacity()) // a request larger than the burst needs a full bucket
	}
	g.Wait = l.bucket.timeTo(now, ahead+needed)
	g.Interval = unitTime(round, l.bucket.perSecond)
}

// Advance lets time pass: entries that were detached for long no longer count, and what is not needed
// any more is dropped. It returns which organisations have become throttled or are no longer: one is
// while requests wait for more units than Allocate could grant.
func (a *Allocator) Advance(now Time) []Throttle {
	if a.contact.advance(now) {
		a.applyRates(now)
	}
	if now >= a.pruneAt {
		a.pruneAt = now + idleTime/4
		a.prune(now)
	}
	var out []Throttle
	for sub, l := range a.claimed {
		if l.quota != nil && now > takeoverDelay && slices.ContainsFunc(l.order, func(e string) bool { return l.shares[e].urgent() > 0 }) {
			l.throttle.delayed = now
			if !l.throttle.on {
				l.throttle.on, l.throttle.since = true, now
				a.contact.throttled[sub.Organisation] = l
				out = append(out, Throttle{Organisation: sub.Organisation, On: true, Quota: *l.quota})
			}
		}
	}
	for name, l := range a.contact.throttled {
		if now-l.throttle.delayed >= throttleTime || !l.Limited {
			l.throttle.on = false
			delete(a.contact.throttled, name)
			out = append(out, Throttle{Organisation: name, For: l.throttle.delayed - l.throttle.since, Quota: *l.quota})
		}
	}
	slices.SortFunc(out, func(x, y Throttle) int { return cmp.Compare(x.Organisation, y.Organisation) })
	return out
}

// Throttled returns the number of organisations that are throttled.
func (a *Allocator) Throttled() int { return len(a.contact.throttled) }

// prune drops the buckets of organisations without a limit and shares without use.
func (a *Allocator) prune(now Time) {
	for sub, l := range maps.All(a.limits) {
		switch {
		case l.quota == nil:
		case !l.Limited:
			if now-l.removedAt >= removedTime {
				a.forget(sub)
			}
		default:
			for _, entry := range slices.Clone(l.order) {
				if s := l.shares[entry]; now-s.reportedAt >= idleTime && s.unmet() == 0 && s.outstanding() == 0 {
					l.dropShare(entry)
				}
			}
		}
	}
}
