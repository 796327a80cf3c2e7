// Package streamorigin remembers which software version of an upstream began a stream, so that
// a caller who takes the stream up is served by the same version.
package streamorigin

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is the monotonic time since an arbitrary start.
type Time = time.Duration

// Key identifies a stream by the request that brought its first event.
type Key uint64

// KeyOf returns the key of a request's id.
func KeyOf(requestID string) Key { return Key(xxhash.Sum64String(requestID)) }

// TTL is the least time for which a stream is remembered, if the bound allows. It exceeds the
// time in which callers take a stream up.
const TTL = time.Minute

// Memory holds the origins of recent streams, by key. It drops them in two generations: no
// origin younger than TTL is dropped unless the memory is full. It does no I/O and is not safe
// for concurrent use.
type Memory struct {
	limit         int // origins of one generation
	newer, older  map[Key]origin
	newerSince    Time
	softwareNames map[string]string // one copy of each name
}

type origin struct {
	software  string
	withdrawn bool // it turned out that the software is not known
}

// NewMemory returns an empty memory of at most 2*limit streams.
func NewMemory(limit int) *Memory {
	return &Memory{limit: limit, newer: map[Key]origin{}, older: map[Key]origin{}, softwareNames: map[string]string{}}
}

// maxSoftwareNames bounds the names that are kept as one copy.
const maxSoftwareNames = 64

// Put records the origin of a stream, unless one was withdrawn.
func (m *Memory) Put(now Time, key Key, software string) {
	if o, ok := m.find(key); ok && o.withdrawn {
		return
	}
	name, ok := m.softwareNames[software]
	if !ok {
		if len(m.softwareNames) >= maxSoftwareNames {
			clear(m.softwareNames)
		}
		name = software
		m.softwareNames[name] = name
	}
	m.put(now, key, origin{software: name})
}

// Withdraw records that the origin of a stream is not known, whatever was recorded or will be.
func (m *Memory) Withdraw(now Time, key Key) { m.put(now, key, origin{withdrawn: true}) }

func (m *Memory) put(now Time, key Key, o origin) {
	if len(m.newer) >= m.limit || now-m.newerSince >= TTL {
		m.older, m.newer, m.newerSince = m.newer, map[Key]origin{}, now
	}
	m.newer[key] = o
}

func (m *Memory) find(key Key) (o origin, ok bool) {
	if o, ok = m.newer[key]; ok {
		return o, true
	}
	o, ok = m.older[key]
	return o, ok
}

// Get returns the origin of a stream, false if it is not known.
func (m *Memory) Get(key Key) (software string, ok bool) {
	o, ok := m.find(key)
	return o.software, ok && !o.withdrawn
}

// IsWithdrawn reports whether the origin of a stream was withdrawn.
func (m *Memory) IsWithdrawn(key Key) bool {
	o, _ := m.find(key)
	return o.withdrawn
}

// Each calls f for every stream whose origin is known, in no particular order.
func (m *Memory) Each(f func(key Key, software string)) {
	m.each(func(key Key, o origin) {
		if !o.withdrawn {
			f(key, o.software)
		}
	})
}

// EachWithdrawn calls f for every stream whose origin was withdrawn, in no particular order.
func (m *Memory) EachWithdrawn(f func(key Key)) {
	m.each(func(key Key, o origin) {
		if o.withdrawn {
			f(key)
		}
	})
}

func (m *Memory) each(f func(key Key, o origin)) {
	for key, o := range m.older {
		if _, isNewer := m.newer[key]; !isNewer {
			f(key, o)
		}
	}
	for key, o := range m.newer {
		f(key, o)
	}
}
