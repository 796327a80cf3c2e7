// Package detour decides which way connections to upstreams take: direct, or through another entry, a
// relay, while there is no direct path.
package detour

import (
	"maps"
	"slices"
	"time"
)

// Time is the time since some fixed moment.
type Time = time.Duration

const (
	// blockedTime is how long an address is called through relays first after a direct connection to it has failed.
	blockedTime = time.Second
	// probeInterval is the least time between two direct connections that are tried beside a relay.
	probeInterval = 500 * time.Millisecond
	// avoidTime is how long a relay is tried after the others when it has failed.
	avoidTime = time.Second
	// deadTime is how long an address that a relay found closed is not asked for at relays.
	deadTime = time.Second
	// provenAddresses is the number of addresses that only relays reach from which on an entry counts as
	// without a path; failedAddresses that of addresses that do not answer it, whoever else may reach them.
	provenAddresses, failedAddresses = 2, 3
	// openTime is how long a direct connection that was open shows that there is a path. An entry that is cut off from
	// some upstreams only must not lose and find it again with each connection.
	openTime = time.Second
	// evidenceTime is how long the end of a try counts as evidence of that.
	evidenceTime = 3 * time.Second
	// maxAddresses bounds the addresses that are remembered.
	maxAddresses = 1024
)

// Result is how a try to connect ended.
type Result int

// Results of a try.
const (
	Open      Result = iota
	Refused          // the upstream does not listen
	Failed           // there was no answer in time, or no path
	RelayDown        // the relay itself did not take the connection
)

// Plan tells the ways to take for a connection. If Direct and Relays are both set, the direct try goes first,
// and the relays follow if it fails or takes long, unless RelaysAtOnce is set.
type Plan struct {
	Direct       bool
	Relays       []string
	RelaysAtOnce bool
}

// never is before every time that counts.
const never = Time(-1 << 61)

// address is what is known of the way to an upstream's address.
type address struct {
	blockedUntil Time // no direct path
	deadUntil    Time // a relay found it closed
	failedAt     Time // when a direct try failed last, since one was open to any address
	silentAt     Time // the same, for want of an answer
	relayedAt    Time // when a relay last reached it
	used         Time
}

// Table is the decision core of an entry's ways to upstreams. It does no I/O and is not safe for concurrent use.
type Table struct {
	relays      []string // the best first
	avoid       map[string]Time
	addresses   map[string]*address
	withoutPath bool
	openAt      Time // when a direct try was open last
	probedAt    Time
}

// NewTable returns a table of an entry that has a path and knows no relays.
func NewTable() *Table {
	return &Table{avoid: map[string]Time{}, addresses: map[string]*address{}, openAt: never, probedAt: never}
}

// SetRelays replaces the relays.
func (t *Table) SetRelays(relays []string) {
	t.relays = slices.Clone(relays)
	maps.DeleteFunc(t.avoid, func(r string, _ Time) bool { return !slices.Contains(relays, r) })
}

// WithoutPath reports whether the entry has no direct path to upstreams.
func (t *Table) WithoutPath() bool { return t.withoutPath }

// Plan returns the ways to take to an address.
func (t *Table) Plan(now Time, addr string) Plan {
	a := t.address(now, addr)
	if len(t.relays) == 0 {
		return Plan{Direct: true}
	}
	p := Plan{Direct: true, Relays: t.ranked(now)}
	if !t.withoutPath && now >= a.blockedUntil {
		if now < a.deadUntil {
			p.Relays = nil
		}
		return p
	}
	p.RelaysAtOnce = true
	if p.Direct = now-t.probedAt >= probeInterval; p.Direct {
		t.probedAt = now
	}
	return p
}

// ranked returns the relays, those that have failed lately last.
func (t *Table) ranked(now Time) []string {
	list := slices.Clone(t.relays)
	slices.SortStableFunc(list, func(a, b string) int {
		return boolToInt(now < t.avoid[a]) - boolToInt(now < t.avoid[b])
	})
	return list
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// DirectDone records the end of a direct try.
func (t *Table) DirectDone(now Time, addr string, r Result) {
	a := t.address(now, addr)
	if r == Open {
		t.setPathFound(now)
		a.blockedUntil, a.deadUntil = never, never
		return
	}
	a.failedAt = now
	if r == Failed {
		a.silentAt = now
	}
	if r == Failed || now-a.relayedAt < evidenceTime {
		a.blockedUntil = now + blockedTime
	}
	t.checkPath(now)
}

// RelayDone records the end of a try through a relay.
func (t *Table) RelayDone(now Time, relay, addr string, r Result) {
	a := t.address(now, addr)
	switch r {
	case Open:
		delete(t.avoid, relay)
		a.relayedAt, a.deadUntil = now, never
		if now-a.failedAt < evidenceTime {
			a.blockedUntil = now + blockedTime
		}
		t.checkPath(now)
	case Refused:
		delete(t.avoid, relay)
		a.deadUntil = now + deadTime
	default:
		t.avoid[relay] = now + avoidTime
	}
}

// setPathFound forgets what failed, since a direct try was open.
func (t *Table) setPathFound(now Time) {
	t.openAt = now
	for _, a := range t.addresses {
		a.failedAt, a.silentAt = never, never
		if t.withoutPath {
			a.blockedUntil = never
		}
	}
	t.withoutPath = false
}

// checkPath finds that the entry has no path from the tries since a direct one was last open.
func (t *Table) checkPath(now Time) {
	if now-t.openAt < openTime {
		return
	}
	silent, proven := 0, 0
	for _, a := range t.addresses {
		if now-a.silentAt < evidenceTime {
			silent++
		}
		if now-a.failedAt < evidenceTime && now-a.relayedAt < evidenceTime {
			proven++
		}
	}
	t.withoutPath = t.withoutPath || proven >= provenAddresses || silent >= failedAddresses
}

func (t *Table) address(now Time, addr string) *address {
	a := t.addresses[addr]
	if a == nil {
		if len(t.addresses) >= maxAddresses {
			t.dropOldest()
		}
		a = &address{blockedUntil: never, deadUntil: never, failedAt: never, silentAt: never, relayedAt: never}
		t.addresses[addr] = a
	}
	a.used = now
	return a
}

// dropOldest forgets the half of the addresses that were used longest ago.
func (t *Table) dropOldest() {
	list := slices.SortedFunc(maps.Keys(t.addresses), func(a, b string) int {
		return int(t.addresses[a].used - t.addresses[b].used)
	})
	for _, addr := range list[:len(list)/2] {
		delete(t.addresses, addr)
	}
}
