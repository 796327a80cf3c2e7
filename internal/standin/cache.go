package standin

import (
	"math/rand/v2"
	"sync"
	"time"

	"gentiankeel/internal/upstream"
)

const maxCachedPrefixes = 128

// prefixCache holds prompt prefixes and evicts the oldest first. Its events are
// published with a delay and some are lost, which leaves a gap in their numbers.
type prefixCache struct {
	eventDelay    time.Duration
	eventLossRate float64

	mu              sync.Mutex
	rng             *rand.Rand
	cached          map[string]bool
	insertionOrder  []string
	lastEventNumber uint64
	pendingEvents   []delayedEvent
}

type delayedEvent struct {
	publishAt time.Time
	event     upstream.CacheEvent
}

func newPrefixCache(l Latency, rng *rand.Rand) *prefixCache {
	return &prefixCache{eventDelay: l.CacheLag, eventLossRate: l.CacheLoss, rng: rng, cached: map[string]bool{}}
}

// lookupOrInsert reports whether the prefix was cached, and caches it if not.
func (c *prefixCache) lookupOrInsert(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached[prefix] {
		return true
	}
	if len(c.insertionOrder) == maxCachedPrefixes {
		oldest := c.insertionOrder[0]
		c.insertionOrder = c.insertionOrder[1:]
		delete(c.cached, oldest)
		c.addEvent(oldest, true)
	}
	c.cached[prefix] = true
	c.insertionOrder = append(c.insertionOrder, prefix)
	c.addEvent(prefix, false)
	return false
}

func (c *prefixCache) addEvent(prefix string, evicted bool) {
	c.lastEventNumber++
	if c.rng.Float64() < c.eventLossRate {
		return
	}
	e := upstream.CacheEvent{Number: c.lastEventNumber, Prefix: prefix, Evicted: evicted}
	c.pendingEvents = append(c.pendingEvents, delayedEvent{publishAt: time.Now().Add(c.eventDelay), event: e})
}

// takeDueEvents removes and returns the events that are due for publication.
func (c *prefixCache) takeDueEvents(now time.Time) []upstream.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var events []upstream.CacheEvent
	for len(c.pendingEvents) > 0 && !c.pendingEvents[0].publishAt.After(now) {
		events = append(events, c.pendingEvents[0].event)
		c.pendingEvents = c.pendingEvents[1:]
	}
	return events
}
