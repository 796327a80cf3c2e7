package grant

import "slices"

// prefixes records which upstreams probably cache which prompt prefixes. The cache events
// are late and may be lost, so this is a hint only.
type prefixes struct {
	maxPerUpstream int
	byUpstream     map[string]*prefixSet
}

// prefixSet is what one upstream probably caches.
type prefixSet struct {
	lastEvent uint64          // number of the last event
	held      map[string]bool // by prefix
	arrivals  []string        // the held ones in order of arrival, for eviction
}

func newPrefixes(maxPerUpstream int) prefixes {
	return prefixes{maxPerUpstream: maxPerUpstream, byUpstream: map[string]*prefixSet{}}
}

func (p *prefixes) drop(upstream string) { delete(p.byUpstream, upstream) }

func (c *Core) prefixEvent(ev PrefixEvent) {
	if _, known := c.upstreams[ev.Upstream]; known && c.settings.PrefixAffinity {
		c.prefixes.observe(ev, c.disabled.prefixGap)
	}
}

// observe applies one event. After a gap in the event numbers an eviction may have been
// missed, so all prefixes of the upstream are dropped.
func (p *prefixes) observe(ev PrefixEvent, ignoreGap bool) {
	s, ok := p.byUpstream[ev.Upstream]
	if ok && ev.Number <= s.lastEvent {
		return
	}
	if !ok || (ev.Number != s.lastEvent+1 && !ignoreGap) {
		s = &prefixSet{held: map[string]bool{}}
		p.byUpstream[ev.Upstream] = s
	}
	s.lastEvent = ev.Number
	if ev.Evicted {
		s.remove(ev.Prefix)
		return
	}
	s.add(ev.Prefix, p.maxPerUpstream)
}

func (s *prefixSet) add(prefix string, limit int) {
	if s.held[prefix] {
		return
	}
	s.held[prefix] = true
	s.arrivals = append(s.arrivals, prefix)
	for len(s.arrivals) > limit {
		delete(s.held, s.arrivals[0])
		s.arrivals = s.arrivals[1:]
	}
}

func (s *prefixSet) remove(prefix string) {
	if !s.held[prefix] {
		return
	}
	delete(s.held, prefix)
	i := slices.Index(s.arrivals, prefix)
	s.arrivals = slices.Delete(s.arrivals, i, i+1)
}

func (p *prefixes) holds(upstream, prefix string) bool {
	s, ok := p.byUpstream[upstream]
	return ok && s.held[prefix]
}

// preferPrefix replaces the chosen upstream by one that probably caches the prompt's
// prefix, if its load is not much higher.
func (c *Core) preferPrefix(a *attempt, free []*upstream, chosen *upstream) *upstream {
	if !c.settings.PrefixAffinity || a.req.PrefixHash == "" {
		return chosen
	}
	best := chosen
	found := c.prefixes.holds(chosen.ID, a.req.PrefixHash)
	for _, u := range free {
		if !c.prefixes.holds(u.ID, a.req.PrefixHash) || c.load(u) > c.load(chosen)+c.settings.PrefixSlack {
			continue
		}
		if !found || c.load(u) < c.load(best) {
			best, found = u, true
		}
	}
	return best
}
