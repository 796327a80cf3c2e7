package orders

import (
	"slices"

	"gentiankeel/internal/placement"
)

// findHold returns the hold that an order made or is open on.
func (n *node) findHold(orderID string) *hold {
	for _, h := range n.holds {
		if h.load.GetId() == orderID || h.open != nil && h.open.o.GetId() == orderID {
			return h
		}
	}
	return nil
}

// holdOf returns the hold of a model or adapter.
func (n *node) holdOf(model, adapter string) *hold {
	for _, h := range n.holds {
		if h.load.GetModel() == model && h.load.GetAdapter() == adapter {
			return h
		}
	}
	return nil
}

// addHold takes a hold in and counts it.
func (c *Core) addHold(n *node, h *hold) {
	n.holds = append(n.holds, h)
	n.dirty = true
	if h.load.GetAdapter() != "" {
		return
	}
	model := h.load.GetModel()
	if _, ok := c.grown[model]; !ok {
		c.grown[model] = c.counts[model]
	}
	c.counts[model]++
}

// removeHold lets go of a hold; the adapters of a model go with it.
func (c *Core) removeHold(n *node, h *hold) {
	c.dropHolds(n, func(o *hold) bool { return o == h || o.isOn(h) })
}

func (c *Core) dropHolds(n *node, gone func(*hold) bool) {
	n.dirty = true
	n.holds = slices.DeleteFunc(n.holds, func(h *hold) bool {
		if !gone(h) {
			return false
		}
		if h.load.GetAdapter() == "" {
			c.counts[h.load.GetModel()]--
		}
		return true
	})
}

// replicas counts the replicas of a model that hold a slot of the applied file, with
// those held without a decision.
func (c *Core) replicas(model string) int {
	count := c.counts[model]
	for _, n := range c.order {
		for i := range n.strays {
			if n.strays[i].Model == model && n.strays[i].Adapter == "" {
				count++
			}
		}
	}
	return count
}

// isOn tells whether h is an adapter on the model m.
func (h *hold) isOn(m *hold) bool {
	return h.load.GetAdapter() != "" && m.load.GetAdapter() == "" &&
		h.load.GetModel() == m.load.GetModel() && h.load.GetIncarnation() == m.load.GetIncarnation()
}

// adaptersOpen tells whether an order is open on an adapter of a model.
func (n *node) adaptersOpen(m *hold) bool {
	return slices.ContainsFunc(n.holds, func(h *hold) bool { return h.isOn(m) && (h.open != nil || h.lost != nil) })
}

func (h *hold) subject() placement.Subject {
	return placement.Subject{Model: h.load.GetModel(), Adapter: h.load.GetAdapter()}
}

// block holds off loads of a model or adapter for the longest life of an unload that was
// sent: a late copy of it would hit the new replica.
func (c *Core) block(n *node, s placement.Subject) {
	if n.blocked == nil {
		n.blocked = map[placement.Subject]Time{}
	}
	n.blocked[s] = c.now + c.o.OrderLife
}

func (c *Core) isBlocked(n *node, s placement.Subject) bool {
	until, ok := n.blocked[s]
	if ok && c.now >= until {
		delete(n.blocked, s)
	}
	return ok && c.now < until || c.restarted && c.now < c.startAt+c.o.OrderLife
}
