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
	isKept   bool                            // false until a record is restored: versions need not be committed
	ended    map[streamorigin.Version]uint32 // recorded versions by how long ago they ended, in ms; 0: some run
	complete bool                            // as committed in this term
	heardAll Time                            // when all upstreams should have been heard from in this term
	wanted   bool                            // upstreams wait for it
	pending  bool                            // a record is being committed
	nextLook Time                            // when the versions are compared with it again
}

// restoreSoftware adopts the record of earlier terms. How long ago it was committed is not known, so that versions which ran
// then count as if they ran until now.
func (c *Core) restoreSoftware(ev SoftwareRestored) {
	heardAll := c.now + firstHeartbeatTime
	c.record = softwareRecord{isKept: true, ended: map[streamorigin.Version]uint32{}, heardAll: heardAll, nextLook: heardAll}
	for _, s := range ev.Versions {
		v := streamorigin.Version{Service: s.Service, Software: s.Version}
		c.record.ended[v] = s.EndedMs
		c.versions.See(c.now-Time(s.EndedMs)*time.Millisecond, v)
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
// know from an earlier coordinator is published. One whose software can't be recorded never is.
func (c *Core) awaitsRecord(u *upstream) bool {
	if !c.record.isKept {
		return false
	}
	if !(&wire.ServiceSoftware{Service: u.state.Service, Version: u.state.Software}).IsRecordable() {
		return true
	}
	if u.fromEntries || u.published != nil && u.published.Software == u.state.Software {
		return false
	}
	endedMs, isRecorded := c.record.ended[streamorigin.Version{Service: u.state.Service, Software: u.state.Software}]
	return !isRecorded || endedMs > 0
}

// recordSoftware commits the versions of software if they differ from the record: at once if upstreams wait for that.
func (c *Core) recordSoftware() {
	if !c.record.isKept || c.record.pending || c.now < c.record.nextLook && !c.record.wanted {
		return
	}
	c.record.nextLook, c.record.wanted = c.now+softwareInterval, false
	next := &wire.SoftwareRecord{Complete: c.record.complete || c.AllSoftwareKnown() >= streamorigin.TTL}
	for _, s := range c.Software() {
		if !s.IsRecordable() {
			continue
		}
		v := &wire.ServiceSoftware{Service: s.Service, Version: s.Version, EndedMs: s.EndedMs}
		if endedMs, isRecorded := c.record.ended[streamorigin.Version{Service: s.Service, Software: s.Version}]; isRecorded && c.now < c.record.heardAll {
			v.EndedMs = endedMs
		}
		next.Versions = append(next.Versions, v)
	}
	if c.record.differsFrom(next) {
		c.record.pending = true
		c.emit(RecordSoftware{next})
	}
}

// differsFrom reports whether a record would say more than the one committed.
func (r *softwareRecord) differsFrom(next *wire.SoftwareRecord) bool {
	if next.Complete != r.complete || len(next.Versions) != len(r.ended) {
		return true
	}
	return slices.ContainsFunc(next.Versions, func(s *wire.ServiceSoftware) bool {
		endedMs, isRecorded := r.ended[streamorigin.Version{Service: s.Service, Software: s.Version}]
		return !isRecorded || (endedMs == 0) != (s.EndedMs == 0) || s.EndedMs >= endedMs+uint32(recordAgeStep.Milliseconds())
	})
}

// handleRecorded publishes the upstreams that waited for the record.
func (c *Core) handleRecorded(ev SoftwareRecorded) {
	c.record.pending = false
	if ev.Failed {
		c.record.nextLook = c.now + recordRetryInterval
		return
	}
	c.record.complete = ev.Record.Complete
	clear(c.record.ended)
	for _, s := range ev.Record.Versions {
		c.record.ended[streamorigin.Version{Service: s.Service, Software: s.Version}] = s.EndedMs
	}
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
		k := streamorigin.Version{Service: u.state.Service, Software: u.state.Software}
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
		c.versions.See(c.now-Time(s.EndedMs)*time.Millisecond, streamorigin.Version{Service: s.Service, Software: s.Version})
		c.softwareStale = true
	}
}
