package granttest

import (
	"slices"

	"gentiankeel/internal/grant"
)

// cacheSize is the number of prompt prefixes that a runner keeps.
const cacheSize = 16

// cachedShare is the part of the work before the first token that a cached prefix saves.
const cachedShare = 0.7

// eventLoss is the share of a runner's cache events that get lost.
const eventLoss = 0.02

// cache is the prompt-prefix cache of one runner, the least recently used goes first.
// Its events arrive one report interval late, and some are lost.
type cache struct {
	runner   *runner
	prefixes []string
	number   uint64
}

// use notes that an attempt uses a prefix and tells whether it was cached.
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
	c.number++
	ev := grant.PrefixEvent{Upstream: c.runner.id, Number: c.number, Prefix: prefix, Evicted: evicted}
	if s.rng.Float64() < eventLoss {
		return
	}
	s.at(s.now+ReportInterval, func() { s.step(ev) })
}
