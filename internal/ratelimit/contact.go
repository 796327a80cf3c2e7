package ratelimit

import (
	"maps"
	"slices"
	"strings"
)

// contact tells which entries the coordinator hears of, and what those may use that it does not.
type contact struct {
	attached  map[string]bool
	lost      map[string]*lostEntry
	expected  uint32            // entries that were attached to the previous coordinator
	absent    float64           // part of each rate that entries out of contact may use
	throttled map[string]*limit // by organisation
	takeover  takeover
}

// lostEntry is an entry that detached.
type lostEntry struct {
	at      Time
	share   float64            // its part of each rate
	charged map[string]float64 // units that were charged for it, by organisation
}

func newContact() contact {
	return contact{attached: map[string]bool{}, lost: map[string]*lostEntry{}, throttled: map[string]*limit{}, takeover: newTakeover()}
}

// advance forgets entries that were lost long ago, and reports whether absent has changed.
func (c *contact) advance(now Time) bool {
	absent := 0.0
	for _, entry := range slices.Sorted(maps.Keys(c.lost)) { // in order, so that the sum is always the same
		lost := c.lost[entry]
		switch {
		case now-lost.at >= goneTime:
			delete(c.lost, entry)
		case now-lost.at >= offlineTime:
			absent += lost.share
		}
	}
	if known := len(c.attached) + len(c.lost); now < goneTime && known < int(c.expected) {
		absent += float64(int(c.expected)-known) / float64(c.expected)
	}
	absent = min(absent, 1)
	if absent == c.absent {
		return false
	}
	c.absent = absent
	return true
}

// nodeOf returns the node of an entry's id, which is that of the node and its start after a slash.
func nodeOf(entry string) string {
	if i := strings.LastIndexByte(entry, '/'); i >= 0 {
		return entry[:i]
	}
	return entry
}

func (a *Allocator) applyRates(now Time) {
	for _, l := range a.limits {
		if l.quota != nil {
			a.applyRate(now, l)
		}
	}
}

// Attach records that an entry is in contact. If it was before in this term, what was charged for the
// time without contact returns, less what it used.
func (a *Allocator) Attach(now Time, entry string, r AttachReport) {
	if a.contact.attached[entry] {
		a.Lost(now, entry)
	}
	c := &a.contact
	if now < goneTime {
		c.expected = max(c.expected, r.Entries)
	}
	if lost := c.lost[entry]; lost != nil {
		for name, charged := range lost.charged {
			l := a.limits[Subject{Organisation: name}]
			if l == nil {
				continue
			}
			l.bucket.refill(now)
			unused := max(charged-float64(r.Used[name]), 0)
			l.bucket.put(unused)
			l.used -= unused
		}
		delete(c.lost, entry)
	}
	for other := range c.lost {
		if nodeOf(other) == nodeOf(entry) {
			delete(c.lost, other) // the node has been restarted, so the earlier process has ended
		}
	}
	c.attached[entry] = true
	if c.advance(now) {
		a.applyRates(now)
	}
	a.recordHistory(now, entry, r)
	a.takeOver(now)
}

// Lost records that the contact with an entry has ended and drops its shares. Units that it holds count
// as used. It may admit as much again as it admitted lately, and its part of the rate after that, so both
// are charged.
func (a *Allocator) Lost(now Time, entry string) {
	c := &a.contact
	if c.attached[entry] {
		lost := &lostEntry{at: now, share: 1 / float64(len(c.attached)), charged: map[string]float64{}}
		for sub, l := range a.limits {
			s := l.shares[entry]
			if l.quota == nil || s == nil {
				continue
			}
			units := 0.0
			for _, g := range dropOlder(s.recent, now-recentGrants) {
				units += float64(g.units)
			}
			if units > 0 {
				l.bucket.refill(now)
				l.bucket.tokens -= units
				l.used += units
				lost.charged[sub.Organisation] = units
			}
		}
		c.lost[entry] = lost
		delete(c.attached, entry)
	}
	a.Detach(entry)
	if c.advance(now) {
		a.applyRates(now)
	}
}
