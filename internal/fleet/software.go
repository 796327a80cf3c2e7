package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// softwareInterval is the longest time between two looks at the versions that run, so that it is known until when one did.
const softwareInterval = time.Second

// recordRetryInterval is the pause after a failed commit of the versions of software.
const recordRetryInterval = 100 * time.Millisecond

// recordAgeStep is by how much the age of a version that has ended may differ from the one recorded. A successor that was told no
// more counts from there.
const recordAgeStep = 10 * time.Second

// firstHeartbeatTime is how long after its start a term may not have heard from all upstreams. It exceeds the interval of
// heartbeats.
const firstHeartbeatTime = 1500 * time.Millisecond

// softwareRecord is what the log says of the versions of software. Without it, a coordinator that begins after a version has
// ended would take those that it hears of for all.
type softwareRecord struct {
	isKept   bool         // false until a record is restored: versions need not be committed
	ended    recordedAges // as committed
	pending  recordedAges // being committed; nil: none
	complete bool         // as committed in this term
	heardAll Time         // when all upstreams should have been heard from in this term
	wanted   bool         // it lacks a version that entries know or wait for
	nextLook Time         // when the versions are compared with it again
	retryAt  Time         // earliest next commit after one that failed
}

// recordedAges holds versions of software by how long ago they ended, in ms; 0: some run.
type recordedAges map[streamorigin.Version]uint32

func newRecordedAges(list []*wire.ServiceSoftware) recordedAges {
	ages := recordedAges{}
	for _, s := range list {
		ages[streamorigin.Version{Service: s.Service, Software: s.Version}] = s.EndedMs
	}
	return ages
}

// runs reports whether a version is recorded as running.
func (r recordedAges) runs(v streamorigin.Version) bool {
	endedMs, isRecorded := r[v]
	return isRecorded && endedMs == 0
}

func versionOf(s *wire.UpstreamState) streamorigin.Version {
	return streamorigin.Version{Service: s.Service, Software: s.Software}
}

// isRecordable reports whether the log takes the names of an upstream's service and software.
func isRecordable(s *wire.UpstreamState) bool {
	return (&wire.ServiceSoftware{Service: s.Service, Version: s.Software}).IsRecordable()
}

// restoreSoftware adopts the record of earlier terms. How long ago it was committed is not known, so that versions which ran
// then count as if they ran until now.
func (c *Core) restoreSoftware(ev SoftwareRestored) {
	heardAll := c.now + firstHeartbeatTime
	c.record = softwareRecord{isKept: true, ended: newRecordedAges(ev.Versions), heardAll: heardAll, nextLook: heardAll}
	for v, endedMs := range c.record.ended {
		c.versions.See(c.now-Time(endedMs)*time.Millisecond, v)
	}
	if ev.Complete {
		c.record.wanted = !ev.Recorded // before the first configuration, after which a log without one is incomplete
		c.versions.HasAllSince(c.now - streamorigin.TTL)
	} else {
		c.versions.HasAllSince(heardAll)
	}
	c.softwareStale = true
}

// awaitsRecord reports whether an upstream must not be published yet, because its software is not recorded. One that entries
// know from an earlier coordinator is published.
func (c *Core) awaitsRecord(u *upstream) bool {
	if !c.record.isKept || u.isKnown || u.published != nil && u.published.Software == u.state.Software {
		return false
	}
	v := versionOf(u.state)
	return !c.record.ended.runs(v) || c.record.pending != nil && !c.record.pending.runs(v)
}

// recordSoftware commits the versions of software if they differ from the record: at once if that lacks one.
func (c *Core) recordSoftware() {
	r := &c.record
	if !r.isKept || r.pending != nil || c.now < r.retryAt || c.now < r.nextLook && !r.wanted {
		return
	}
	r.nextLook, r.wanted = c.now+softwareInterval, false
	next := &wire.SoftwareRecord{Complete: r.complete || c.AllSoftwareKnown() >= streamorigin.TTL}
	for _, s := range c.Software() {
		v := &wire.ServiceSoftware{Service: s.Service, Version: s.Version, EndedMs: s.EndedMs}
		if c.now < r.heardAll && r.ended.runs(streamorigin.Version{Service: s.Service, Software: s.Version}) {
			v.EndedMs = 0
		}
		next.Versions = append(next.Versions, v)
	}
	if r.differsFrom(next) {
		r.pending = newRecordedAges(next.Versions)
		c.emit(RecordSoftware{next})
	}
}

// differsFrom reports whether a record would say anything else than the one committed, but for ages that have grown little.
func (r *softwareRecord) differsFrom(next *wire.SoftwareRecord) bool {
	if next.Complete != r.complete || len(next.Versions) != len(r.ended) {
		return true
	}
	return slices.ContainsFunc(next.Versions, func(s *wire.ServiceSoftware) bool {
		endedMs, isRecorded := r.ended[streamorigin.Version{Service: s.Service, Software: s.Version}]
		return !isRecorded || (endedMs == 0) != (s.EndedMs == 0) || s.EndedMs < endedMs ||
			s.EndedMs >= endedMs+uint32(recordAgeStep.Milliseconds())
	})
}

// handleRecorded publishes the upstreams that waited for the record.
func (c *Core) handleRecorded(ev SoftwareRecorded) {
	c.record.pending = nil
	if ev.Failed {
		c.record.retryAt, c.record.wanted = c.now+recordRetryInterval, true
		return
	}
	c.record.ended, c.record.complete = newRecordedAges(ev.Record.Versions), ev.Record.Complete
	for _, u := range c.upstreamsByID() {
		if u.published == nil || u.published.Software != u.state.Software {
			c.publish(u)
		}
	}
	// An entry must not begin a stream at a version of which another one, that is asked for the stream, has not heard.
	c.publishSoftware()
}

// Software returns the versions of software that the upstreams of each service run or ran lately, sorted. Entries are
// told of them apart from the upstreams, of which they know few.
func (c *Core) Software() []*wire.ServiceSoftware {
	leaving := map[streamorigin.Version]bool{}
	for _, u := range c.byID {
		k := versionOf(u.state)
		c.versions.See(c.now, k)
		known, listed := leaving[k]
		leaving[k] = (known || !listed) && u.state.Phase == wire.UpstreamPhase_PHASE_DRAINING
	}
	var out []*wire.ServiceSoftware
	c.versions.Each(c.now, func(v streamorigin.Version, age Time) {
		isLeaving, runs := leaving[v]
		s := &wire.ServiceSoftware{Service: v.Service, Version: v.Software, Leaving: isLeaving || !runs}
		if !runs {
			s.EndedMs = uint32(max(age.Milliseconds(), 1))
		}
		out = append(out, s)
	})
	slices.SortFunc(out, func(a, b *wire.ServiceSoftware) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
	})
	return out
}

// AllSoftwareKnown returns for how long Software misses no version that ran, at most a minute, at which it is complete.
func (c *Core) AllSoftwareKnown() time.Duration { return c.versions.AllKnown(c.now) }

// HasSeveralVersions reports whether several versions of the software of one service run or ran lately.
func (c *Core) HasSeveralVersions() bool {
	seen := map[string]bool{}
	several := false
	c.versions.Each(c.now, func(v streamorigin.Version, _ Time) {
		several = several || seen[v.Service]
		seen[v.Service] = true
	})
	return several
}

// publishSoftware announces the software if it has changed since the last time.
func (c *Core) publishSoftware() {
	if !c.softwareStale && c.now < c.nextSoftware {
		return
	}
	c.nextSoftware = c.now + softwareInterval
	c.versions.Expire(c.now)
	c.softwareStale = false
	now := c.Software()
	if slices.EqualFunc(now, c.software, func(a, b *wire.ServiceSoftware) bool {
		return a.Service == b.Service && a.Version == b.Version && a.Leaving == b.Leaving && (a.EndedMs > 0) == (b.EndedMs > 0)
	}) {
		return
	}
	c.software = now
	c.emit(PublishSoftware{now})
}

// mergeSoftware adopts the versions of software that ran lately as an entry knew them.
func (c *Core) mergeSoftware(list []*wire.ServiceSoftware) {
	for _, s := range list {
		if !s.IsRecordable() {
			continue
		}
		v := streamorigin.Version{Service: s.Service, Software: s.Version}
		c.versions.See(c.now-Time(s.EndedMs)*time.Millisecond, v)
		c.softwareStale = true
		if _, isRecorded := c.record.ended[v]; !isRecorded {
			c.record.wanted = true
		}
	}
}
