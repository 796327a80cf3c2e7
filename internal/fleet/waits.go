package fleet

import (
	"cmp"
	"iter"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/wire"
)

// waitEstimates estimates the time until each missing model is loaded.
func (p *planner) waitEstimates() []*wire.ModelWait {
	var out []*wire.ModelWait
	loading := p.remainingLoadTimes()
	queued := 0
	for _, name := range p.missing {
		remaining, known := loading[name]
		if !known {
			remaining, known = p.eta[name]
		}
		if !known { // no runner or no store capacity is free
			queued++
			rounds := time.Duration(1 + queued/max(1, p.storeLimit))
			remaining = p.models[name].StoreLoadTime * rounds
		}
		out = append(out, &wire.ModelWait{Service: p.service, Model: name, ReadyInMs: uint32(remaining.Milliseconds())})
	}
	return out
}

// remainingLoadTimes returns the time left of each model's first load in progress, including one
// that waits for room.
func (p *planner) remainingLoadTimes() map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, r := range p.runners {
		name := r.loadingModel()
		if _, known := out[name]; known || p.models[name] == nil {
			continue
		}
		if o := r.openOrder(); o != nil && !o.order.Unload && o.order.Adapter == "" {
			out[name] = max(0, o.due-p.c.now)
			continue
		}
		out[name] = loadTime(p.models[name], p.tier(r, name)) + p.c.settings.OrderSlack
	}
	return out
}

// minWaitChange is the smallest change of an estimate that is published.
const minWaitChange = time.Second

// publishWaits announces changed estimates to entries, which count them down themselves.
func (c *Core) publishWaits(waits []*wire.ModelWait) {
	next := make(map[modelKey]Time, len(waits))
	var changed []ModelRef
	for _, w := range waits {
		k := modelKey{w.Service, w.Model}
		at := c.now + Time(w.ReadyInMs)*1e6
		previous, known := c.publishedWaits[k]
		if known && (at-previous).Abs() < minWaitChange {
			at = previous
		} else {
			changed = append(changed, ModelRef{k.service, k.model})
		}
		next[k] = at
	}
	for k := range c.publishedWaits {
		if _, missing := next[k]; !missing {
			changed = append(changed, ModelRef{k.service, k.model})
		}
	}
	if len(changed) == 0 {
		return
	}
	slices.SortFunc(changed, func(a, b ModelRef) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Model, b.Model))
	})
	c.publishedWaits = next
	c.emit(PublishWaits{changed})
}

// Waits returns when those of the models that are missing are expected to be loaded, as published last.
func (c *Core) Waits(models iter.Seq[ModelRef]) []*wire.ModelWait {
	var out []*wire.ModelWait
	for m := range models {
		if at, missing := c.publishedWaits[modelKey{m.Service, m.Model}]; missing {
			out = append(out, &wire.ModelWait{Service: m.Service, Model: m.Model, ReadyInMs: uint32(max(0, at-c.now).Milliseconds())})
		}
	}
	return out
}
