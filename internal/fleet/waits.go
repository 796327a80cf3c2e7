package fleet

import (
	"time"

	"gentiankeel/internal/wire"
)

// waitEstimates estimates the time until each missing model is loaded.
func (p *planner) waitEstimates() []*wire.ModelWait {
	var out []*wire.ModelWait
	queued := 0
	for _, name := range p.missing {
		remaining, known := p.remainingLoadTime(name)
		if !known {
			remaining, known = p.eta[name]
		}
		if !known { // no runner or no store capacity is free
			queued++
			rounds := time.Duration(1 + queued/max(1, p.c.settings.StoreConcurrency))
			remaining = p.models[name].StoreLoadTime * rounds
		}
		out = append(out, &wire.ModelWait{Service: p.service, Model: name, ReadyInMs: uint32(remaining.Milliseconds())})
	}
	return out
}

// remainingLoadTime returns the time left of a model's load in progress, including one
// that waits for room; false if there is none.
func (p *planner) remainingLoadTime(model string) (time.Duration, bool) {
	for _, u := range p.runners {
		if o := u.openOrder(); o != nil && !o.order.Unload && o.order.Model == model && o.order.Adapter == "" {
			return max(0, o.due-p.c.now), true
		}
		if u.target == model {
			return loadTime(p.models[model], p.tier(u, model)) + p.c.settings.OrderSlack, true
		}
	}
	return 0, false
}

// minWaitChange is the smallest change of an estimate that is published.
const minWaitChange = time.Second

// publishWaits sends changed estimates to entries, which count them down themselves.
func (c *Core) publishWaits(waits []*wire.ModelWait) {
	next := make(map[modelKey]Time, len(waits))
	changed := len(waits) != len(c.publishedWaits)
	for _, w := range waits {
		k := modelKey{w.Service, w.Model}
		at := c.now + Time(w.ReadyInMs)*1e6
		previous, known := c.publishedWaits[k]
		if known && (at-previous).Abs() < minWaitChange {
			at = previous
		} else {
			changed = true
		}
		next[k] = at
	}
	if !changed {
		return
	}
	c.publishedWaits = next
	c.emit(PublishWaits{waits})
}
