package dispatch

import (
	"slices"
	"time"
)

// softwareMergeTime is how long versions of software that a new coordinator does not know are still
// taken to run: within it the coordinator hears from every upstream.
const softwareMergeTime = 5 * time.Second

// rebirthTime is how long after the end of its process an upstream that is still published has been heard
// from since. It exceeds the delay of a heartbeat.
const rebirthTime = 6 * time.Second

// firstHeartbeatTime is how long after the start of its term a coordinator may take an upstream that has restarted
// for the old one. It exceeds the interval of heartbeats.
const firstHeartbeatTime = 1500 * time.Millisecond

type serviceSoftware struct{ service, version string }

// fleetSoftware is what the coordinator says of the software that the fleet runs.
type fleetSoftware struct {
	versions   map[serviceSoftware]softwareState
	attachedAt Time // when the coordinator sent its snapshot
	knownFrom  Time // when the first coordinator has heard from all upstreams, if term is set
	updatedAt  Time // when it last sent anything
	inContact  bool // a coordinator is attached
	term       uint64
	// trustedFrom is when the coordinator has heard from all upstreams that have restarted before its term.
	trustedFrom Time
}

type softwareState struct {
	leaving bool // all upstreams that run it leave
	listed  bool // in the newest list
}

// applySoftware adopts the software of the fleet. What a new coordinator does not list yet is kept for
// softwareMergeTime.
func (c *Core) applySoftware(up *Update) {
	if up.Snapshot {
		if c.software.term == 0 {
			c.software.knownFrom = c.now + firstHeartbeatTime
		} else if c.software.term != up.Term {
			c.software.trustedFrom = c.now + firstHeartbeatTime
		}
		c.software.attachedAt, c.software.inContact, c.software.term = c.now, true, up.Term
	}
	if !up.HasSoftware {
		return
	}
	next := map[serviceSoftware]softwareState{}
	if c.now < c.software.attachedAt+softwareMergeTime {
		for k, v := range c.software.versions {
			v.listed = false
			next[k] = v
		}
	}
	for _, s := range up.Software {
		next[serviceSoftware{s.Service, s.Version}] = softwareState{leaving: s.Leaving, listed: true}
	}
	c.software.versions = next
}

// runsElsewhere reports whether the fleet runs a version of a service's software that ok accepts, on
// upstreams that this entry may not know.
func (c *Core) runsElsewhere(service string, ok func(version string, leaving bool) bool) bool {
	for k, v := range c.software.versions {
		if k.service == service && (v.listed || c.now < c.software.attachedAt+softwareMergeTime) && ok(k.version, v.leaving) {
			return true
		}
	}
	return false
}

// hasUpstream reports whether the service has an upstream that takes requests.
func (c *Core) hasUpstream(service string) bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool { return u.state.Service == service && !c.isLeaving(u) }) ||
		c.runsElsewhere(service, func(_ string, leaving bool) bool { return !leaving })
}

// hasSoftware reports whether any upstream of the service that takes requests runs a version
// of the software.
func (c *Core) hasSoftware(service, software string) bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool {
		return u.state.Service == service && u.state.Software == software && !c.isLeaving(u)
	}) || c.runsElsewhere(service, func(version string, leaving bool) bool { return version == software && !leaving })
}

// hasOtherSoftware reports whether any upstream of the service that takes requests runs another
// version of the software than those excluded.
func (c *Core) hasOtherSoftware(service string, excluded map[string]bool) bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool {
		return u.state.Service == service && !excluded[u.state.Software] && !c.isLeaving(u)
	}) || c.runsElsewhere(service, func(version string, leaving bool) bool { return !excluded[version] && !leaving })
}

// RecordEnded records a sign that the process of an incarnation has ended, seen at the given time: a connection
// was refused. Its successor may have its id and address, and other software.
func (c *Core) RecordEnded(now Time, id string, bornUnixMs int64, seenAt Time) {
	c.beginEvent(now)
	if u := c.byID[id]; u != nil && u.state.BornUnixMs == bornUnixMs {
		u.hasEnded, u.endedAt = true, min(seenAt, c.now)
	}
}

// mayBeReborn reports whether another process may run at the address of an upstream that was seen to end: the
// coordinator has not heard of it yet, or has not said so.
func (c *Core) mayBeReborn(u *upstream) bool {
	return u.hasEnded && c.software.updatedAt < max(u.endedAt, c.software.attachedAt)+rebirthTime
}

// LoseContact records that no coordinator is attached, so that upstreams may restart unnoticed.
func (c *Core) LoseContact(now Time) {
	c.beginEvent(now)
	c.software.inContact = false
}

// isInTouch reports whether a coordinator is attached that has heard from all upstreams.
func (c *Core) isInTouch() bool { return c.software.inContact && c.now >= c.software.trustedFrom }

// surelyRuns reports whether an upstream runs a version of the software. One that may have restarted unnoticed does if
// the service has no other version.
func (c *Core) surelyRuns(u *upstream, software string) bool {
	if u.state.Software != software {
		return false
	}
	if c.isInTouch() && !c.mayBeReborn(u) {
		return true
	}
	_, ok := c.OnlySoftware(u.state.Service)
	return ok
}

// KnowsSoftware reports whether what was sent to an incarnation at the given time surely ran on the software that was
// published for it. That may become known later; isLasting is set if it can't.
func (c *Core) KnowsSoftware(now Time, t *Target, sentAt Time) (ok, isLasting bool) {
	c.beginEvent(now)
	u := c.byID[t.ID]
	if u == nil {
		return false, true
	}
	if u.state.BornUnixMs != t.BornUnixMs {
		return u.state.Software == t.Software, true
	}
	if c.mayBeReborn(u) && sentAt >= u.endedAt {
		return false, false
	}
	_, isOnly := c.OnlySoftware(u.state.Service)
	return isOnly || c.isInTouch(), false
}

// OnlySoftware returns the version of the software that all upstreams of the service run, and
// false if there are several or none.
func (c *Core) OnlySoftware(service string) (software string, ok bool) {
	versions := map[string]bool{}
	for _, u := range c.upstreams {
		if u.state.Service == service {
			versions[u.state.Software] = true
		}
	}
	c.runsElsewhere(service, func(version string, _ bool) bool {
		versions[version] = true
		return false // so that all are seen
	})
	if len(versions) != 1 {
		return "", false
	}
	for software = range versions {
		return software, true
	}
	return "", false
}

// UntilAllKnown returns the time until the coordinator has heard from all upstreams, so that OnlySoftware misses no
// version; 0 if it has. An entry that has just started knows no versions of its own.
func (c *Core) UntilAllKnown(now Time) time.Duration {
	c.beginEvent(now)
	if c.software.term == 0 {
		return firstHeartbeatTime
	}
	return max(c.software.knownFrom-c.now, 0)
}

// SoftwareVersions returns the versions of the software of the upstreams that take requests for a
// model, sorted; for any request of the service if model is empty.
func (c *Core) SoftwareVersions(service, model string) []string {
	var out []string
	for _, u := range c.upstreams {
		if u.state.Service == service && !c.isLeaving(u) && (model == "" || u.models[model] != nil) &&
			!slices.Contains(out, u.state.Software) {
			out = append(out, u.state.Software)
		}
	}
	slices.Sort(out)
	return out
}
