package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Allocator grants permits under all limits during one term of the coordinator. It does no I/O and is
// not safe for concurrent use.
type Allocator struct {
	limits map[Subject]*limit
	// claimed holds the limits under which entries want permits that they do not have. The others,
	// thousands in a large deployment, need no check.
	claimed map[Subject]*limit
	contact contact // of entries with the coordinator
	quotas  int     // organisations with a limit
	pruneAt Time    // when idle shares are dropped next
}

// limit is a limit and the permits under it: the newest statement of an incarnation, or a quota.
type limit struct {
	Statement
	statedAt  Time
	quota     *Quota // of an organisation; nil: the limit of an upstream
	removedAt Time   // when the organisation lost its limit; valid unless Limited is set
	throttle  throttle
	bucket    *Bucket
	used      float64 // units granted or charged before the takeover, less those returned
	shares    map[string]*share
	order     []string // entries with a share, the one that got a permit longest ago first
}

// share is one entry's part of the permits.
type share struct {
	Demand
	granted    uint64
	recent     []amount // of an organisation: what was granted within recentGrants
	lastFirst  uint64   // the last First that was not 0
	claimedAt  Time     // when requests last waited for units that were not granted at once
	hasClaimed bool     // claimedAt is set
	reportedAt Time
}

// amount is a number of units and when they were granted or used.
type amount struct {
	at    Time
	units uint64
}

func (s *share) unmet() uint64 { return max(s.Wanted, s.granted) - s.granted }

func (s *share) urgent() uint64 { return max(s.Urgent, s.granted) - s.granted }

// NewAllocator returns an allocator without limits.
func NewAllocator() *Allocator {
	return &Allocator{limits: map[Subject]*limit{}, claimed: map[Subject]*limit{}, contact: newContact()}
}

func subjectOf(inc Incarnation) Subject { return Subject{Incarnation: inc} }

// RecordStatement records a statement of the given age and reports whether it changed the limit. An older
// one than the newest is ignored.
func (a *Allocator) RecordStatement(now Time, inc Incarnation, s Statement, age time.Duration) bool {
	l := a.limits[subjectOf(inc)]
	if l == nil {
		if !s.Limited {
			return false
		}
		l = &limit{shares: map[string]*share{}, bucket: NewBucket(max(now, takeoverDelay), s.PerSecond), statedAt: now - age}
		a.limits[subjectOf(inc)] = l
	} else if now-age < l.statedAt {
		return false
	}
	l.statedAt = now - age
	if l.Statement == s {
		return false
	}
	l.Statement = s
	l.bucket.SetLimit(now, s.PerSecond)
	return true
}

// Limit returns the limit in force; nil: there is none.
func (a *Allocator) Limit(inc Incarnation) *Statement {
	if l := a.limits[subjectOf(inc)]; l != nil && l.Limited {
		return &l.Statement
	}
	return nil
}

// Forget drops an incarnation that is gone.
func (a *Allocator) Forget(inc Incarnation) { a.forget(subjectOf(inc)) }

func (a *Allocator) forget(sub Subject) {
	delete(a.limits, sub)
	delete(a.claimed, sub)
}

// Spend counts a call of the coordinator itself and reports whether the limit allows it. A call
// that can't wait is made all the same, and later permits make up for it.
func (a *Allocator) Spend(now Time, inc Incarnation, canWait bool) bool {
	l := a.limits[subjectOf(inc)]
	if l == nil || !l.Limited {
		return true
	}
	if canWait && l.bucket.Available(now) == 0 {
		return false
	}
	l.bucket.Take()
	return true
}

// Allows reports whether the limit leaves room for a call of the coordinator itself.
func (a *Allocator) Allows(now Time, inc Incarnation) bool {
	l := a.limits[subjectOf(inc)]
	return l == nil || !l.Limited || l.bucket.Available(now) > 0
}

// Detach drops the shares of an entry. Permits that it holds lapse there.
func (a *Allocator) Detach(entry string) {
	for _, l := range a.limits {
		l.dropShare(entry)
	}
}

func (l *limit) dropShare(entry string) {
	s := l.shares[entry]
	if s == nil {
		return
	}
	l.bucket.reserved -= s.outstanding()
	delete(l.shares, entry)
	l.order = slices.DeleteFunc(l.order, func(e string) bool { return e == entry })
}

// SetDemand replaces an entry's demand for permits for an upstream.
func (a *Allocator) SetDemand(entry string, inc Incarnation, d Demand) {
	a.setDemand(entry, subjectOf(inc), d)
}

func (a *Allocator) setDemand(entry string, sub Subject, d Demand) *share {
	l := a.limits[sub]
	if l == nil {
		return nil
	}
	s := l.shares[entry]
	if s == nil {
		s = &share{granted: d.Known, Demand: Demand{Returned: d.Returned, Charged: d.Charged, Known: d.Known}}
		l.shares[entry] = s
		l.order = append(l.order, entry)
	}
	l.bucket.reserved -= s.outstanding()
	before := s.Demand
	s.Demand = d
	s.granted = max(s.granted, d.Known) // a share that was dropped meanwhile
	l.bucket.reserved += s.outstanding()
	l.settle(before, d)
	if s.unmet() > 0 {
		a.claimed[sub] = l
	}
	return s
}

// Allocate grants the permits that are due, first for requests that wait, and returns the entries
// that got some with what they are to be told.
func (a *Allocator) Allocate(now Time) map[string][]Grant {
	var out map[string][]Grant
	subjects := slices.SortedFunc(maps.Keys(a.claimed), func(x, y Subject) int {
		return cmp.Or(cmp.Compare(x.Upstream, y.Upstream), cmp.Compare(x.BornUnixMs, y.BornUnixMs), cmp.Compare(x.Organisation, y.Organisation))
	})
	for _, sub := range subjects {
		l := a.claimed[sub]
		if !l.Limited {
			continue
		}
		for _, entry := range l.allocate(now) {
			if out == nil {
				out = map[string][]Grant{}
			}
			out[entry] = append(out[entry], l.grantOf(now, sub, entry))
		}
		if !slices.ContainsFunc(l.order, func(e string) bool { return l.shares[e].unmet() > 0 }) {
			delete(a.claimed, sub)
		}
	}
	return out
}

// allocate grants permits in turn and returns the entries that got some.
func (l *limit) allocate(now Time) []string {
	var got []string
	for {
		i := slices.IndexFunc(l.order, func(e string) bool { return l.shares[e].urgent() > 0 })
		if i < 0 {
			i = slices.IndexFunc(l.order, func(e string) bool { return l.shares[e].unmet() > 0 })
		}
		if i < 0 {
			break
		}
		entry := l.order[i]
		n := l.due(now, l.shares[entry])
		if n == 0 {
			break
		}
		l.order = append(slices.Delete(l.order, i, i+1), entry)
		l.shares[entry].granted += n
		if l.quota == nil {
			l.bucket.Take()
		} else {
			l.grantUnits(now, l.shares[entry], n)
		}
		if !slices.Contains(got, entry) {
			got = append(got, entry)
		}
	}
	return got
}

// due returns how many permits an entry whose turn it is can get at once.
func (l *limit) due(now Time, s *share) uint64 {
	if l.quota != nil {
		return l.dueUnits(now, s)
	}
	if l.bucket.Available(now) > 0 {
		return 1
	}
	return 0
}

// GrantsOf returns what an entry is to be told of the permits that it has a share of.
func (a *Allocator) GrantsOf(entry string, incarnations []Incarnation) []Grant {
	var out []Grant
	for _, inc := range incarnations {
		sub := subjectOf(inc)
		if l := a.limits[sub]; l != nil && l.Limited && l.shares[entry] != nil {
			out = append(out, l.grantOf(0, sub, entry))
		}
	}
	return out
}

func (l *limit) grantOf(now Time, sub Subject, entry string) Grant {
	g := Grant{Incarnation: sub.Incarnation, Organisation: sub.Organisation, Granted: l.shares[entry].granted}
	if l.quota != nil {
		l.addWait(now, entry, &g)
		return g
	}
	for _, s := range l.shares {
		if n := s.unmet(); n > 0 {
			g.Backlog += uint32(n)
			g.Claimants++
		}
	}
	return g
}
