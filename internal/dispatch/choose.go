package dispatch

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"gentiankeel/internal/routing"
	"gentiankeel/internal/wire"
)

// possible returns the upstreams among which those are that can serve a request, sorted by id. A request
// for a model needs not look at all upstreams, of which few hold it.
func (c *Core) possible(w *waiter) []*upstream {
	if w.request.Model == "" {
		return c.upstreams
	}
	return c.holders[w.request.Model]
}

// cheapestUpstream returns the upstream with the lowest cost, nil if none can take the
// request. Upstreams in back-off or not ready are used only if there is no other.
func (c *Core) cheapestUpstream(w *waiter) *upstream {
	best, bestCost, bestAvoided := (*upstream)(nil), math.Inf(1), true
	candidates := c.candidates(w)
	if len(candidates) == 0 {
		return nil
	}
	owner := c.prefixOwner(w)
	f := c.forecast(w)
	for _, u := range candidates {
		avoided := c.now < u.avoidUntil || u.state.Phase != wire.UpstreamPhase_PHASE_READY
		cost := c.cost(u, w, owner, &f)
		if best == nil || bestAvoided && !avoided || avoided == bestAvoided && cost < bestCost {
			best, bestCost, bestAvoided = u, cost, avoided
		}
	}
	return best
}

// candidates returns the upstreams to choose from: all that can take the request, or two
// of them at random when loads are published so rarely that all entries would choose the
// same upstream between two updates.
func (c *Core) candidates(w *waiter) []*upstream {
	c.scratch = c.scratch[:0]
	available := 0 // scratch[:available] are ready and not in back-off
	for _, u := range c.possible(w) {
		if !c.isEligible(u, w) || !c.hasCapacity(u, w) {
			continue
		}
		if u.limit != nil && !u.limit.Available(c.now) {
			if w.queuedAt == c.now { // later it counts as waiting
				u.limit.Missed(c.now)
			}
			continue
		}
		c.scratch = append(c.scratch, u)
		if c.now >= u.avoidUntil && u.state.Phase == wire.UpstreamPhase_PHASE_READY {
			last := len(c.scratch) - 1
			c.scratch[available], c.scratch[last] = c.scratch[last], c.scratch[available]
			available++
		}
	}
	if c.loadsInterval < c.settings.StaleLoadsInterval || available <= sampleSize {
		return c.scratch
	}
	for i := range sampleSize {
		j := i + c.rng.IntN(available-i)
		c.scratch[i], c.scratch[j] = c.scratch[j], c.scratch[i]
	}
	return c.scratch[:sampleSize]
}

// sampleSize is the number of random candidates (M. Mitzenmacher, "How Useful Is Old
// Information?", IEEE TPDS 11(1), 2000: two suffice against herds on stale loads).
const sampleSize = 2

// isEligible reports whether an upstream holds the request's model and adapter, takes requests and is
// neither leaving nor excluded. An upstream that has answered Misdirected is not
// eligible for InitialBackoff, unless a newer state of it is published.
func (c *Core) isEligible(u *upstream, w *waiter) bool { return c.canServe(u, w) && c.takesRequests(u) }

// canServe reports the same whether or not the upstream takes requests from this entry at the moment.
func (c *Core) canServe(u *upstream, w *waiter) bool {
	if u.state.Service != w.request.Service || c.isLeaving(u) || w.request.Exclude[u.state.Id] {
		return false
	}
	if w.request.NeedsSoftware && !u.runs(w.request.Software) || w.request.ExcludeSoftware[u.state.Software] {
		return false
	}
	if w.request.Model == "" {
		return true
	}
	m := u.models[w.request.Model]
	if m == nil || w.request.Adapter != "" && !slices.Contains(m.Adapters, w.request.Adapter) {
		return false
	}
	return c.now >= u.missingUntil[w.key]
}

// hasCapacity reports whether a slot, KV cache and time for the prompt are free, by the last published
// loads.
func (c *Core) hasCapacity(u *upstream, w *waiter) bool {
	engine := c.config.engine(u.state.Service)
	if u.running+u.otherRunning >= c.maxRunning(u, w, engine) {
		return false
	}
	if engine == nil || !c.fitsKVCache(u, w, engine) {
		return engine == nil
	}
	return c.fitsPrefill(u, w) && c.hasTurn(u, w)
}

// maxRunning returns how many requests may run on an upstream for a further one to be sent there.
func (c *Core) maxRunning(u *upstream, w *waiter, engine *routing.Engine) int {
	slots := int(u.state.Slots)
	if engine == nil || c.now-w.queuedAt >= c.settings.SoftMaxWait {
		return slots
	}
	if w.request.GapTarget > 0 && slots > c.settings.ManySlots {
		return slots - int(c.settings.SlotReserve*float64(slots))
	}
	limit := c.settings.SoftMaxRunning
	if w.request.GapTarget > 0 { // pauses get too long with fewer requests on a slow runner, with more on a fast one
		limit = int(math.Round(float64(limit) / u.factor()))
	}
	if limit > c.settings.SoftMaxRunning {
		// A fifth of a fast runner's slots stay free for requests of other entries: with an eighth, 3 in 100 attempts
		// met a full runner.
		limit = max(c.settings.SoftMaxRunning, min(limit, slots-slots/5))
	}
	return min(slots, limit)
}

// fitsKVCache reports whether the request fits into a runner's KV cache. An idle runner takes any.
func (c *Core) fitsKVCache(u *upstream, w *waiter, engine *routing.Engine) bool {
	if engine.KVCacheTokens == 0 || u.running+u.otherRunning == 0 {
		return true
	}
	usedTokens := u.reservedTokens + u.othersKVTokens()
	return float64(usedTokens+w.request.PromptTokens+w.request.OutputTokens) <= c.settings.MaxKVShare*float64(engine.KVCacheTokens)
}

// cost estimates, in seconds, the delay that the request would meet and cause on an
// upstream.
func (c *Core) cost(u *upstream, w *waiter, owner *upstream, f *forecast) float64 {
	cost := 0.0
	if w.request.Model == "" {
		cost += float64(float64(u.running+u.otherRunning) * c.settings.PlainRequestCost.Seconds())
		if w.request.PrefixHash != 0 && u != owner {
			cost += float64(float64(w.request.PrefixTokens) * c.settings.PrefillPerToken.Seconds())
		}
	} else {
		cost += c.modelCost(u, w, f, w.request.PrefixHash != 0 && u == owner)
	}
	cost += float64(c.rng.Float64() * f.jitter.Seconds())
	if u.state.Zone != c.zone {
		cost += c.settings.CrossZoneCost.Seconds()
	}
	if u.limit != nil && c.now-u.limit.heardAt >= limitProbeAge {
		cost += limitProbeCost
	}
	return cost
}

// prefixOwner returns the eligible upstream that is to cache the shared part of the
// prompt; nil if there is none or no shared part. Rendezvous hashing gives the same
// upstream at every entry without coordination.
func (c *Core) prefixOwner(w *waiter) *upstream {
	if w.request.PrefixHash == 0 {
		return nil
	}
	var best *upstream
	var bestHash uint64
	for _, u := range c.possible(w) {
		if !c.isEligible(u, w) {
			continue
		}
		h := xxhash.Sum64String(u.state.Id) ^ w.request.PrefixHash
		h *= 0x9e3779b97f4a7c15 // these steps mix the bits, so that the order depends on both hashes
		h ^= h >> 29
		h *= 0xbf58476d1ce4e5b9
		h ^= h >> 32
		if best == nil || h > bestHash {
			best, bestHash = u, h
		}
	}
	return best
}
