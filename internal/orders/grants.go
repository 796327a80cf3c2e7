package orders

import (
	"maps"
	"slices"
	"strings"

	"gentiankeel/internal/grant"
)

// updateGrants tells the grant core what has changed in what it may use.
func (c *Core) updateGrants() {
	for _, n := range c.order {
		if !n.dirty || n.dropping || !c.isKnown(n) {
			continue
		}
		u := c.grantState(n)
		if n.granted != nil && sameGrant(n.granted, &u) {
			continue
		}
		n.granted = &u
		c.act(GrantUpdate{u})
	}
}

// isKnown tells whether an upstream was heard of in this term; what the log alone tells
// may be long past.
func (c *Core) isKnown(n *node) bool {
	return n.announced && n.registered && (n.rec.GetService() != "" || n.reads > 0)
}

func (c *Core) grantState(n *node) grant.UpstreamState {
	u := grant.UpstreamState{
		ID: n.rec.GetId(), Incarnation: n.rec.GetIncarnation(), Zone: n.rec.GetZone(),
		Address: n.rec.GetAddress(), Service: n.rec.GetService(), Slots: int(n.rec.GetSlots()),
		Leaving: n.leaving, ChecksFencing: n.rec.GetChecksFencing(), ReportedRunning: int(n.state.Running),
	}
	if !n.suspect {
		u.Ready = n.ready(c.o.disabled == mechDrainGrants)
	}
	return u
}

// ready lists the models with their adapters that may get requests, sorted by model.
func (n *node) ready(ignoreDrains bool) []grant.Ready {
	var ready []grant.Ready
	for _, h := range n.holds {
		if h.load.GetAdapter() == "" && n.serves(h, ignoreDrains) {
			ready = append(ready, grant.Ready{
				Model: h.load.GetModel(), Version: h.load.GetVersion(), Adapters: n.readyAdapters(h.load.GetModel(), ignoreDrains),
			})
		}
	}
	slices.SortFunc(ready, func(a, b grant.Ready) int { return strings.Compare(a.Model, b.Model) })
	return ready
}

func (n *node) readyAdapters(model string, ignoreDrains bool) map[string]string {
	var adapters map[string]string
	for _, h := range n.holds {
		if h.load.GetAdapter() == "" || h.load.GetModel() != model || !n.serves(h, ignoreDrains) {
			continue
		}
		if adapters == nil {
			adapters = map[string]string{}
		}
		adapters[h.load.GetAdapter()] = h.load.GetVersion()
	}
	return adapters
}

// serves tells whether requests may start on a hold: the upstream reported it as
// loaded, and nothing says that it shall go.
func (n *node) serves(h *hold, ignoreDrains bool) bool {
	if !n.isCurrent(h) || h.lost != nil {
		return false
	}
	if h.open == nil {
		return !h.draining || ignoreDrains
	}
	if h.loaded {
		return ignoreDrains && h.open.phase < phaseSent
	}
	return h.open.phase == phaseKnown && h.open.outcome == loadedState && !h.draining
}

// sameGrant compares all but the load report, which changes at every announcement.
func sameGrant(a, b *grant.UpstreamState) bool {
	if a.Incarnation != b.Incarnation || a.Address != b.Address || a.Slots != b.Slots ||
		a.Leaving != b.Leaving || a.ReportedRunning != b.ReportedRunning || a.ChecksFencing != b.ChecksFencing {
		return false
	}
	return slices.EqualFunc(a.Ready, b.Ready, func(x, y grant.Ready) bool {
		return x.Model == y.Model && x.Version == y.Version && maps.Equal(x.Adapters, y.Adapters)
	})
}
