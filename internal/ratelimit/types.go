// Package ratelimit keeps the requests to an upstream, or those of an organisation, within a limit
// over all entries. The acting coordinator grants permits at the rate of the limit to the entries that
// want them. An entry sends nothing to a limited upstream without a permit, so that entries which are
// cut off, restarted or suspended can't exceed the rate either.
//
// A permit for an upstream is for one request. One for an organisation is for a number of units, and
// Gate, the entry's side of organisations' quotas, collects as many as a request costs.
package ratelimit

import "time"

// Time is the monotonic time since an arbitrary start.
type Time = time.Duration

// Incarnation is one start of an upstream.
type Incarnation struct {
	Upstream   string // id
	BornUnixMs int64  // start, Unix time in milliseconds
}

// Subject is what a limit bounds: the requests to an incarnation of an upstream or, if Organisation is
// set, the units that an organisation uses.
type Subject struct {
	Incarnation
	Organisation string
}

// Quota is the limit of an organisation.
type Quota struct {
	PerSecond float64 // refill, in units a second; 0: no limit
	Burst     float64 // units that may be saved up
}

// Statement is what an answer of an upstream says about its limit.
type Statement struct {
	Limited   bool
	PerSecond float64 // requests that it takes from all entries together; valid if Limited is set
}

// Demand is how many permits an entry wants in total since it attached, those granted included. The
// fields below Urgent are used for organisations only. Totals only grow, so that a report that repeats
// them changes nothing.
type Demand struct {
	Wanted uint64
	Urgent uint64 // of these, those that requests wait for

	First    uint64 // units that the first waiting request lacks
	Known    uint64 // units granted in total, as far as the entry has heard
	Held     uint64 // of these, units that are held, or taken by requests that were not sent yet
	Returned uint64 // units in total that expired, or whose request did not run
	Charged  uint64 // units in total that were used without a permit, as by a request that is sent again
}

// Grant tells an entry about its permits.
type Grant struct {
	Incarnation
	Organisation string // if set, the permits are units of an organisation
	Granted      uint64 // in total since the entry attached
	Backlog      uint32 // permits that entries want and do not have
	Claimants    uint32 // entries that want them
	// Wait is the time until the entry can expect the units that its first waiting request lacks, and
	// Interval the time from one of its requests to the next. Used for organisations only.
	Wait     time.Duration
	Interval time.Duration
}

const (
	// minRate is the rate at which permits are granted for an upstream that takes fewer requests,
	// in requests a second. Only an answer tells when a limit ends.
	minRate = 0.25
	// burstTime is the time for which permits that nobody wants are saved up.
	burstTime = 250 * time.Millisecond
	// takeoverDelay is the time at the start of a term in which no permits are granted: the
	// previous coordinator may still grant some, until its lease has run out.
	takeoverDelay = time.Second
)

const (
	// quotaValidity is how long units may be used after they were granted. With the refill of that time,
	// a window of 8 s has a tenth more than its own.
	quotaValidity = 800 * time.Millisecond
	// recentGrants is the time whose grants count as used by an entry that detaches: what it may admit
	// without contact depends on what it admitted in the last offlineTime, from units that were granted
	// up to quotaValidity before that.
	recentGrants = 3 * time.Second
	// offlineTime is the time without contact in which an entry may admit what it admitted in as long a
	// time before.
	offlineTime = 2 * time.Second
	// goneTime is the time after which a detached entry no longer counts. One without contact stops to
	// serve before that.
	goneTime = 30 * time.Second
	// removedTime is how long the bucket of an organisation is kept that has no limit any more, so that
	// one that is removed and added again gets no burst by that.
	removedTime = 30 * time.Second
	// idleTime is the time without a report after which an entry's share of a quota is dropped.
	idleTime = 30 * time.Second
	// claimTime is the time for which an entry whose requests had to wait counts as a claimant.
	claimTime = time.Second
	// throttleTime is the time without a request that waits after which an organisation is no longer
	// throttled.
	throttleTime = 2 * time.Second
	// maxReturnAfter bounds the time after which a refused request is told to return.
	maxReturnAfter = 30 * time.Second
)

// rateOf returns the rate at which permits are granted under a limit, in requests a second.
func rateOf(perSecond float64) float64 { return max(perSecond, minRate) }

// minBurst is the least number of permits that may be saved up: one, and a part of the next one, so
// that nothing is lost while the first waits for the next check.
const minBurst = 1.5

// burstOf returns how many permits may be saved up under a limit.
func burstOf(perSecond float64) float64 { return max(minBurst, rateOf(perSecond)*burstTime.Seconds()) }

// Validity returns how long a permit may be used after it was granted. It is longer for lower
// rates, where an entry may have few requests to use it for.
func Validity(perSecond float64) time.Duration {
	const base, longest = time.Second, 8 * time.Second
	return min(base+time.Duration(2/rateOf(perSecond)*float64(time.Second)), longest)
}
