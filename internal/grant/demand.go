package grant

import (
	"math"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/wire"
)

// demandStats holds the demand for one model with one adapter.
type demandStats struct {
	adapter       string
	waiting       int
	running       int
	lastUsed      Time    // last arrival or release
	rate          float64 // arrivals a second, decayed up to rateUpdated
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
	stats, ok := p.demands[adapter]
	if !ok {
		stats = &demandStats{adapter: adapter}
		p.demands[adapter] = stats
	}
	return stats
}

func (p *pool) running() int {
	return p.runningFromClass(0)
}

// recordRequest records one arrival.
func (d *demandStats) recordRequest(now Time) {
	if d.bursts == 0 || now-d.lastUsed > burstGap {
		if d.bursts > 0 {
			d.burstInterval.add(float64(now - d.burstStart))
		}
		d.burstStart = now
		d.bursts++
	}
	d.rate = d.currentRate(now) + 1/rateTimeConstant.Seconds()
	d.rateUpdated = now
	d.lastUsed = now
}

func (d *demandStats) currentRate(now Time) float64 {
	return d.rate * math.Exp(-float64(now-d.rateUpdated)/float64(rateTimeConstant))
}

// Demand returns the demand for each model and adapter that was requested, sorted by model
// and adapter. Plain services are left out, and so are models and adapters that a spec
// change has removed, unless attempts were running on them then.
func (c *Core) Demand(now Time) []Demand {
	var list []Demand
	for key, p := range c.pools {
		if key.service != "" {
			continue
		}
		for _, stats := range p.demands {
			list = append(list, c.demandOf(p, stats, now))
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

func (c *Core) demandOf(p *pool, stats *demandStats, now Time) Demand {
	d := Demand{
		Model:         p.key.model,
		Adapter:       stats.adapter,
		Waiting:       stats.waiting,
		Running:       stats.running,
		LastUsed:      stats.lastUsed,
		Rate:          stats.currentRate(now),
		BurstInterval: time.Duration(stats.burstInterval.value),
	}
	if stats.waiting > 0 {
		p.queue.fillWaiting(stats, &d)
	}
	return d
}

// fillWaiting sets the oldest arrival, the earliest deadline and the most urgent class of
// the attempts that wait for one adapter.
func (q *queue) fillWaiting(stats *demandStats, d *Demand) {
	first := true
	best := classCount
	for i := range q.classes {
		for _, c := range q.classes[i].callers {
			for _, a := range c.items {
				if a.demand != stats {
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
		for adapter, stats := range p.demands {
			refusal, _ := c.checkSpec(SlotRequest{Model: key.model, Service: key.service, Adapter: adapter})
			if refusal != "" && stats.waiting == 0 && stats.running == 0 {
				delete(p.demands, adapter)
			}
		}
		if len(p.demands) == 0 && len(p.members) == 0 && p.queue.size == 0 {
			delete(c.pools, key)
		}
	}
}
