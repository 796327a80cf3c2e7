package orders

import (
	"slices"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// announced takes in an upstream's announcement. Older incarnations and sequence
// numbers are dropped; a new incarnation ends all that the old one held.
func (c *Core) announced(a upstream.Announcement) {
	if !c.started {
		c.early = append(c.early, a)
		return
	}
	if a.Cell != c.o.Cell {
		return
	}
	n, known := c.upstreams[a.ID]
	if known && c.isOld(n, &a) {
		return
	}
	if !known {
		n = c.node(a.ID)
	}
	if a.Incarnation != n.rec.GetIncarnation() {
		c.newIncarnation(n, &a)
	}
	n.announced = true
	n.sequence = a.Sequence
	n.leaving = n.leaving || a.Leaving
	c.seen(n)
	c.updateRecord(n, &a)
	c.takeState(n, &a)
	for _, e := range a.CacheEvents {
		c.act(GrantUpdate{grant.PrefixEvent{Upstream: a.ID, Number: e.Number, Prefix: e.Prefix, Evicted: e.Evicted}})
	}
	c.endSameAddress(n)
}

// takeState takes in the state of an announcement. A brief one has the load only; if the
// full one that it goes back to was missed, the state is read instead.
func (c *Core) takeState(n *node, a *upstream.Announcement) {
	if a.Brief {
		n.state.Running, n.state.Queued = a.State.Running, a.State.Queued
		if n.full != a.Full && a.Service == "" {
			n.full = a.Full
			n.readWant = true
		}
		return
	}
	n.full = a.Sequence
	n.setCheckpoints(a.State.Checkpoints)
	c.noteReport(n, &a.State)
	n.state = a.State
}

// Upstreams returns the number of upstreams that the core follows.
func (c *Core) Upstreams() int { return len(c.upstreams) }

func (c *Core) isOld(n *node, a *upstream.Announcement) bool {
	if c.o.disabled == mechOldAnnouncements {
		return false
	}
	if a.Incarnation != n.rec.GetIncarnation() {
		return a.Incarnation < n.rec.GetIncarnation()
	}
	return n.announced && a.Sequence <= n.sequence
}

// newIncarnation forgets what the old incarnation held. The log ends it with the
// registration; until then the memory and slots stay counted.
func (c *Core) newIncarnation(n *node, a *upstream.Announcement) {
	if n.rec.GetIncarnation() != 0 {
		c.act(GrantUpdate{grant.UpstreamGone{ID: a.ID, Incarnation: n.rec.GetIncarnation()}})
	}
	n.rec = record(a)
	n.registered = false
	n.leaving = false
	n.strays, n.unloaded, n.blocked = nil, nil, nil
	n.sequence, n.full = 0, 0
	n.granted = nil
	n.readWant = a.Service == ""
	n.reads = 0
	n.reading = false
	// No former holder knows this incarnation, so none of its orders can reach it.
	n.actFrom, n.confirmed = 0, false
	n.dropping = false
}

func record(a *upstream.Announcement) *wire.UpstreamRecord {
	return &wire.UpstreamRecord{
		Id: a.ID, Incarnation: a.Incarnation, Cell: a.Cell, Zone: a.Zone, Address: a.Address,
		MemoryMib: a.MemoryMiB, ChecksFencing: a.ChecksFencing, Slots: a.Slots, Service: a.Service,
	}
}

// updateRecord registers an upstream, and again when what survives of it has changed.
func (c *Core) updateRecord(n *node, a *upstream.Announcement) {
	rec := record(a)
	if n.registered && (rec.GetAddress() != n.rec.GetAddress() || rec.GetSlots() != n.rec.GetSlots()) {
		n.registered = false
	}
	n.rec = rec
}

// endSameAddress takes an upstream for dead when another one serves its address.
func (c *Core) endSameAddress(n *node) {
	for _, o := range c.order {
		silent := c.now-o.lastSeen >= c.o.SuspectAfter
		if o != n && o.rec.GetAddress() == n.rec.GetAddress() && !o.dropping && silent {
			c.drop(o)
		}
	}
}

func (n *node) setCheckpoints(cs []upstream.Checkpoint) {
	if n.tiers != nil && slices.Equal(cs, n.state.Checkpoints) {
		return
	}
	n.tiers = make(map[placement.CheckpointKey]wire.Tier, len(cs))
	for _, k := range cs {
		n.tiers[placement.CheckpointKey{Model: k.Model, Version: k.Version}] = upstream.ParseTier(k.Tier)
	}
}

// seen notes that an upstream lives.
func (c *Core) seen(n *node) {
	n.lastSeen = c.now
	n.unreached = false
	n.refused = 0
	n.suspect = false
}

// readFailed notes an upstream that did not answer.
func (c *Core) readFailed(ev ReadFailed) {
	n, ok := c.upstreams[ev.Upstream]
	if !ok || !n.reading {
		return
	}
	n.reading = false
	n.readWant = true
	n.readNext = c.now + c.o.ResendAfter
	c.unanswered(n, ev.Refused)
}

func (c *Core) unanswered(n *node, refused bool) {
	n.unreached = true
	if refused {
		n.refused++
	} else {
		n.refused = 0
	}
}

// refusedProbes is how many refused connections in a row show that no process serves
// an upstream's address any more.
const refusedProbes = 3

// watch looks at a silent upstream: a runner is probed, then suspected, and dropped only
// when it is known dead. A plain service holds nothing and is dropped after long silence.
func (c *Core) watch(n *node) {
	silent := c.now - n.lastSeen
	if silent < c.o.SuspectAfter || n.dropping {
		return
	}
	if n.rec.GetService() != "" {
		if silent >= c.o.ExpireAfter {
			c.drop(n)
		}
		return
	}
	n.readWant = true
	if n.suspect != n.unreached {
		n.suspect = n.unreached
		n.dirty = true
	}
	if c.isDead(n, silent) {
		c.drop(n)
	}
}

// isDead tells whether a silent upstream is known dead. Silence alone does not show
// it: it may go on holding its memory beyond a partition.
func (c *Core) isDead(n *node, silent Time) bool {
	if c.o.disabled == mechKnownDead {
		return silent >= c.o.ExpireAfter
	}
	if c.o.AssumeDeadAfter > 0 && silent >= c.o.AssumeDeadAfter {
		return true
	}
	if silent < c.o.ExpireAfter {
		return false
	}
	return n.leaving && n.unreached || n.refused >= refusedProbes
}

// drop ends an incarnation that is known dead.
func (c *Core) drop(n *node) {
	n.dropping = true
	n.suspect = true
	n.dirty = true
	c.act(GrantUpdate{grant.UpstreamGone{ID: n.rec.GetId(), Incarnation: n.rec.GetIncarnation()}})
	n.granted = nil
	c.proposeDrop(n)
}
