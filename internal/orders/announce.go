package orders

import (
	"slices"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// handleAnnouncement applies an upstream's announcement. Older incarnations and sequence
// numbers are dropped; a new incarnation ends all reservations of the old one.
func (c *Core) handleAnnouncement(a upstream.Announcement) {
	if !c.started {
		c.earlyAnnouncements = append(c.earlyAnnouncements, a)
		return
	}
	if a.Cell != c.opts.Cell {
		return
	}
	u, known := c.upstreams[a.ID]
	if known && c.isStale(u, &a) {
		return
	}
	if !known {
		u = c.ensureUpstream(a.ID)
	}
	if a.Incarnation != u.record.GetIncarnation() {
		c.startIncarnation(u, &a)
	}
	u.announced = true
	u.sequence = a.Sequence
	u.leaving = u.leaving || a.Leaving
	if a.MaxPerSecond == nil || *a.MaxPerSecond >= 0 {
		u.maxPerSecond = a.MaxPerSecond
	}
	c.markAlive(u)
	c.updateRecord(u, &a)
	c.updateState(u, &a)
	for _, e := range a.CacheEvents {
		c.emit(GrantUpdate{grant.PrefixEvent{Upstream: a.ID, Number: e.Number, Prefix: e.Prefix, Evicted: e.Evicted}})
	}
	c.dropReplacedAtAddress(u)
}

// updateState applies the state in an announcement. A load-only announcement has just the
// numbers of running and queued requests and refers to a full one; if that one was missed,
// the state is read instead.
func (c *Core) updateState(u *trackedUpstream, a *upstream.Announcement) {
	if a.LoadOnly {
		u.state.Running, u.state.Queued = a.State.Running, a.State.Queued
		if u.lastFullSequence != a.FullSequence && a.Service == "" {
			u.lastFullSequence = a.FullSequence
			u.readWanted = true
		}
		return
	}
	u.lastFullSequence = a.Sequence
	u.setCheckpoints(a.State.Checkpoints)
	c.applyReport(u, &a.State)
	u.state = a.State
}

// UpstreamCount returns the number of tracked upstreams.
func (c *Core) UpstreamCount() int { return len(c.upstreams) }

// isStale reports whether an announcement is older than one that was handled before.
func (c *Core) isStale(u *trackedUpstream, a *upstream.Announcement) bool {
	if c.opts.disabled == mechanismStaleAnnouncements {
		return false
	}
	if a.Incarnation != u.record.GetIncarnation() {
		return a.Incarnation < u.record.GetIncarnation()
	}
	return u.announced && a.Sequence <= u.sequence
}

// startIncarnation resets the state of the old incarnation. Its reservations stay counted
// until the log has the registration of the new one, which ends them.
func (c *Core) startIncarnation(u *trackedUpstream, a *upstream.Announcement) {
	if u.record.GetIncarnation() != 0 {
		c.emit(GrantUpdate{grant.UpstreamGone{ID: a.ID, Incarnation: u.record.GetIncarnation()}})
	}
	u.record = newRecord(a)
	u.registered = false
	u.leaving, u.leavingProposed, u.leavingInLog = false, false, false
	u.orphans, u.unloadedOrphans, u.blockedUntil = nil, nil, nil
	u.sequence, u.lastFullSequence = 0, 0
	u.maxPerSecond = nil
	u.lastGrantUpdate = nil
	u.readWanted = a.Service == ""
	u.readsAnswered = 0
	u.readInFlight = false
	// No former lease holder has sent orders to this incarnation, so none can still arrive.
	u.ordersNotBefore, u.confirmed = 0, false
	u.dropping = false
}

func newRecord(a *upstream.Announcement) *wire.UpstreamRecord {
	return &wire.UpstreamRecord{
		Id: a.ID, Incarnation: a.Incarnation, Cell: a.Cell, Zone: a.Zone, Address: a.Address,
		MemoryMib: a.MemoryMiB, ChecksFencing: a.ChecksFencing, Slots: a.Slots, Service: a.Service,
	}
}

// updateRecord replaces the record. A change of the address or the slots, which may differ
// within an incarnation, is registered again.
func (c *Core) updateRecord(u *trackedUpstream, a *upstream.Announcement) {
	rec := newRecord(a)
	rec.Leaving = u.leaving
	if u.registered && (rec.GetAddress() != u.record.GetAddress() || rec.GetSlots() != u.record.GetSlots()) {
		u.registered = false
	}
	u.record = rec
}

// dropReplacedAtAddress drops silent upstreams with the address of u: another process
// serves it now.
func (c *Core) dropReplacedAtAddress(u *trackedUpstream) {
	for _, other := range c.sortedUpstreams {
		silent := c.now-other.lastSeen >= c.opts.SuspectAfter
		if other != u && other.record.GetAddress() == u.record.GetAddress() && !other.dropping && silent {
			c.dropUpstream(other)
		}
	}
}

func (u *trackedUpstream) setCheckpoints(cs []upstream.Checkpoint) {
	if u.checkpointTiers != nil && slices.Equal(cs, u.state.Checkpoints) {
		return
	}
	u.checkpointTiers = make(map[placement.CheckpointKey]wire.Tier, len(cs))
	for _, k := range cs {
		u.checkpointTiers[placement.CheckpointKey{Model: k.Model, Version: k.Version}] = upstream.ParseTier(k.Tier)
	}
}

// markAlive records that an upstream answered or announced itself.
func (c *Core) markAlive(u *trackedUpstream) {
	u.lastSeen = c.now
	u.unreachable = false
	u.consecutiveRefusals = 0
	u.suspect = false
}

// handleReadFailed records an unanswered read of an upstream's state and retries it.
func (c *Core) handleReadFailed(ev ReadFailed) {
	u, ok := c.upstreams[ev.Upstream]
	if !ok || !u.readInFlight {
		return
	}
	u.readInFlight = false
	u.readWanted = true
	u.nextRead = c.now + c.opts.ResendDelay
	c.recordProbeFailure(u, ev.ConnRefused)
}

func (c *Core) recordProbeFailure(u *trackedUpstream, refused bool) {
	u.unreachable = true
	if refused {
		u.consecutiveRefusals++
	} else {
		u.consecutiveRefusals = 0
	}
}

// refusalsUntilDead is the number of consecutive refused connections that prove that no
// process serves an upstream's address any more.
const refusalsUntilDead = 3

// checkLiveness checks a silent upstream. A runner is probed, then suspected, and dropped
// only when it is known dead. A plain service holds no memory and is dropped after
// ExpireAfter.
func (c *Core) checkLiveness(u *trackedUpstream) {
	silent := c.now - u.lastSeen
	if silent < c.opts.SuspectAfter || u.dropping {
		return
	}
	if u.record.GetService() != "" {
		if silent >= c.opts.ExpireAfter {
			c.dropUpstream(u)
		}
		return
	}
	u.readWanted = true
	if u.suspect != u.unreachable {
		u.suspect = u.unreachable
		u.dirty = true
	}
	if c.isKnownDead(u, silent) {
		c.dropUpstream(u)
	}
}

// isKnownDead reports whether a silent upstream is known dead. Silence alone does not
// prove it: a partitioned upstream may still hold its memory.
func (c *Core) isKnownDead(u *trackedUpstream, silent Time) bool {
	if c.opts.disabled == mechanismKnownDead {
		return silent >= c.opts.ExpireAfter
	}
	if c.opts.AssumeDeadAfter > 0 && silent >= c.opts.AssumeDeadAfter {
		return true
	}
	if silent < c.opts.ExpireAfter {
		return false
	}
	return u.leaving && u.unreachable || u.consecutiveRefusals >= refusalsUntilDead
}

// dropUpstream ends the grants on an incarnation that is known dead, replaced or, as a plain
// service, silent for ExpireAfter, and proposes its removal.
func (c *Core) dropUpstream(u *trackedUpstream) {
	u.dropping = true
	u.suspect = true
	u.dirty = true
	c.emit(GrantUpdate{grant.UpstreamGone{ID: u.record.GetId(), Incarnation: u.record.GetIncarnation()}})
	u.lastGrantUpdate = nil
	c.proposeDrop(u)
}
