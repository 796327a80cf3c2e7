package fleet

import (
	"cmp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/wire"
)

// Software returns the versions of software that the upstreams of each service run, sorted. Entries are
// told of them apart from the upstreams, of which they know few.
func (c *Core) Software() []*wire.ServiceSoftware {
	type key struct{ service, version string }
	leaving := map[key]bool{}
	for _, u := range c.byID {
		k := key{u.state.Service, u.state.Software}
		known, listed := leaving[k]
		leaving[k] = (known || !listed) && u.state.Phase == wire.UpstreamPhase_PHASE_DRAINING
	}
	out := make([]*wire.ServiceSoftware, 0, len(leaving))
	for k, l := range leaving {
		out = append(out, &wire.ServiceSoftware{Service: k.service, Version: k.version, Leaving: l})
	}
	slices.SortFunc(out, func(a, b *wire.ServiceSoftware) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
	})
	return out
}

// publishSoftware announces the software if it has changed since the last time.
func (c *Core) publishSoftware() {
	if !c.softwareStale {
		return
	}
	c.softwareStale = false
	now := c.Software()
	if slices.EqualFunc(now, c.software, func(a, b *wire.ServiceSoftware) bool { return proto.Equal(a, b) }) {
		return
	}
	c.software = now
	c.emit(PublishSoftware{now})
}
