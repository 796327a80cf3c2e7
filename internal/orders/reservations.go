package orders

import (
	"slices"

	"gentiankeel/internal/placement"
)

// findByOrder returns the reservation that the order created or is open on, or nil.
func (u *trackedUpstream) findByOrder(orderID string) *reservation {
	for _, r := range u.reservations {
		if r.load.GetId() == orderID || r.open != nil && r.open.order.GetId() == orderID {
			return r
		}
	}
	return nil
}

// findReservation returns the reservation of a model or adapter, or nil.
func (u *trackedUpstream) findReservation(model, adapter string) *reservation {
	for _, r := range u.reservations {
		if r.load.GetModel() == model && r.load.GetAdapter() == adapter {
			return r
		}
	}
	return nil
}

// addReservation adds a reservation and updates the replica counts.
func (c *Core) addReservation(u *trackedUpstream, r *reservation) {
	u.reservations = append(u.reservations, r)
	u.dirty = true
	if r.load.GetAdapter() != "" {
		return
	}
	model := r.load.GetModel()
	if _, ok := c.countsBeforeStep[model]; !ok {
		c.countsBeforeStep[model] = c.replicaCounts[model]
	}
	c.replicaCounts[model]++
}

// removeReservation removes a reservation and, for a model, those of its adapters.
func (c *Core) removeReservation(u *trackedUpstream, r *reservation) {
	c.removeReservationsIf(u, func(other *reservation) bool { return other == r || other.isAdapterOf(r) })
}

func (c *Core) removeReservationsIf(u *trackedUpstream, matches func(*reservation) bool) {
	u.dirty = true
	u.reservations = slices.DeleteFunc(u.reservations, func(r *reservation) bool {
		if !matches(r) {
			return false
		}
		if r.load.GetAdapter() == "" {
			c.replicaCounts[r.load.GetModel()]--
		}
		return true
	})
}

// countReplicas returns the number of replicas of a model, orphans included.
func (c *Core) countReplicas(model string) int {
	count := c.replicaCounts[model]
	for _, u := range c.sortedUpstreams {
		for i := range u.orphans {
			if u.orphans[i].Model == model && u.orphans[i].Adapter == "" {
				count++
			}
		}
	}
	return count
}

// isAdapterOf reports whether r is an adapter on the model m.
func (r *reservation) isAdapterOf(m *reservation) bool {
	return r.load.GetAdapter() != "" && m.load.GetAdapter() == "" &&
		r.load.GetModel() == m.load.GetModel() && r.load.GetIncarnation() == m.load.GetIncarnation()
}

// hasOpenAdapterOrder reports whether an order is open on an adapter of the model m.
func (u *trackedUpstream) hasOpenAdapterOrder(m *reservation) bool {
	return slices.ContainsFunc(u.reservations, func(r *reservation) bool { return r.isAdapterOf(m) && (r.open != nil || r.lost != nil) })
}

func (r *reservation) subject() placement.Subject {
	return placement.Subject{Model: r.load.GetModel(), Adapter: r.load.GetAdapter()}
}

// blockLoads blocks loads of a model or adapter for OrderLife after an unload of it was
// sent: a late copy of the unload would remove the new replica.
func (c *Core) blockLoads(u *trackedUpstream, s placement.Subject) {
	if u.blockedUntil == nil {
		u.blockedUntil = map[placement.Subject]Time{}
	}
	u.blockedUntil[s] = c.now + c.opts.OrderLife
}

// isBlocked reports whether loads of a model or adapter must wait because an unload of it may
// still arrive, sent by this process or by an earlier one under the same fencing number.
func (c *Core) isBlocked(u *trackedUpstream, s placement.Subject) bool {
	until, ok := u.blockedUntil[s]
	if ok && c.now >= until {
		delete(u.blockedUntil, s)
	}
	return ok && c.now < until || c.restarted && c.now < c.startedAt+c.opts.OrderLife
}
