package raft

import "fmt"

// watermark holds the values that must never decrease.
type watermark struct {
	term    uint64
	commit  uint64
	applied uint64
}

func (c *Core) watermark() watermark {
	return watermark{term: c.term, commit: c.commit, applied: c.applied}
}

// failInvariant records the first violated invariant, which stops the core.
func (c *Core) failInvariant(name, format string, args ...any) {
	if c.err == nil {
		c.err = &InvariantError{Name: name, Detail: fmt.Sprintf(format, args...)}
	}
}

// checkInvariants checks the invariants of this replica and returns the final error, if
// any.
func (c *Core) checkInvariants() error {
	if c.err != nil {
		return c.err
	}
	c.checkWatermark()
	c.checkLog()
	if c.state == leader {
		c.checkLeader()
	}
	c.previous = c.watermark()
	return c.err
}

func (c *Core) checkWatermark() {
	now := c.watermark()
	if now.term < c.previous.term {
		c.failInvariant("term-falls", "%d after %d", now.term, c.previous.term)
	}
	if now.commit < c.previous.commit {
		c.failInvariant("commit-falls", "%d after %d", now.commit, c.previous.commit)
	}
	if now.applied < c.previous.applied {
		c.failInvariant("applied-falls", "%d after %d", now.applied, c.previous.applied)
	}
	if c.applied > c.commit {
		c.failInvariant("applied-beyond-commit", "%d of %d", c.applied, c.commit)
	}
	if c.commit > c.syncedIndex() {
		c.failInvariant("commit-beyond-synced", "%d of %d", c.commit, c.syncedIndex())
	}
}

func (c *Core) checkLog() {
	last := c.log.last()
	if c.synced > last {
		c.failInvariant("synced-beyond-log", "%d of %d", c.synced, last)
	}
	if n := len(c.log.entries); n > 0 && c.log.entries[n-1].Index != last {
		c.failInvariant("log-gap", "entry %d at position %d", c.log.entries[n-1].Index, last)
	}
	if c.log.lastTerm() > c.term {
		c.failInvariant("log-term", "entry of term %d in term %d", c.log.lastTerm(), c.term)
	}
	if last > c.log.baseIndex+1 {
		before, _ := c.log.term(last - 1)
		if before > c.log.lastTerm() {
			c.failInvariant("log-term-falls", "entry %d", last)
		}
	}
}

func (c *Core) checkLeader() {
	if c.leaderID != c.id {
		c.failInvariant("leader-view", "leader %x has recorded %x as leader", c.id, c.leaderID)
	}
	if c.committedInCurrentTerm() && c.pendingConfChanges() > 1 {
		c.failInvariant("open-conf-changes", "%d", c.pendingConfChanges())
	}
	if c.leaderTerm != c.term {
		c.failInvariant("leader-term", "%d in term %d", c.leaderTerm, c.term)
	}
}
