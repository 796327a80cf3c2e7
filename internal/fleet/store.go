package fleet

import (
	"slices"
	"time"
)

// storeLearner learns how many concurrent loads a service's weight store serves at full speed. Beyond that
// number all loads in progress share its throughput. It compares what a load takes with the time
// that the configuration names, given the loads beside it.
type storeLearner struct {
	loads   []*storeLoad // in progress, and ended ones that one in progress overlaps
	proven  int          // loads at once that were seen at full speed; 0: nothing is known
	ceiling int          // loads at once above which the store was seen to slow down; 0: not known

	slow          *storeLoad // load that took longer than proven allows, since a load last proved as much
	replicaStreak int        // loads for further replicas of a model since the last one for a missing model

	ceilingSet    Time // when ceiling was last lowered or raised
	contradicting int  // loads on time since then that ceiling does not explain
}

// storeLoad is a load from the store.
type storeLoad struct {
	start   Time
	end     Time // valid if done
	done    bool
	nominal time.Duration // time that it takes at full speed
	busyAt  Time          // newest time at which it was surely in progress
	// certain is false for an order that the coordinator has not sent or whose answer was lost: it may be
	// another kind of order, and says nothing about the store's speed.
	certain  bool
	prefetch bool // no request waited for it when it began
}

const (
	// maxStoreConcurrency bounds the number that is learnt.
	maxStoreConcurrency = 16
	// firstLoadsEnd is the time in which the first loads of a term end even if the store serves only one of
	// them at full speed. With one load at a time in 13 s, two at once would both end after 26 s.
	firstLoadsEnd = 24 * time.Second
	// maxFirstLoads bounds the loads that a term begins with.
	maxFirstLoads = 4
	// shortLoad is the longest load beside which one more than is proven is tried at any time. Longer ones
	// are only slowed in their last lateProbe, since a wrong try delays each load that is in progress.
	shortLoad = 8 * time.Second
	lateProbe = 3 * time.Second
	// ceilingTTL is the time after which one load more than the ceiling is tried again.
	ceilingTTL = time.Minute
	// reportLag is the usual age of what a runner's report says.
	reportLag = 500 * time.Millisecond
	// loadTolerance is the share by which a load at full speed may differ from its configured time.
	loadTolerance = 0.05
)

// begin records that a load begins.
func (l *storeLearner) begin(now Time, nominal time.Duration) *storeLoad {
	load := &storeLoad{start: now, busyAt: now, nominal: nominal, certain: true}
	l.loads = append(l.loads, load)
	return load
}

// beginUncertain records an order that may be a load from the store and was begun after since.
func (l *storeLearner) beginUncertain(since Time) *storeLoad {
	load := &storeLoad{start: since, busyAt: since}
	l.loads = append(l.loads, load)
	return load
}

// drop removes a load that never began.
func (l *storeLearner) drop(load *storeLoad) {
	l.loads = slices.DeleteFunc(l.loads, func(o *storeLoad) bool { return o == load })
	l.prune()
}

// abort records that a load ended otherwise than by its completion, at some time before now.
func (l *storeLearner) abort(now Time, load *storeLoad) {
	load.done, load.end, load.certain = true, now, false
	l.prune()
}

// prune removes ended loads that none in progress overlaps. Uncertain ones in progress are never compared with those
// beside them; one that is stuck would keep all later loads.
func (l *storeLearner) prune() {
	first, open := Time(0), false
	for _, o := range l.loads {
		if !o.done && o.certain && (!open || o.start < first) {
			first, open = o.start, true
		}
	}
	l.loads = slices.DeleteFunc(l.loads, func(o *storeLoad) bool { return o.done && (!open || o.end < first) })
}

// progress returns how much of a load's time at full speed has passed from start until end, if the store serves
// n loads at full speed. Uncertain loads count only if countAll is set.
func (l *storeLearner) progress(start, end Time, n int, countAll bool) time.Duration {
	changes := make([]Time, 0, 2*len(l.loads)+2)
	changes = append(changes, start, end)
	for _, o := range l.loads {
		for _, t := range [2]Time{o.start, o.end} {
			if t > start && t < end {
				changes = append(changes, t)
			}
		}
	}
	slices.Sort(changes)
	done := time.Duration(0)
	for i := 1; i < len(changes); i++ {
		from, until := changes[i-1], changes[i]
		concurrent := 0
		for _, o := range l.loads {
			if (o.certain || countAll) && o.start <= from && (!o.done || o.end > from) {
				concurrent++
			}
		}
		span := until - from
		if concurrent > n {
			span = time.Duration(float64(span) * float64(n) / float64(concurrent))
		}
		done += span
	}
	return done
}

// busy records that a load was in progress at a time. If the loads beside it leave a store of the assumed
// concurrency enough time to have finished it, the store serves fewer.
func (l *storeLearner) busy(now, at Time, load *storeLoad) {
	load.busyAt = max(load.busyAt, at)
	if !load.certain {
		return
	}
	nominal := time.Duration(float64(load.nominal) * (1 + loadTolerance))
	n := l.upper()
	for n > 1 && l.progress(load.start, load.busyAt, n, true) > nominal {
		n--
	}
	if n == 1 && l.progress(load.start, load.busyAt, 1, true) > nominal {
		// Not even a store that serves one load at a time explains it: the load itself is stuck.
		load.certain = false
		return
	}
	// One load that takes longer than the others have shown may be stuck; two are not.
	if n < l.proven && (l.slow == nil || l.slow == load) {
		l.slow, n = load, l.proven
	}
	if n < l.upper() {
		l.ceiling, l.ceilingSet, l.contradicting = n, now, 0
		l.proven = min(l.proven, n)
	}
}

// complete records that a load was seen to have ended. If a store of a lower concurrency could not have
// finished it by now, the store serves at least as many.
func (l *storeLearner) complete(now Time, load *storeLoad) {
	load.done = true
	// A load at full speed ended on time, and was seen to only later.
	load.end = min(now, max(load.busyAt, load.start+load.nominal))
	nominal := time.Duration(float64(load.nominal) * (1 - loadTolerance))
	if load.certain && now-load.start >= nominal {
		n := 1
		for n < maxStoreConcurrency && l.progress(load.start, now, n, false) < nominal {
			n++
		}
		l.prove(now, n)
	}
	l.prune()
}

// prove records that the store serves n loads at full speed. A ceiling below is raised at the second load
// that it does not explain: the first may have been a load that was faster than configured.
func (l *storeLearner) prove(now Time, n int) {
	if l.ceiling > 0 && n > l.ceiling {
		l.contradicting++
		if l.contradicting < 2 {
			return
		}
		l.ceiling, l.ceilingSet, l.contradicting = n, now, 0
	}
	if n >= l.proven {
		l.proven, l.slow = n, nil
	}
}

// upper returns the most loads at once that the store may serve at full speed by what is known.
func (l *storeLearner) upper() int {
	if l.ceiling > 0 {
		return l.ceiling
	}
	return maxStoreConcurrency
}

// settled returns how many loads may be in progress at once without a trial. nominal is the
// configured time of the longest load.
func (l *storeLearner) settled(nominal time.Duration) int {
	return min(max(firstLoads(nominal), l.proven), l.upper())
}

// firstLoads returns how many loads may be in progress at once while nothing is known.
func firstLoads(nominal time.Duration) int {
	if nominal <= 0 {
		return maxFirstLoads
	}
	return min(maxFirstLoads, max(1, int(firstLoadsEnd/nominal)))
}

// limit returns how many loads may be in progress at once, with one more than is proven as a trial.
func (l *storeLearner) limit(now Time, nominal time.Duration) int {
	if l.ceiling > 0 && l.ceiling < maxStoreConcurrency && now-l.ceilingSet >= ceilingTTL {
		l.ceiling, l.ceilingSet, l.contradicting = l.ceiling+1, now, 0
	}
	limit := l.settled(nominal)
	if l.proven >= limit && (nominal <= shortLoad || l.endsWithin(now, lateProbe)) {
		limit = l.proven + 1
	}
	return min(limit, l.upper())
}

// endsWithin reports whether the oldest certain load in progress should end within a time, at full speed.
func (l *storeLearner) endsWithin(now Time, d time.Duration) bool {
	for _, o := range l.loads {
		if !o.done && o.certain {
			return o.start+o.nominal <= now+d
		}
	}
	return false
}

// store returns what is known of a service's weight store.
func (c *Core) store(service string) *storeLearner {
	l := c.stores[service]
	if l == nil {
		l = &storeLearner{}
		c.stores[service] = l
	}
	return l
}

// boundedByStore bounds a number of concurrent loads by the setting, 0: no bound.
func (c *Core) boundedByStore(n int) int {
	if bound := c.settings.StoreConcurrency; bound > 0 {
		return min(n, bound)
	}
	return n
}

// followStoreLoad records what a runner's report says of its load from the store.
func (c *Core) followStoreLoad(u *upstream, r Report, took time.Duration) {
	c.succeeds = c.succeeds || r.Sequence > 0 && c.now < reportsSettle && u.lastAccepted == 0
	switch {
	case !r.Busy:
		u.lastIdle = c.now
		o := u.executing
		c.endStoreLoad(u, o != nil && o.fromStore && containsModel(r.Models, o.order.Model))
	case u.load == nil && u.executing == nil && u.isRunner(c):
		// An order of another term, or one whose answer was lost, may be a load from the store.
		u.load = c.store(u.state.Service).beginUncertain(u.lastIdle)
	case u.load != nil:
		c.store(u.state.Service).busy(c.now, c.now-reportLag-took, u.load)
	}
}

// recordLoadAnswer records what the answer to an order says of a load from the store.
func (c *Core) recordLoadAnswer(u *upstream, o *sentOrder, result OrderResult) {
	switch {
	case !o.fromStore || u.load == nil || result == OrderAccepted:
	case result == OrderUnknown:
		u.load.certain = false
	default:
		c.store(u.state.Service).drop(u.load)
		u.load = nil
	}
}

// endStoreLoad records that a runner loads nothing from the store any more; completed is set if a load was
// seen to have ended as ordered.
func (c *Core) endStoreLoad(u *upstream, completed bool) {
	if u.load == nil {
		return
	}
	l := c.store(u.state.Service)
	if completed {
		l.complete(c.now, u.load)
	} else {
		l.abort(c.now, u.load)
	}
	u.load = nil
}
