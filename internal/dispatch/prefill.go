package dispatch

import (
	"time"

	"gentiankeel/internal/wire"
)

// tokenLoad counts the tokens of the requests on an upstream.
type tokenLoad struct {
	prefillTokens   int // prompt tokens of this entry's streams without a first event
	reportedPrefill int // the same as last reported to the coordinator
	reportedKV      int // KV cache tokens of this entry's requests as last reported
	otherPrefill    int // prompt tokens that upstreams read for other entries, as published at loadsAt
	otherKV         int // KV cache tokens of other entries' requests
	hasKV           bool
	loadsAt         Time
	contenders      int     // entries whose requests wait for one of its models
	claim           *waiter // request that the next free prefill is kept for
}

func (u *upstream) clearOthers() { u.otherPrefill, u.otherKV, u.hasKV, u.contenders = 0, 0, false, 0 }

// applyLoads applies published loads. They contain this entry's own as it reported them last.
func (c *Core) applyLoads(loads *wire.FleetLoads) {
	for i, number := range loads.GetUpstreams() {
		u := c.byNumber[number]
		if u == nil || i >= len(loads.Running) {
			continue
		}
		u.otherRunning = max(0, int(loads.Running[i])-u.running)
		u.loadsAt = c.now
		if i < len(loads.Contenders) {
			u.contenders = int(loads.Contenders[i])
		}
		if i < len(loads.Pace) {
			u.setPace(loads.Pace[i])
		}
		if i < len(loads.PrefillUnits) {
			u.otherPrefill = withoutOwn(int(loads.PrefillUnits[i])*wire.PrefillUnit, u.reportedPrefill, wire.PrefillUnit)
		}
		if i < len(loads.KvUnits) {
			u.otherKV, u.hasKV = withoutOwn(int(loads.KvUnits[i])*wire.KVUnit, u.reportedKV, wire.KVUnit), true
		}
	}
}

// withoutOwn returns the tokens of other entries. A rest below a unit comes from the rounding of the sum.
func withoutOwn(sum, own, unit int) int {
	if sum-own < unit {
		return 0
	}
	return sum - own
}

// othersKVTokens returns the KV cache tokens of other entries' requests. A coordinator of an
// earlier version does not publish them; each request then counts like the mean of this entry's.
func (u *upstream) othersKVTokens() int {
	switch {
	case u.hasKV:
		return u.otherKV
	case u.running == 0:
		return 0
	}
	return u.otherRunning * (u.reservedTokens / u.running)
}

// freshLoads is how long published prompts count in full. Changes are published within a fraction of it.
const freshLoads = 500 * time.Millisecond

// tokensInPrefill returns the prompt tokens of streams on an upstream that have no first event yet. Those of
// other entries run out at its reading speed once they are old, so that they do not block it while there is no
// coordinator.
func (c *Core) tokensInPrefill(u *upstream) int {
	age := c.now - u.loadsAt - freshLoads
	if u.otherPrefill == 0 || age <= 0 {
		return u.prefillTokens + u.otherPrefill
	}
	read := int(age / max(1, c.readTime(u, 1)))
	return u.prefillTokens + max(0, u.otherPrefill-read)
}

// fitsPrefill reports whether the prompt can be read beside those that an upstream has to read
// without a pause longer than the route's target in the streams that run there. A step of the engine
// reads a part of one prompt, so prompts that arrive together prolong many steps in a row. A prompt that is
// too long for that is read alone.
func (c *Core) fitsPrefill(u *upstream, w *waiter) bool {
	target := w.request.GapTarget
	if target <= 0 || u.running+u.otherRunning == 0 {
		return true
	}
	if u.claim != nil && u.claim != w && c.goesBefore(u.claim, w) {
		return false
	}
	waiting := c.tokensInPrefill(u)
	if waiting == 0 {
		return true
	}
	own := w.request.PromptTokens
	if w.heldByPrefill && c.now-w.heldSince >= overtakenTargets*target {
		own = 0 // prompts from other entries, which know of no claim here, have come first all this time
	}
	if c.fitsGap(u, w, waiting+own) {
		return true
	}
	if !w.heldByPrefill {
		w.heldByPrefill, w.heldSince = true, c.now
		c.prefillWaits++
	}
	return false
}

// fitsGap reports whether an upstream reads a number of prompt tokens, beside the steps of one event, within the pause that
// the route allows.
func (c *Core) fitsGap(u *upstream, w *waiter, tokens int) bool {
	return c.readTime(u, tokens)+c.eventTime(u, w.request.Model) <= scale(w.request.GapTarget, c.settings.GapShare)
}

// hasTurn reports whether this entry may use the room that an upstream has left. While requests wait at several
// entries, all of them see the same free room at the same time and would fill it many times over. So each uses it at
// random, in another share of intervals for each upstream, with the probability that leaves as many as there is room for.
func (c *Core) hasTurn(u *upstream, w *waiter) bool {
	if w.request.GapTarget > 0 && c.now < u.refusesUntil {
		return false // else one request after the other would be sent there
	}
	if w.request.GapTarget <= 0 || u.contenders <= 1 || u.running+u.otherRunning == 0 || c.now-u.loadsAt > freshLoads {
		return true
	}
	room := float64(c.maxRunning(u, w, c.config.engine(u.state.Service)) - u.running - u.otherRunning)
	if read := c.readTime(u, w.request.PromptTokens); read > 0 {
		left := scale(w.request.GapTarget, c.settings.GapShare) - c.eventTime(u, w.request.Model) - c.readTime(u, c.tokensInPrefill(u))
		room = min(room, max(1, left.Seconds()/read.Seconds()))
	}
	return c.draw(u)*float64(u.contenders) < room
}

// draw returns a random number from 0 to 1 that is the same for an upstream during an interval of loads.
func (c *Core) draw(u *upstream) float64 {
	interval := max(c.loadsInterval, minDrawInterval)
	h := c.drawSeed + uint64(c.now/interval)*0x9e3779b97f4a7c15 + uint64(u.state.Number)*0xbf58476d1ce4e5b9
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	h ^= h >> 31
	return float64(h>>11) / (1 << 53)
}

// minDrawInterval is the shortest time for which a draw holds.
const minDrawInterval = 50 * time.Millisecond

const (
	// claimTargets is after how many targets for a pause a waiting prompt claims an upstream, so that
	// shorter prompts, for which there is room more often, do not come first for ever.
	claimTargets = 1
	// overtakenTargets is after how many of them its own length no longer counts.
	overtakenTargets = 3
)

// mayClaim reports whether a request has been held back by prompts in prefill for so long that it claims an upstream.
func (c *Core) mayClaim(w *waiter) bool {
	return w.heldByPrefill && c.now-w.heldSince >= claimTargets*w.request.GapTarget
}

// claim keeps the upstream that is first done with its prompts for a request that has waited for
// long. Less urgent requests of this entry do not use it until then.
func (c *Core) claim(w *waiter) {
	if !c.mayClaim(w) {
		return
	}
	var best *upstream
	for _, u := range c.possible(w) {
		if u.claim != nil || !c.isEligible(u, w) || u.running+u.otherRunning >= int(u.state.Slots) {
			continue
		}
		if best == nil || c.readTime(u, c.tokensInPrefill(u)) < c.readTime(best, c.tokensInPrefill(best)) {
			best = u
		}
	}
	if best != nil {
		best.claim = w
		c.claimed = append(c.claimed, best)
	}
}

func (c *Core) clearClaims() {
	for _, u := range c.claimed {
		u.claim = nil
	}
	clear(c.claimed)
	c.claimed = c.claimed[:0]
}

// PrefillWaits returns the number of requests so far for which an upstream had a free slot, but too
// many prompt tokens to read.
func (c *Core) PrefillWaits() uint64 { return c.prefillWaits }

// endPrefill removes an attempt's prompt from those that its upstream has to read.
func (a *attempt) endPrefill() {
	if a.request.Streams && a.events == 0 {
		a.target.prefillTokens -= a.request.PromptTokens
	}
}
