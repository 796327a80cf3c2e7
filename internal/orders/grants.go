package orders

import (
	"maps"
	"slices"
	"strings"

	"gentiankeel/internal/grant"
)

// updateGrants sends the grant core the state of upstreams for which it has changed.
func (c *Core) updateGrants() {
	for _, u := range c.sortedUpstreams {
		if !u.dirty || u.dropping || !c.hasReported(u) {
			continue
		}
		update := c.grantState(u)
		if u.lastGrantUpdate != nil && sameGrantState(u.lastGrantUpdate, &update) {
			continue
		}
		u.lastGrantUpdate = &update
		c.emit(GrantUpdate{update})
	}
}

// hasReported reports whether an upstream is registered, has announced itself in this term
// and, if it is a runner, had its state read. What the log alone says may be out of date.
func (c *Core) hasReported(u *trackedUpstream) bool {
	return u.announced && u.registered && (u.record.GetService() != "" || u.readsAnswered > 0)
}

func (c *Core) grantState(u *trackedUpstream) grant.UpstreamState {
	update := grant.UpstreamState{
		ID: u.record.GetId(), Incarnation: u.record.GetIncarnation(), Zone: u.record.GetZone(),
		Address: u.record.GetAddress(), Service: u.record.GetService(), Slots: int(u.record.GetSlots()),
		Leaving: u.leaving, ChecksFencing: u.record.GetChecksFencing(), ReportedRunning: int(u.state.Running),
		MaxPerSecond: u.maxPerSecond,
	}
	if !u.suspect {
		update.Ready = u.readyModels(c.opts.disabled == mechanismDrainGrants)
	}
	return update
}

// readyModels returns the models that may get requests, with their adapters, sorted by
// model.
func (u *trackedUpstream) readyModels(ignoreDrains bool) []grant.Ready {
	var ready []grant.Ready
	for _, r := range u.reservations {
		if r.load.GetAdapter() == "" && u.isServing(r, ignoreDrains) {
			ready = append(ready, grant.Ready{
				Model: r.load.GetModel(), Version: r.load.GetVersion(), Adapters: u.readyAdapters(r.load.GetModel(), ignoreDrains),
			})
		}
	}
	slices.SortFunc(ready, func(a, b grant.Ready) int { return strings.Compare(a.Model, b.Model) })
	return ready
}

func (u *trackedUpstream) readyAdapters(model string, ignoreDrains bool) map[string]string {
	var adapters map[string]string
	for _, r := range u.reservations {
		if r.load.GetAdapter() == "" || r.load.GetModel() != model || !u.isServing(r, ignoreDrains) {
			continue
		}
		if adapters == nil {
			adapters = map[string]string{}
		}
		adapters[r.load.GetAdapter()] = r.load.GetVersion()
	}
	return adapters
}

// isServing reports whether requests may start on a reservation: the upstream reported it
// as loaded, and it is neither draining nor being unloaded.
func (u *trackedUpstream) isServing(r *reservation, ignoreDrains bool) bool {
	if !u.isCurrent(r) || r.lost != nil {
		return false
	}
	if r.open == nil {
		return !r.draining || ignoreDrains
	}
	if r.loaded {
		return ignoreDrains && r.open.phase < phaseSent
	}
	return r.open.phase == phaseOutcomeKnown && r.open.outcome == loadedState && !r.draining
}

func equalLimits(a, b *float64) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// sameGrantState reports whether two states of an upstream are equal for the grant core.
// Zone and service are fixed for an incarnation and not compared.
func sameGrantState(a, b *grant.UpstreamState) bool {
	if a.Incarnation != b.Incarnation || a.Address != b.Address || a.Slots != b.Slots ||
		!equalLimits(a.MaxPerSecond, b.MaxPerSecond) || a.Leaving != b.Leaving || a.ReportedRunning != b.ReportedRunning || a.ChecksFencing != b.ChecksFencing {
		return false
	}
	return slices.EqualFunc(a.Ready, b.Ready, func(x, y grant.Ready) bool {
		return x.Model == y.Model && x.Version == y.Version && maps.Equal(x.Adapters, y.Adapters)
	})
}
