package fleet

import (
	"time"

	"gentiankeel/internal/wire"
)

// maxCallPause bounds the time for which a runner may ask for no calls.
const maxCallPause = time.Minute

// recordAnswer records what the answer to a call says beside its result.
func (c *Core) recordAnswer(u *upstream, a Answer, took time.Duration) {
	if a.Limit != nil {
		c.recordCallLimit(u, *a.Limit, took)
	}
	if a.Leaving {
		c.setLeaving(u)
	}
	if a.RetryAfter > 0 {
		until := c.now + min(a.RetryAfter, maxCallPause)
		u.quietUntil = max(u.quietUntil, until)
	}
}

// recordUnready records the upstreams that said to an entry that they leave or want a pause.
func (c *Core) recordUnready(entry string, list []*wire.UnreadyUpstream) {
	for _, l := range list {
		u := c.currentIncarnation(l.Upstream, l.BornUnixMs)
		if u == nil {
			continue
		}
		if l.Leaving {
			c.setLeaving(u)
		}
		if l.QuietMs > 0 {
			if u.quietFor == nil {
				u.quietFor = map[string]Time{}
			}
			u.quietFor[entry] = c.now + time.Duration(l.QuietMs)*time.Millisecond
		}
	}
}

// isQuiet reports whether an upstream wants no requests from most entries, so that others have to
// serve the models that it holds.
func (c *Core) isQuiet(u *upstream) bool {
	n := 0
	for entry, until := range u.quietFor {
		switch {
		case c.now >= until:
			delete(u.quietFor, entry)
		case c.entries[entry] != nil:
			n++
		}
	}
	return 2*n > len(c.entries)
}

// setLeaving has no entry use an upstream any more. Its heartbeats may go on to say that it is ready.
func (c *Core) setLeaving(u *upstream) {
	c.departures.add(&wire.Departure{Upstream: u.id(), BornUnixMs: u.state.BornUnixMs})
	if u.state.Phase != wire.UpstreamPhase_PHASE_DRAINING {
		u.state.Phase = wire.UpstreamPhase_PHASE_DRAINING
		c.publish(u)
	}
}
