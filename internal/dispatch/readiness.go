package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/ratelimit"
	"gentiankeel/internal/wire"
)

const (
	// maxRetryAfter bounds the time for which an upstream may ask for no requests.
	maxRetryAfter = time.Hour
	// readinessTTL is how long it is remembered what an incarnation said, since it was said or ran
	// out. It exceeds the time for which one that leaves goes on to be published.
	readinessTTL = 10 * time.Minute
	// maxReadiness bounds the incarnations of which it is remembered.
	maxReadiness = 4096
)

// readiness is what an incarnation said in its answers to this entry about further requests. It
// prevails over the published state, which may be older.
type readiness struct {
	leaving  bool // it leaves: no further request
	reported bool // the coordinator was told of all this
	// quietUntil is the end of the time for which it wants no requests from this entry; 0: none.
	quietUntil Time
	// probing is set from then on until it has answered a request: it gets one at a time.
	probing bool
	saidAt  Time
}

// Readiness is what an answer says about further requests.
type Readiness struct {
	Leaving    bool
	RetryAfter time.Duration // time for which the upstream wants no requests from this entry; 0: none
}

// RecordReadiness applies what an answer of an incarnation said, and reports whether it is news. A
// time that ends before one that was named earlier changes nothing.
func (c *Core) RecordReadiness(now Time, id string, bornUnixMs int64, r Readiness) bool {
	c.beginEvent(now)
	key := ratelimit.Incarnation{Upstream: id, BornUnixMs: bornUnixMs}
	known := c.readiness[key]
	isNews := false
	if r.Leaving && (known == nil || !known.leaving) {
		known = c.readinessFor(key)
		known.leaving, known.reported, isNews = true, false, true
	}
	if until := c.now + min(r.RetryAfter, maxRetryAfter); r.RetryAfter > 0 && (known == nil || until > known.quietUntil) {
		known = c.readinessFor(key)
		known.quietUntil, known.probing, known.reported, isNews = until, true, false, true
	}
	return isNews
}

func (c *Core) readinessFor(key ratelimit.Incarnation) *readiness {
	r := c.readiness[key]
	if r == nil {
		c.forgetReadiness()
		r = &readiness{}
		c.readiness[key] = r
	}
	r.saidAt = c.now
	return r
}

// forgetReadiness forgets what no longer matters and, beyond maxReadiness, the oldest.
func (c *Core) forgetReadiness() {
	var oldest ratelimit.Incarnation
	for key, r := range c.readiness {
		if c.now-max(r.saidAt, r.quietUntil) >= readinessTTL {
			delete(c.readiness, key)
		} else if o := c.readiness[oldest]; o == nil || r.saidAt < o.saidAt {
			oldest = key
		}
	}
	if len(c.readiness) >= maxReadiness {
		delete(c.readiness, oldest)
	}
}

func (u *upstream) incarnation() ratelimit.Incarnation {
	return ratelimit.Incarnation{Upstream: u.state.Id, BornUnixMs: u.state.BornUnixMs}
}

// isLeaving reports whether the upstream drains or leaves, by its answers or as published.
func (c *Core) isLeaving(u *upstream) bool {
	r := c.readiness[u.incarnation()]
	return u.state.Phase == wire.UpstreamPhase_PHASE_DRAINING || r != nil && r.leaving
}

// takesRequests reports whether a request may be sent now to an upstream that does not leave, by what it
// said.
func (c *Core) takesRequests(u *upstream) bool {
	r := c.readiness[u.incarnation()]
	switch {
	case r == nil:
		return true
	case c.now < r.quietUntil:
		return false
	}
	return !r.probing || u.running == 0
}

// noteServed records that an upstream answered a request.
func (c *Core) noteServed(u *upstream) {
	if r := c.readiness[u.incarnation()]; r != nil && c.now >= r.quietUntil {
		r.probing = false
	}
}

// quietEnd returns when the first of the upstreams that could serve a request takes requests again;
// 0 if one does now, or none could serve it.
func (c *Core) quietEnd(w *waiter) Time {
	first := Time(0)
	for _, u := range c.possible(w) {
		if !c.canServe(u, w) {
			continue
		}
		r := c.readiness[u.incarnation()]
		if r == nil || c.now >= r.quietUntil {
			return 0
		}
		if first == 0 || r.quietUntil < first {
			first = r.quietUntil
		}
	}
	return first
}

// TakeUnready returns the incarnations that leave or want no requests from this entry for now, of which
// the coordinator was not told yet; all of them for a coordinator that may know none.
func (c *Core) TakeUnready(now Time, all bool) []*wire.UnreadyUpstream {
	c.now = max(c.now, now)
	var out []*wire.UnreadyUpstream
	for key, r := range c.readiness {
		if (r.leaving || c.now < r.quietUntil) && (all || !r.reported) {
			out = append(out, &wire.UnreadyUpstream{Upstream: key.Upstream, BornUnixMs: key.BornUnixMs, Leaving: r.leaving,
				QuietMs: uint32(max(r.quietUntil-c.now, 0).Milliseconds())})
		}
		r.reported = true
	}
	slices.SortFunc(out, func(a, b *wire.UnreadyUpstream) int {
		return cmp.Or(strings.Compare(a.Upstream, b.Upstream), cmp.Compare(a.BornUnixMs, b.BornUnixMs))
	})
	return out
}

// HasUnreportedUnready reports whether there is anything to report.
func (c *Core) HasUnreportedUnready() bool {
	for _, r := range c.readiness {
		if !r.reported {
			return true
		}
	}
	return false
}

// Unready returns the number of upstreams that leave by their answers, and of those that want no
// requests from this entry for now.
func (c *Core) Unready() (leaving, quiet int) {
	for _, u := range c.upstreams {
		switch r := c.readiness[u.incarnation()]; {
		case r == nil:
		case r.leaving:
			leaving++
		case c.now < r.quietUntil:
			quiet++
		}
	}
	return leaving, quiet
}
