// Package streamorigin remembers which software version of an upstream began a stream, so that
// a caller who takes the stream up is served by the same version.
package streamorigin

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is the monotonic time since an arbitrary start.
type Time = time.Duration

// Key identifies a stream by the request that brought its first event.
type Key uint64

// KeyOf returns the key of a request's id.
func KeyOf(requestID string) Key { return Key(xxhash.Sum64String(requestID)) }

// KeyOfContent returns the key of what a request asks for, by which a stream is recognised whose caller does not name the
// request that began it. Several streams may share it.
func KeyOfContent(body []byte, fields ...string) Key {
	d := xxhash.New()
	for _, f := range fields {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(f)))
		_, _ = d.Write(n[:]) // it never fails
		_, _ = d.WriteString(f)
	}
	_, _ = d.Write(body)
	return Key(d.Sum64())
}

// TTL is the least time for which a stream is remembered, if the bound allows. It exceeds the
// time in which callers take a stream up.
const TTL = time.Minute

// Unknown is the origin of a stream whose software is not known. No upstream runs such a version; one that names none runs
// the empty one.
const Unknown = "\x00"

// Several is the origin of streams of one key that began, or may have begun, at different versions. No upstream runs such a version.
const Several = "\x01"

// Memory holds the origins of recent streams, by key. It drops them in two generations: no
// origin younger than TTL is dropped unless the memory is full. It does no I/O and is not safe
// for concurrent use.
type Memory struct {
	limit         int // origins of one generation
	newer, older  map[Key]string
	newerSince    Time
	softwareNames map[string]string // one copy of each name
}

// NewMemory returns an empty memory of at most 2*limit streams.
func NewMemory(limit int) *Memory {
	return &Memory{limit: limit, newer: map[Key]string{}, older: map[Key]string{}, softwareNames: map[string]string{}}
}

// maxSoftwareNames bounds the names that are kept as one copy.
const maxSoftwareNames = 64

// Put records the origin of a stream. Unknown does not replace a known one: it may be told late. Two different ones make
// Several.
func (m *Memory) Put(now Time, key Key, software string) {
	if known, ok := m.Get(key); ok {
		software = Join(known, software)
	}
	if len(m.newer) >= m.limit || now-m.newerSince >= TTL {
		m.older, m.newer, m.newerSince = m.newer, map[Key]string{}, now
	}
	name, ok := m.softwareNames[software]
	if !ok {
		if len(m.softwareNames) >= maxSoftwareNames {
			clear(m.softwareNames)
		}
		name = software
		m.softwareNames[name] = name
	}
	m.newer[key] = name
}

// Join returns the origin of the streams of one key, of which two are known.
func Join(a, b string) string {
	switch {
	case a == Unknown:
		return b
	case b == Unknown || a == b:
		return a
	}
	return Several
}

// Get returns the origin of a stream, false if it is not known.
func (m *Memory) Get(key Key) (software string, ok bool) {
	if software, ok = m.newer[key]; ok {
		return software, true
	}
	software, ok = m.older[key]
	return software, ok
}

// Each calls f for every stream that is remembered, in no particular order.
func (m *Memory) Each(f func(key Key, software string)) {
	for _, generation := range []map[Key]string{m.older, m.newer} {
		for key, software := range generation {
			f(key, software)
		}
	}
}
