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
