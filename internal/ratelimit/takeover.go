package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// historyTime is the time for which an entry remembers what it sent: the window of the bound on quotas.
	historyTime = 8 * time.Second
	historyStep = 500 * time.Millisecond
	// takeoverShare is the part of the entries whose history a new coordinator needs.
	takeoverShare = 0.9
	// missingFactor is how many times the mean of the others an entry may have used that a new coordinator
	// has not heard of.
	missingFactor = 4
	// pastStep is the step in which a new coordinator sums up histories. Times are rounded up to it.
	pastStep = 100 * time.Millisecond
)

// AttachReport is what an entry tells a coordinator about quotas when it attaches.
type AttachReport struct {
	Entries uint32            // most entries that were attached lately, as far as the entry knows; 0: unknown
	Used    map[string]uint64 // units used since the contact ended, by organisation
	History time.Duration     // time that Recent covers
	StepAge time.Duration     // time since the current step began
	Recent  map[string]RecentUse
}

// RecentUse is what an entry used of a quota in the last historyTime.
type RecentUse struct {
	Steps []uint64 // units sent in each historyStep, the current step first
	InUse uint64   // units of requests that were admitted and not sent yet
}

// history is what an entry has sent of an organisation's units lately, by the beginning of a step, in order
// of time.
type history []amount

func (h *history) add(now Time, units uint64) {
	at := now / historyStep * historyStep
	*h = dropOlder(*h, now-historyTime-historyStep)
	if n := len(*h); n > 0 && (*h)[n-1].at >= at {
		(*h)[n-1].units += units
		return
	}
	*h = append(*h, amount{at, units})
}

// remove takes back units that were added at a time.
func (h history) remove(at Time, units uint64) {
	at = at / historyStep * historyStep
	for i := range h {
		if h[i].at == at {
			h[i].units -= min(units, h[i].units)
		}
	}
}

// steps returns the units of each step, the current one first, without the steps before the first use.
func (h history) steps(now Time) []uint64 {
	current := now / historyStep
	var out []uint64
	for i := len(h) - 1; i >= 0; i-- {
		age := int(current - h[i].at/historyStep)
		if h[i].units == 0 || h[i].at+historyStep <= now-historyTime {
			continue
		}
		for len(out) <= age {
			out = append(out, 0)
		}
		out[age] = h[i].units
	}
	return out
}

// takeover collects what entries used before the term of this coordinator, until the buckets can be given
// the level that those of a single coordinator would have.
type takeover struct {
	seen       map[string]bool // entries that have attached in this term
	histories  []time.Duration // time that the histories of entries cover
	past       map[string]*pastUse
	at         Time // when the buckets got their levels; valid if done is set
	done       bool
	configured bool // the quotas are known
}

// pastUse is what entries used of one organisation's units.
type pastUse struct {
	sent  map[Time]float64 // by the time at the end of a step
	inUse float64
	late  float64 // sent after the takeover, beyond what was set aside
	level float64 // that the bucket was given
	given bool    // level is set
}

func newTakeover() takeover {
	return takeover{seen: map[string]bool{}, past: map[string]*pastUse{}}
}

func (t *takeover) of(organisation string) *pastUse {
	p := t.past[organisation]
	if p == nil {
		p = &pastUse{sent: map[Time]float64{}}
		t.past[organisation] = p
	}
	return p
}

// covered returns for how long the use of all but missing entries is known; missing is how many are not
// covered for that long. ok is false if there are too many of them.
func (t *takeover) covered(expected uint32) (history time.Duration, missing int, ok bool) {
	need := int(math.Ceil(takeoverShare * float64(expected)))
	if expected == 0 || len(t.histories) < need {
		return 0, 0, false
	}
	slices.SortFunc(t.histories, func(x, y time.Duration) int { return int(y - x) })
	history = min(t.histories[need-1], historyTime)
	n := 0
	for _, h := range t.histories {
		if h >= history {
			n++
		}
	}
	return history, max(int(expected)-n, 0), true
}

// isPending reports whether grants may begin before takeoverDelay, so that nobody can be told a time yet.
func (c *contact) isPending(now Time) bool {
	return len(c.takeover.histories) > 0 && !c.takeover.done && now < takeoverDelay
}

// recordHistory records what an entry used before it attached. Only its first report in a term counts: what
// it was granted since then is known.
func (a *Allocator) recordHistory(now Time, entry string, r AttachReport) {
	t := &a.contact.takeover
	if t.seen[entry] || now >= goneTime {
		return
	}
	t.seen[entry] = true
	if r.Entries == 0 || r.History == 0 {
		return
	}
	t.histories = append(t.histories, min(r.History, historyTime))
	for name, use := range r.Recent {
		p := t.of(name)
		p.inUse += float64(use.InUse)
		late := 0.0
		for i, units := range use.Steps {
			// Units count for the end of their step, so that no window has fewer than were sent in it.
			at := now
			if i > 0 {
				at -= r.StepAge + time.Duration(i-1)*historyStep
			}
			if t.done && at > t.at {
				late += float64(units)
				continue
			}
			p.sent[roundUp(at)] += float64(units)
		}
		if l := a.limits[Subject{Organisation: name}]; late > 0 && l != nil && l.quota != nil {
			// applyRate has set aside the entry's part of the rate.
			p.late += max(late-l.quota.PerSecond/float64(a.contact.expected)*(now-t.at).Seconds(), 0)
		}
	}
}

// roundUp rounds a time up to a pastStep.
func roundUp(at Time) Time {
	return Time(math.Ceil(float64(at)/float64(pastStep))) * pastStep
}

// takeOver gives the buckets their levels once enough entries have told what they used, and again when
// further ones have.
func (a *Allocator) takeOver(now Time) {
	t := &a.contact.takeover
	if !t.configured || now >= goneTime {
		return
	}
	history, missing, ok := t.covered(a.contact.expected)
	if !ok {
		return
	}
	first := !t.done
	if first {
		t.done, t.at = true, now
	}
	for sub, l := range a.limits {
		if l.quota == nil || !l.Limited {
			continue
		}
		p := t.of(sub.Organisation)
		if !first && !p.given {
			continue // added to the configuration since
		}
		level := p.levelAt(t.at, *l.quota, history, missing, int(a.contact.expected))
		if first {
			l.bucket.tokens, l.bucket.refilled = level-l.used, now
		} else {
			l.bucket.refill(now)
			l.bucket.correct(level - p.level)
		}
		p.level, p.given = level, true
	}
}

// levelAt returns the level that one bucket would have: for no time up to then may more have been sent than
// the burst and the refill of that time. Nothing is known of the time before history, so the bucket counts
// as empty then, unless history is as long as a window.
func (p *pastUse) levelAt(at Time, q Quota, history time.Duration, missing, expected int) float64 {
	known := max(expected-missing, 1)
	scale := float64(expected) / float64(known) // missing entries have used as much as the others
	sum, recent := 0.0, 0.0
	level := q.Burst
	for _, end := range slices.Backward(slices.Sorted(maps.Keys(p.sent))) {
		age := max(at-end, 0)
		if age > history {
			break
		}
		sum += p.sent[end] * scale
		if age <= offlineTime {
			recent += p.sent[end]
		}
		level = min(level, q.Burst+q.PerSecond*age.Seconds()-sum)
	}
	if history < historyTime {
		level = min(level, q.PerSecond*history.Seconds()-sum)
	}
	level = min(level, q.Burst-p.inUse) - p.late
	each := max(missingFactor*recent/float64(known), q.PerSecond/float64(expected)*offlineTime.Seconds())
	return level - float64(missing)*each
}
