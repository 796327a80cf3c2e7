package grant

import (
	"math"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/wire"
)

// usage is the demand for one model with one adapter.
type usage struct {
	adapter  string
	waiting  int
	running  int
	last     Time // last ask or release
	rate     float64
	rateAt   Time
	burst    Time // start of the last burst
	bursts   int
	interval mean // nanoseconds between the starts of bursts
}

// rateSpan is the time constant of the decayed rate of asks.
const rateSpan = 30 * time.Second

// burstGap is the quiet time after which an ask starts a new burst.
const burstGap = time.Minute

func (p *pool) usageOf(adapter string) *usage {
	u, ok := p.usages[adapter]
	if !ok {
		u = &usage{adapter: adapter}
		p.usages[adapter] = u
	}
	return u
}

func (p *pool) running() int {
	return p.runningFrom(0)
}

// asked notes one ask.
func (u *usage) asked(now Time) {
	if u.bursts == 0 || now-u.last > burstGap {
		if u.bursts > 0 {
			u.interval.add(float64(now - u.burst))
		}
		u.burst = now
		u.bursts++
	}
	u.rate = u.rateNow(now) + 1/rateSpan.Seconds()
	u.rateAt = now
	u.last = now
}

func (u *usage) rateNow(now Time) float64 {
	return u.rate * math.Exp(-float64(now-u.rateAt)/float64(rateSpan))
}

// Demand returns what waits and runs for each model and adapter ever asked for under
// the applied spec, sorted by model and adapter. Plain services are left out.
func (c *Core) Demand(now Time) []Demand {
	var list []Demand
	for key, p := range c.pools {
		if key.service != "" {
			continue
		}
		for _, u := range p.usages {
			list = append(list, c.demandOf(p, u, now))
		}
	}
	slices.SortFunc(list, func(a, b Demand) int {
		if n := strings.Compare(a.Model, b.Model); n != 0 {
			return n
		}
		return strings.Compare(a.Adapter, b.Adapter)
	})
	return list
}

func (c *Core) demandOf(p *pool, u *usage, now Time) Demand {
	d := Demand{
		Model:    p.key.model,
		Adapter:  u.adapter,
		Waiting:  u.waiting,
		Running:  u.running,
		LastUsed: u.last,
		Rate:     u.rateNow(now),
		Interval: time.Duration(u.interval.value),
	}
	if u.waiting > 0 {
		p.queue.describe(u, &d)
	}
	return d
}

// describe fills in the oldest, the earliest deadline and the most urgent class of the
// asks that wait for one adapter.
func (q *queue) describe(u *usage, d *Demand) {
	first := true
	best := classCount
	for i := range q.classes {
		for _, c := range q.classes[i].callers {
			for _, a := range c.items {
				if a.usage != u {
					continue
				}
				if first || a.at < d.Oldest {
					d.Oldest = a.at
				}
				if first || a.ask.Deadline < d.Deadline {
					d.Deadline = a.ask.Deadline
				}
				first = false
				best = min(best, classIndex(a.ask.Class))
			}
		}
	}
	d.Class = classes[min(best, classCount-1)]
}

// classes lists the classes by their index.
var classes = [classCount]wire.Class{
	wire.Class_CLASS_INTERACTIVE,
	wire.Class_CLASS_NORMAL,
	wire.Class_CLASS_BATCH,
}

// dropUnnamedUsage forgets the demand for models and adapters that the spec has dropped
// and that nothing uses.
func (c *Core) dropUnnamedUsage() {
	for key, p := range c.pools {
		for adapter, u := range p.usages {
			named, _ := c.unnamed(Ask{Model: key.model, Service: key.service, Adapter: adapter})
			if named != "" && u.waiting == 0 && u.running == 0 {
				delete(p.usages, adapter)
			}
		}
		if len(p.usages) == 0 && len(p.members) == 0 && p.queue.size == 0 {
			delete(c.pools, key)
		}
	}
}
