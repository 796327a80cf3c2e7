package streamorigin

// Version is a version of a service's software.
type Version struct{ Service, Software string }

// maxVersions bounds the versions that are remembered. Beyond it, those seen longest ago are forgotten: they have ended.
const maxVersions = 4096

// Versions remembers for TTL which versions of software ran: a stream of unknown origin may be of any of them. It does no
// I/O and is not safe for concurrent use.
type Versions struct{ lastSeen map[Version]Time }

// NewVersions returns an empty memory.
func NewVersions() *Versions { return &Versions{lastSeen: map[Version]Time{}} }

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
