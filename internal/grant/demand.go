package grant

import (
	"math"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/wire"
)

// demandStats is the demand for one model with one adapter.
type demandStats struct {
	adapter       string
	waiting       int
	running       int
	lastUsed      Time // last arrival or release
	rate          float64
	rateUpdated   Time
	burstStart    Time // start of the last burst
	bursts        int
	burstInterval mean // nanoseconds between the starts of bursts
}

// rateTimeConstant is the time constant of the decayed arrival rate.
const rateTimeConstant = 30 * time.Second

// burstGap is the idle time after which an arrival starts a new burst.
const burstGap = time.Minute

func (p *pool) demandFor(adapter string) *demandStats {
	u, ok := p.demands[adapter]
	if !ok {
		u = &demandStats{adapter: adapter}
		p.demands[adapter] = u
	}
	return u
}

func (p *pool) running() int {
	return p.runningFromClass(0)
}

// recordRequest records one arrival.
func (u *demandStats) recordRequest(now Time) {
	if u.bursts == 0 || now-u.lastUsed > burstGap {
		if u.bursts > 0 {
			u.burstInterval.add(float64(now - u.burstStart))
		}
		u.burstStart = now
		u.bursts++
	}
	u.rate = u.currentRate(now) + 1/rateTimeConstant.Seconds()
	u.rateUpdated = now
	u.lastUsed = now
}

func (u *demandStats) currentRate(now Time) float64 {
	return u.rate * math.Exp(-float64(now-u.rateUpdated)/float64(rateTimeConstant))
}

// Demand returns the demand for each model and adapter that was ever requested under the
// applied spec, sorted by model and adapter. Plain services are left out.
func (c *Core) Demand(now Time) []Demand {
	var list []Demand
	for key, p := range c.pools {
		if key.service != "" {
			continue
		}
		for _, u := range p.demands {
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

func (c *Core) demandOf(p *pool, u *demandStats, now Time) Demand {
	d := Demand{
		Model:         p.key.model,
		Adapter:       u.adapter,
		Waiting:       u.waiting,
		Running:       u.running,
		LastUsed:      u.lastUsed,
		Rate:          u.currentRate(now),
		BurstInterval: time.Duration(u.burstInterval.value),
	}
	if u.waiting > 0 {
		p.queue.fillWaiting(u, &d)
	}
	return d
}

// fillWaiting sets the oldest arrival, the earliest deadline and the most urgent class of
// the attempts that wait for one adapter.
func (q *queue) fillWaiting(u *demandStats, d *Demand) {
	first := true
	best := classCount
	for i := range q.classes {
		for _, c := range q.classes[i].callers {
			for _, a := range c.items {
				if a.demand != u {
					continue
				}
				if first || a.arrived < d.OldestArrival {
					d.OldestArrival = a.arrived
				}
				if first || a.req.Deadline < d.Deadline {
					d.Deadline = a.req.Deadline
				}
				first = false
				best = min(best, classIndex(a.req.Class))
			}
		}
	}
	d.Class = classes[min(best, classCount-1)]
}

// classes lists the classes by rank.
var classes = [classCount]wire.Class{
	wire.Class_CLASS_INTERACTIVE,
	wire.Class_CLASS_NORMAL,
	wire.Class_CLASS_BATCH,
}

// dropStaleDemand removes the demand for models and adapters that the spec no longer names
// and that nothing uses.
func (c *Core) dropStaleDemand() {
	for key, p := range c.pools {
		for adapter, u := range p.demands {
			named, _ := c.checkSpec(SlotRequest{Model: key.model, Service: key.service, Adapter: adapter})
			if named != "" && u.waiting == 0 && u.running == 0 {
				delete(p.demands, adapter)
			}
		}
		if len(p.demands) == 0 && len(p.members) == 0 && p.queue.size == 0 {
			delete(c.pools, key)
		}
	}
}
