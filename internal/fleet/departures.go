package fleet

import (
	"gentiankeel/internal/suspect"
	"gentiankeel/internal/wire"
)

// maxDepartures bounds the departures that the core remembers.
const maxDepartures = 4096

// departures remembers the incarnations that have announced that they leave, across terms: a heartbeat that
// was sent before the announcement may arrive seconds after it, at another coordinator.
type departures struct {
	known map[suspect.Incarnation]*wire.Departure
	order []suspect.Incarnation // in the order in which they were first added
}

func newDepartures() departures {
	return departures{known: map[suspect.Incarnation]*wire.Departure{}}
}

// add records an announcement unless it says no more than is known.
func (ds *departures) add(d *wire.Departure) {
	inc := suspect.Incarnation{Upstream: d.Upstream, BornUnixMs: d.BornUnixMs}
	before := ds.known[inc]
	if !d.Supersedes(before) {
		return
	}
	if before == nil {
		ds.order = append(ds.order, inc)
	}
	ds.known[inc] = d
	if len(ds.order) > maxDepartures {
		delete(ds.known, ds.order[0])
		ds.order = ds.order[1:]
	}
}

// of returns the announcement of the incarnation that a state is of, or nil.
func (ds *departures) of(s *wire.UpstreamState) *wire.Departure {
	return ds.known[suspect.Incarnation{Upstream: s.Id, BornUnixMs: s.BornUnixMs}]
}

// restoreDeparture adds a departure of an earlier term. For a while, older incarnations are gone too.
func (c *Core) restoreDeparture(d *wire.Departure) {
	c.departures.add(d)
	if d.Gone && c.tombstones[d.Upstream].bornUnixMs < d.BornUnixMs {
		c.tombstones[d.Upstream] = tombstone{bornUnixMs: d.BornUnixMs, at: c.now}
	}
}

// Departure returns what the incarnation that a heartbeat or notice is of has announced, nil if that is
// nothing. It must not be modified.
func (c *Core) Departure(s *wire.UpstreamState) *wire.Departure {
	return c.departures.known[suspect.Incarnation{Upstream: s.Id, BornUnixMs: c.bornOf(s)}]
}

// bornOf returns the start of the incarnation that a heartbeat or notice is of, in Unix ms. A notice that does
// not name it is of the one that is known, or was known last; 0 if there is none.
func (c *Core) bornOf(s *wire.UpstreamState) int64 {
	if s.Leaves && s.BornUnixMs == 0 {
		return c.lastKnownIncarnation(s.Id)
	}
	return s.BornUnixMs
}

// handleLeave drops the incarnation that announced that it leaves without draining. If it is not known which
// one that is, nothing is recorded.
func (c *Core) handleLeave(s *wire.UpstreamState) {
	born := c.bornOf(s)
	if born == 0 {
		return
	}
	c.departures.add(&wire.Departure{Upstream: s.Id, BornUnixMs: born, Gone: true})
	if u := c.byID[s.Id]; u != nil && u.state.BornUnixMs <= born {
		c.drop(u)
	}
}

// lastKnownIncarnation returns the start of an upstream's current incarnation, or else of the newest one that is
// known to be gone or to drain, in Unix ms; 0 if none is known.
func (c *Core) lastKnownIncarnation(id string) int64 {
	if u := c.byID[id]; u != nil {
		return u.state.BornUnixMs
	}
	newest := c.tombstones[id].bornUnixMs
	for inc := range c.departures.known {
		if inc.Upstream == id {
			newest = max(newest, inc.BornUnixMs)
		}
	}
	return newest
}
