package fleet

import (
	"time"

	"gentiankeel/internal/wire"
)

// waits estimates when the wanted models will be loaded.
func (p *planner) waits() []*wire.ModelWait {
	var out []*wire.ModelWait
	queued := 0
	for _, name := range p.wanted {
		left, known := p.comingIn(name)
		if !known {
			left, known = p.eta[name]
		}
		if !known { // every runner is taken, or the store is
			queued++
			rounds := time.Duration(1 + queued/max(1, p.c.set.StoreConcurrency))
			left = p.models[name].LoadTime * rounds
		}
		out = append(out, &wire.ModelWait{Service: p.service, Model: name, ReadyInMs: uint32(left.Milliseconds())})
	}
	return out
}

func (p *planner) comingIn(model string) (time.Duration, bool) {
	for _, u := range p.runners {
		if o := u.open(); o != nil && !o.order.Unload && o.order.Model == model && o.order.Adapter == "" {
			return max(0, o.due-p.c.now), true
		}
		if u.goal == model {
			return loadTime(p.models[model], p.tier(u, model)) + p.c.set.OrderSlack, true
		}
	}
	return 0, false
}

// waitStep is the change of an estimate that is worth telling.
const waitStep = time.Second

// publishWaits tells entries of changed estimates. They count down by themselves.
func (c *Core) publishWaits(waits []*wire.ModelWait) {
	next := make(map[modelKey]Time, len(waits))
	changed := len(waits) != len(c.lastWaits)
	for _, w := range waits {
		k := modelKey{w.Service, w.Model}
		at := c.now + Time(w.ReadyInMs)*1e6
		old, known := c.lastWaits[k]
		if known && (at-old).Abs() < waitStep {
			at = old
		} else {
			changed = true
		}
		next[k] = at
	}
	if !changed {
		return
	}
	c.lastWaits = next
	c.emit(PublishWaits{waits})
}
