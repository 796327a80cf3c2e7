package streamorigin

import "time"

// Version is a version of a service's software.
type Version struct{ Service, Software string }

// maxVersions bounds the versions that are remembered. Beyond it, those seen longest ago are forgotten, and the memory misses
// versions that ran until then.
const maxVersions = 4096

// Versions remembers for TTL which versions of software ran: a stream of unknown origin may be of any of them. A memory that
// is younger may lack versions that ended before it began, so that it says since when it has all. It does no I/O and is not
// safe for concurrent use.
type Versions struct {
	lastSeen map[Version]Time
	allSince Time // no version is missing that ran at this time or later
	hasSince bool
}

// NewVersions returns an empty memory, of which nothing is known to be complete.
func NewVersions() *Versions { return &Versions{lastSeen: map[Version]Time{}} }

// HasAllSince records that no version is missing that ran at a time or later.
func (m *Versions) HasAllSince(at Time) { m.allSince, m.hasSince = at, true }

// AllKnown returns for how long no version is missing, at most TTL, at which the memory is complete.
func (m *Versions) AllKnown(now Time) time.Duration {
	if !m.hasSince {
		return 0
	}
	return min(max(now-m.allSince, 0), TTL)
}

// UntilComplete returns the time until the memory is complete; 0 if it is.
func (m *Versions) UntilComplete(now Time) time.Duration {
	if !m.hasSince {
		return TTL
	}
	return max(m.allSince+TTL-now, 0)
}

// See records that a version ran at a time.
func (m *Versions) See(at Time, v Version) {
	seen, ok := m.lastSeen[v]
	if ok && at <= seen {
		return
	}
	if !ok && len(m.lastSeen) >= maxVersions {
		m.forgetOldest()
	}
	m.lastSeen[v] = at
}

func (m *Versions) forgetOldest() {
	var oldest Version
	var oldestSeen Time
	isFirst := true
	for v, seen := range m.lastSeen {
		if isFirst || seen < oldestSeen {
			oldest, oldestSeen, isFirst = v, seen, false
		}
	}
	delete(m.lastSeen, oldest)
	m.allSince = max(m.allSince, oldestSeen+1)
}

// Expire forgets the versions that were last seen TTL ago or earlier, and reports whether there were any.
func (m *Versions) Expire(now Time) bool {
	expired := false
	for v, seen := range m.lastSeen {
		if now-seen >= TTL {
			delete(m.lastSeen, v)
			expired = true
		}
	}
	return expired
}

// Each calls f for every version that was seen within TTL, with the time since then, in no particular order.
func (m *Versions) Each(now Time, f func(v Version, age Time)) {
	for v, seen := range m.lastSeen {
		if now-seen < TTL {
			f(v, now-seen)
		}
	}
}
