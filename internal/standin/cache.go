package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	"gentiankeel/internal/upstream"
)

const cacheEntries = 128 // prefixes that fit the cache

// prefixCache remembers prompt prefixes, first in first out. Its events come late,
// and some are lost: the gap shows in their numbers.
type prefixCache struct {
	lag  time.Duration
	loss float64

	mu      sync.Mutex
	rnd     *rand.Rand
	entries map[string]bool
	order   []string
	number  uint64
	pending []timedEvent
}

type timedEvent struct {
	at    time.Time
	event upstream.CacheEvent
}

func newPrefixCache(l Latency, rnd *rand.Rand) *prefixCache {
	return &prefixCache{lag: l.CacheLag, loss: l.CacheLoss, rnd: rnd, entries: map[string]bool{}}
}

// use reports whether the prefix was cached, and caches it.
func (c *prefixCache) use(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries[prefix] {
		return true
	}
	if len(c.order) == cacheEntries {
		oldest := c.order[0]
		c.order = c.order[1:]
		delete(c.entries, oldest)
		c.publish(oldest, true)
	}
	c.entries[prefix] = true
	c.order = append(c.order, prefix)
	c.publish(prefix, false)
	return false
}

func (c *prefixCache) publish(prefix string, evicted bool) {
	c.number++
	if c.rnd.Float64() < c.loss {
		return
	}
	e := upstream.CacheEvent{Number: c.number, Prefix: prefix, Evicted: evicted}
	c.pending = append(c.pending, timedEvent{at: time.Now().Add(c.lag), event: e})
}

// due returns the events that are old enough to be published.
func (c *prefixCache) due(now time.Time) []upstream.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []upstream.CacheEvent
	for len(c.pending) > 0 && !c.pending[0].at.After(now) {
		events = append(events, c.pending[0].event)
		c.pending = c.pending[1:]
	}
	return events
}
