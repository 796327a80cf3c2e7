package grant

// prefixes remembers which upstream probably caches which prompt prefix. The events
// come late and with gaps, so it is a hint only.
type prefixes struct {
	most       int
	byUpstream map[string]*prefixSet
}

// prefixSet is what one upstream probably caches.
type prefixSet struct {
	last  uint64 // number of the last event
	held  map[string]bool
	order []string // in order of arrival, for the bound
}

func newPrefixes(most int) prefixes {
	return prefixes{most: most, byUpstream: map[string]*prefixSet{}}
}

func (p *prefixes) forget(upstream string) { delete(p.byUpstream, upstream) }

func (c *Core) prefixEvent(ev PrefixEvent) {
	if _, known := c.upstreams[ev.Upstream]; known && c.set.PrefixAffinity {
		c.prefixes.observe(ev, c.off.prefixGap)
	}
}

// observe takes one event. After a gap in the numbers an eviction may have been missed,
// so all that was known of the upstream is dropped.
func (p *prefixes) observe(ev PrefixEvent, ignoreGap bool) {
	s, ok := p.byUpstream[ev.Upstream]
	if ok && ev.Number <= s.last {
		return
	}
	if !ok || (ev.Number != s.last+1 && !ignoreGap) {
		s = &prefixSet{held: map[string]bool{}}
		p.byUpstream[ev.Upstream] = s
	}
	s.last = ev.Number
	if ev.Evicted {
		delete(s.held, ev.Prefix)
		return
	}
	s.add(ev.Prefix, p.most)
}

func (s *prefixSet) add(prefix string, most int) {
	if s.held[prefix] {
		return
	}
	s.held[prefix] = true
	s.order = append(s.order, prefix)
	for len(s.order) > most {
		delete(s.held, s.order[0])
		s.order = s.order[1:]
	}
}

func (p *prefixes) holds(upstream, prefix string) bool {
	s, ok := p.byUpstream[upstream]
	return ok && s.held[prefix]
}

// preferPrefix replaces the chosen upstream by one that probably caches the prompt's
// prefix, if its load is not much higher.
func (c *Core) preferPrefix(a *attempt, free []*upstream, chosen *upstream) *upstream {
	if !c.set.PrefixAffinity || a.ask.PrefixHash == "" {
		return chosen
	}
	best := chosen
	found := c.prefixes.holds(chosen.ID, a.ask.PrefixHash)
	for _, u := range free {
		if !c.prefixes.holds(u.ID, a.ask.PrefixHash) || c.load(u) > c.load(chosen)+c.set.PrefixSlack {
			continue
		}
		if !found || c.load(u) < c.load(best) {
			best, found = u, true
		}
	}
	return best
}
