package fleet

import (
	"time"

	"gentiankeel/internal/suspect"
	"gentiankeel/internal/wire"
)

// suspectExpiryInterval is the time between two searches for traits to forget.
const suspectExpiryInterval = time.Second

func (u *upstream) incarnation() suspect.Incarnation {
	return suspect.Incarnation{Upstream: u.state.Id, BornUnixMs: u.state.BornUnixMs}
}

// handleRuns counts lost and answered runs. The end of an upstream that announced it is
// held against no request.
func (c *Core) handleRuns(ev RunsReported) {
	for _, l := range ev.Lost {
		if !c.isLeaving(l.Incarnation) {
			c.suspects.RecordLoss(c.now, l)
		}
	}
	for _, a := range ev.Answers {
		c.suspects.RecordAnswers(c.now, a)
	}
}

// isLeaving reports whether an incarnation has announced that it drains or leaves.
func (c *Core) isLeaving(inc suspect.Incarnation) bool {
	if u := c.byID[inc.Upstream]; u != nil && u.state.BornUnixMs == inc.BornUnixMs {
		return u.state.Phase == wire.UpstreamPhase_PHASE_DRAINING
	}
	return c.departures.known[inc] != nil
}

// maxHeartbeatDelay is the time by which a heartbeat is late at most, except on disturbed links.
const maxHeartbeatDelay = 500 * time.Millisecond

// recordEnd records that an upstream has ended. Had it been alive for longer after its last heartbeat,
// another one would have come. One that only entries told of was heard from by an earlier coordinator, at an
// unknown time.
func (c *Core) recordEnd(u *upstream) {
	lastHeard := u.lastHeartbeat
	if u.fromEntries {
		lastHeard -= c.settings.ForgetAfter
	}
	c.suspects.Ended(c.now, suspect.End{Incarnation: u.incarnation(), LastHeard: lastHeard,
		Latest:    min(c.now, u.lastHeartbeat+c.settings.HeartbeatInterval+maxHeartbeatDelay),
		Announced: u.state.Phase == wire.UpstreamPhase_PHASE_DRAINING})
}

// publishSuspects publishes and saves what the event has changed.
func (c *Core) publishSuspects() {
	c.suspects.Advance(c.now)
	if changes := c.suspects.TakeChanges(); len(changes) > 0 {
		c.emit(PublishSuspects{changes})
	}
	if unsaved := c.suspects.TakeUnsaved(); len(unsaved) > 0 {
		c.emit(SaveLosses{unsaved})
	}
}

// Suspects returns all suspect traits, as they are published to entries, sorted.
func (c *Core) Suspects() []suspect.Suspicion { return c.suspects.Suspicions() }
