package dispatch

import (
	"slices"
	"time"

	"gentiankeel/internal/streamorigin"
	"gentiankeel/internal/wire"
)

// softwareMergeTime is how long versions of software that a new coordinator does not know are still
// taken to run: within it the coordinator hears from every upstream.
const softwareMergeTime = 5 * time.Second

// firstHeartbeatTime is how long after the start of its term a coordinator may not have heard from all upstreams. It
// exceeds the interval of heartbeats.
const firstHeartbeatTime = 1500 * time.Millisecond

// fleetSoftware is what the coordinator says of the software that the fleet runs.
type fleetSoftware struct {
	versions    map[streamorigin.Version]softwareState
	attachedAt  Time // when the coordinator sent its snapshot
	heardAt     Time // when its last update came
	lately      *streamorigin.Versions
	knownFrom   Time // when the first coordinator has heard from all upstreams, if hasSnapshot is set
	hasSnapshot bool
}

type softwareState struct {
	leaving bool // all upstreams that run it leave
	listed  bool // in the newest list
}

// applySoftware adopts the software of the fleet. What a new coordinator does not list yet is kept for
// softwareMergeTime.
func (c *Core) applySoftware(up *Update) {
	if up.Snapshot {
		c.inheritSoftware(up)
	}
	c.software.heardAt = c.now
	if !up.HasSoftware {
		return
	}
	c.seeSoftware()
	next := map[streamorigin.Version]softwareState{}
	if c.now < c.software.attachedAt+softwareMergeTime {
		for k, v := range c.software.versions {
			v.listed = false
			next[k] = v
		}
	}
	for _, s := range up.Software {
		if s.EndedMs > 0 {
			c.software.lately.See(c.now-Time(s.EndedMs)*time.Millisecond, streamorigin.Version{Service: s.Service, Software: s.Version})
			continue
		}
		next[streamorigin.Version{Service: s.Service, Software: s.Version}] = softwareState{leaving: s.Leaving, listed: true}
	}
	c.software.versions = next
}

// inheritSoftware joins what a coordinator that sends its snapshot knows of earlier versions with what this entry knows. Versions that
// came and went between two coordinators are known only if the later one knows of that time.
func (c *Core) inheritSoftware(up *Update) {
	allSince := c.now - Time(up.SoftwareKnownMs)*time.Millisecond
	if up.SoftwareKnownMs == 0 { // an earlier build, or a term that has just begun without a record
		allSince = c.now + firstHeartbeatTime
	}
	if !c.software.hasSnapshot {
		c.software.hasSnapshot, c.software.knownFrom = true, c.now+firstHeartbeatTime
	} else if allSince <= c.software.heardAt {
		allSince = min(allSince, c.now-c.software.lately.AllKnown(c.now))
	}
	c.software.attachedAt = c.now
	c.software.lately.HasAllSince(allSince)
}

// runsElsewhere reports whether the fleet runs a version of a service's software that ok accepts, on
// upstreams that this entry may not know.
func (c *Core) runsElsewhere(service string, ok func(version string, leaving bool) bool) bool {
	for k, v := range c.software.versions {
		if k.Service == service && (v.listed || c.now < c.software.attachedAt+softwareMergeTime) && ok(k.Software, v.leaving) {
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
		return u.state.Service == service && u.runs(software) && !c.isLeaving(u)
	}) || c.runsElsewhere(service, func(version string, leaving bool) bool { return version == software && !leaving })
}

// hasOtherSoftware reports whether any upstream of the service that takes requests runs another
// version of the software than those excluded.
func (c *Core) hasOtherSoftware(service string, excluded map[string]bool) bool {
	return slices.ContainsFunc(c.upstreams, func(u *upstream) bool {
		return u.state.Service == service && !excluded[u.state.Software] && !c.isLeaving(u)
	}) || c.runsElsewhere(service, func(version string, leaving bool) bool { return !excluded[version] && !leaving })
}

// runs reports whether the upstream is known to run a version of the software.
func (u *upstream) runs(software string) bool { return u.state.Software == software && !u.isReplaced }

// RecordProcess records the start of the process that runs an attempt. If it is later than that of the published
// incarnation, the upstream still takes requests, but its software is not known until the process is published.
func (c *Core) RecordProcess(id uint64, bornUnixMs int64) {
	a := c.running[id]
	if a == nil {
		return
	}
	a.bornUnixMs = bornUnixMs
	if bornUnixMs >= a.target.state.BornUnixMs { // an earlier process may still serve its connections
		a.target.isReplaced = bornUnixMs > a.target.state.BornUnixMs
	}
}

// SoftwareOf returns the software of an incarnation; false if it is not the published one.
func (c *Core) SoftwareOf(id string, bornUnixMs int64) (software string, ok bool) {
	u := c.byID[id]
	if u == nil || u.state.BornUnixMs != bornUnixMs {
		return "", false
	}
	return u.state.Software, true
}

// seeSoftware records the versions that run now, as far as is known.
func (c *Core) seeSoftware() {
	for _, u := range c.upstreams {
		c.see(u)
	}
	for k, v := range c.software.versions {
		if v.listed || c.now < c.software.attachedAt+softwareMergeTime {
			c.software.lately.See(c.now, k)
		}
	}
	c.software.lately.Expire(c.now)
}

// RecentSoftware returns the versions of software that run or ran within the last minute, in no particular order.
func (c *Core) RecentSoftware() []*wire.ServiceSoftware {
	c.seeSoftware()
	var out []*wire.ServiceSoftware
	c.software.lately.Each(c.now, func(v streamorigin.Version, age Time) {
		out = append(out, &wire.ServiceSoftware{Service: v.Service, Version: v.Software, EndedMs: uint32(age.Milliseconds())})
	})
	return out
}

// SoftwareAges returns the versions of a service's software that run or ran within the last minute, with the time since they
// were seen last.
func (c *Core) SoftwareAges(service string) map[string]time.Duration {
	c.seeSoftware()
	ages := map[string]time.Duration{}
	c.software.lately.Each(c.now, func(v streamorigin.Version, age Time) {
		if v.Service == service {
			ages[v.Software] = age
		}
	})
	return ages
}

// see records that an upstream's version runs now.
func (c *Core) see(u *upstream) {
	c.software.lately.See(c.now, streamorigin.Version{Service: u.state.Service, Software: u.state.Software})
}

// OnlySoftware returns the version of the software that all upstreams of the service run and ran within the last
// minute, and false if there are several or none, or if a process of which nothing is published serves one of them.
func (c *Core) OnlySoftware(service string) (software string, ok bool) {
	if slices.ContainsFunc(c.upstreams, func(u *upstream) bool { return u.state.Service == service && u.isReplaced }) {
		return "", false
	}
	c.seeSoftware()
	count := 0
	c.software.lately.Each(c.now, func(v streamorigin.Version, _ Time) {
		if v.Service == service {
			software = v.Software
			count++
		}
	})
	return software, count == 1
}

// UntilOnlySoftware returns the time until OnlySoftware can tell, if nothing changes: until the versions that have ended are
// forgotten, or streamorigin.TTL if several run.
func (c *Core) UntilOnlySoftware(service string) time.Duration {
	c.seeSoftware()
	running, wait := 0, time.Duration(0)
	c.software.lately.Each(c.now, func(v streamorigin.Version, age Time) {
		switch {
		case v.Service != service:
		case age == 0:
			running++
		default:
			wait = max(wait, streamorigin.TTL-age)
		}
	})
	if running > 1 {
		return streamorigin.TTL
	}
	return wait
}

// UntilAllKnown returns the time until OnlySoftware misses no version that runs or ran within the last minute: until the first
// coordinator of this entry has heard from all upstreams, and until the memory of the one or the other is a minute old; 0 if it
// misses none.
func (c *Core) UntilAllKnown(now Time) time.Duration {
	if !c.software.hasSnapshot {
		return firstHeartbeatTime
	}
	return max(c.software.knownFrom-now, c.software.lately.UntilComplete(now))
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
