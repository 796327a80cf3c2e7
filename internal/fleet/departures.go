package fleet

import "gentiankeel/internal/wire"

// maxDepartures bounds the departures that the core remembers.
const maxDepartures = 4096

// departures remembers the upstreams that have announced that they leave, across terms: a heartbeat that
// was sent before the announcement may arrive seconds after it, at another coordinator.
type departures struct {
	byID  map[string]*wire.Departure
	order []string // ids in the order in which they were first added
}

func newDepartures() departures { return departures{byID: map[string]*wire.Departure{}} }

// add records an announcement unless it says no more than is known.
func (ds *departures) add(d *wire.Departure) {
	known := ds.byID[d.Upstream]
	if !d.Supersedes(known) {
		return
	}
	if known == nil {
		ds.order = append(ds.order, d.Upstream)
	}
	ds.byID[d.Upstream] = d
	if len(ds.order) > maxDepartures {
		delete(ds.byID, ds.order[0])
		ds.order = ds.order[1:]
	}
}

// Departure returns the announcement of an upstream that it leaves, nil if it has made none. It must not be
// modified.
func (c *Core) Departure(upstream string) *wire.Departure { return c.departures.byID[upstream] }

// handleLeave drops the incarnation that announced that it leaves without draining. An announcement
// without the incarnation is of the one that is known, or was known last; if there is none, nothing is
// recorded.
func (c *Core) handleLeave(s *wire.UpstreamState) {
	u := c.byID[s.Id]
	born := s.BornUnixMs
	if born == 0 {
		born = c.lastKnownIncarnation(s.Id)
	}
	if born == 0 {
		return
	}
	c.departures.add(&wire.Departure{Upstream: s.Id, BornUnixMs: born, Gone: true})
	if u != nil && u.state.BornUnixMs <= born {
		c.drop(u)
	}
}

// lastKnownIncarnation returns the start of an upstream's newest known incarnation, in Unix ms, 0 if none
// is known.
func (c *Core) lastKnownIncarnation(id string) int64 {
	newest := max(c.departures.byID[id].GetBornUnixMs(), c.tombstones[id].bornUnixMs)
	if u := c.byID[id]; u != nil {
		newest = max(newest, u.state.BornUnixMs)
	}
	return newest
}
