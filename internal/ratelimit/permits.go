package ratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// stockTime is the time whose requests an entry keeps permits in stock for: it covers the
	// time from its report of a demand to the grant.
	stockTime = 150 * time.Millisecond
	// rateHalfLife is the half-life of the rate at which requests could have used a permit.
	rateHalfLife = time.Second
	// maxDemand bounds the permits that one entry may hold for an upstream.
	maxDemand = 64
)

// Permits are one entry's permits for one limited incarnation of an upstream, or its units of one
// organisation. They do no I/O and are not safe for concurrent use.
type Permits struct {
	PerSecond float64 // limit of the upstream
	isQuota   bool    // they are units of an organisation
	held      []held  // soonest expiry first
	spent     uint64  // permits that were used or have expired
	returned  uint64  // permits that have expired or were given back
	backlog   int     // over all entries, as last told
	claimants int
	rate      float64 // permits a second that requests could have used, decayed
	ratedAt   Time
	wantedAt  Time // when a request could last have used a permit
	isWanted  bool // wantedAt is set
}

// held is a number of permits that expire together.
type held struct {
	expires Time
	n       uint64
}

// Reset drops all permits and what is known of other entries' demand: another coordinator grants
// from now on, or the same one anew.
func (p *Permits) Reset() {
	p.held, p.spent, p.returned, p.backlog, p.claimants = nil, 0, 0, 0, 0
}

// SetLimit changes the limit. Under a lower one the permits granted before are dropped.
func (p *Permits) SetLimit(perSecond float64) {
	if perSecond < p.PerSecond {
		p.drop()
	}
	p.PerSecond = perSecond
}

// drop gives all permits back.
func (p *Permits) drop() {
	n := p.count()
	p.spent += n
	p.returned += n
	p.held = nil
}

// count returns the number of permits held, those that have expired since the last call of expire included.
func (p *Permits) count() uint64 {
	n := uint64(0)
	for _, h := range p.held {
		n += h.n
	}
	return n
}

// Available reports whether a request may be sent now.
func (p *Permits) Available(now Time) bool { return p.availableUnits(now) > 0 }

// availableUnits returns the number of permits that can be used now.
func (p *Permits) availableUnits(now Time) uint64 {
	p.expire(now)
	return p.count()
}

// Use spends the permit that expires first. It must be available.
func (p *Permits) Use(now Time) { p.take(now, 1) }

// take spends the permits that expire first. They must be available.
func (p *Permits) take(now Time, n uint64) {
	p.noteDemand(now, n)
	p.spent += n
	for n > 0 {
		used := min(n, p.held[0].n)
		n -= used
		if p.held[0].n -= used; p.held[0].n == 0 {
			p.held = p.held[1:]
		}
	}
}

// Missed records that a request could not use the upstream for want of a permit.
func (p *Permits) Missed(now Time) { p.noteDemand(now, 1) }

func (p *Permits) noteDemand(now Time, n uint64) {
	p.decay(now)
	p.rate += float64(n) * math.Ln2 / rateHalfLife.Seconds()
	p.wantedAt, p.isWanted = now, true
}

func (p *Permits) decay(now Time) {
	p.rate *= math.Exp2(-float64(now-p.ratedAt) / float64(rateHalfLife))
	p.ratedAt = now
}

func (p *Permits) expire(now Time) {
	for len(p.held) > 0 && now >= p.held[0].expires {
		p.spent += p.held[0].n
		p.returned += p.held[0].n
		p.held = p.held[1:]
	}
}

// validity returns how long a permit may be used after it was granted.
func (p *Permits) validity() time.Duration {
	if p.isQuota {
		return quotaValidity
	}
	return Validity(p.PerSecond)
}

// Demand returns how many permits the entry wants while waiting requests could use the upstream.
func (p *Permits) Demand(now Time, waiting int) Demand {
	p.expire(now)
	p.decay(now)
	stock := 0
	if p.isWanted && now-p.wantedAt < p.validity() {
		stock = max(1, int(p.rate*stockTime.Seconds()))
	}
	waiting = min(waiting, maxDemand)
	d := Demand{Wanted: p.spent + max(p.count(), uint64(min(waiting+stock, maxDemand)))}
	d.Urgent = min(d.Wanted, p.spent+uint64(waiting))
	return d
}

// demandUnits returns the demand of an organisation's requests that wait for units, of which the first one
// costs first. Units for requests to come are wanted if stockTime is enough for one that costs usual.
func (p *Permits) demandUnits(now Time, waiting, first, usual uint64) Demand {
	p.expire(now)
	p.decay(now)
	stock := uint64(p.rate * stockTime.Seconds())
	if stock < usual || now-p.wantedAt >= p.validity() {
		stock = 0
	}
	n := p.count()
	d := Demand{Wanted: p.spent + max(n, waiting+stock), Urgent: p.spent + max(n, waiting), Known: p.spent + n, Held: n, Returned: p.returned}
	if first > n {
		d.First = first - n
	}
	return d
}

// Grant adopts what the coordinator tells. delay is how long ago it was granted.
func (p *Permits) Grant(now Time, g Grant, delay time.Duration) {
	p.expire(now)
	p.backlog, p.claimants = int(g.Backlog), int(g.Claimants)
	if known := p.spent + p.count(); known < g.Granted {
		p.held = append(p.held, held{now - delay + p.validity(), g.Granted - known})
	}
	slices.SortStableFunc(p.held, func(a, b held) int { return cmp.Compare(a.expires, b.expires) })
	p.expire(now)
}

// NextFree returns when an entry can expect a permit for one more request, after ahead requests
// of its own that wait already, if the given upstreams are the only ones to serve it. interval is
// the time between two permits that it can expect.
func NextFree(list []*Permits, ahead int) (wait, interval time.Duration) {
	rate, backlog, claimants := 0.0, 0, 1
	for _, p := range list {
		rate += rateOf(p.PerSecond)
		backlog += p.backlog
		claimants = max(claimants, p.claimants)
	}
	interval = time.Duration(float64(claimants) / rate * float64(time.Second))
	fair := time.Duration(ahead+1) * interval // if all claimants get permits in turn
	inOrder := time.Duration(float64(max(backlog, ahead)+1) / rate * float64(time.Second))
	return min(fair, inOrder), interval
}
