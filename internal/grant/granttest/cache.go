package granttest

import (
	"slices"

	"gentiankeel/internal/grant"
)

// cacheSize is the number of prompt prefixes that a runner caches.
const cacheSize = 16

// cachedShare is the share of the work before the first token that a cached prefix saves.
const cachedShare = 0.7

// eventLossShare is the share of a runner's cache events that are lost.
const eventLossShare = 0.02

// cache is the prompt-prefix cache of one runner, with LRU eviction. Its events arrive one
// report interval late, and some are lost.
type cache struct {
	runner    *runner
	prefixes  []string
	lastEvent uint64
}

// use records the use of a prefix and reports whether it was cached.
func (c *cache) use(prefix string) bool {
	if prefix == "" {
		return false
	}
	i := slices.Index(c.prefixes, prefix)
	if i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	if len(c.prefixes) == cacheSize {
		c.publish(c.prefixes[0], true)
		c.prefixes = c.prefixes[1:]
	}
	c.prefixes = append(c.prefixes, prefix)
	c.publish(prefix, false)
	return false
}

func (c *cache) publish(prefix string, evicted bool) {
	s := c.runner.sim
	c.lastEvent++
	ev := grant.PrefixEvent{Upstream: c.runner.id, Number: c.lastEvent, Prefix: prefix, Evicted: evicted}
	if s.rng.Float64() < eventLossShare {
		return
	}
	s.at(s.now+ReportInterval, func() { s.step(ev) })
}
