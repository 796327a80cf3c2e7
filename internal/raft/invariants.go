package raft

import "fmt"

// watermark holds what never falls.
type watermark struct {
	term    uint64
	commit  uint64
	applied uint64
}

func (c *Core) watermark() watermark {
	return watermark{term: c.term, commit: c.commit, applied: c.applied}
}

// broken records the first broken invariant; the core refuses all further events.
func (c *Core) broken(name, format string, args ...any) {
	if c.err == nil {
		c.err = &InvariantError{Name: name, Detail: fmt.Sprintf(format, args...)}
	}
}

// check asserts the invariants of one replica and returns the final error, if any.
func (c *Core) check() error {
	if c.err != nil {
		return c.err
	}
	c.checkWatermark()
	c.checkLog()
	if c.state == leader {
		c.checkLeader()
	}
	c.prev = c.watermark()
	return c.err
}

func (c *Core) checkWatermark() {
	now := c.watermark()
	if now.term < c.prev.term {
		c.broken("term-falls", "%d after %d", now.term, c.prev.term)
	}
	if now.commit < c.prev.commit {
		c.broken("commit-falls", "%d after %d", now.commit, c.prev.commit)
	}
	if now.applied < c.prev.applied {
		c.broken("applied-falls", "%d after %d", now.applied, c.prev.applied)
	}
	if c.applied > c.commit {
		c.broken("applied-beyond-commit", "%d of %d", c.applied, c.commit)
	}
	if c.commit > c.syncedIndex() {
		c.broken("commit-beyond-synced", "%d of %d", c.commit, c.syncedIndex())
	}
}

func (c *Core) checkLog() {
	last := c.log.last()
	if c.synced > last {
		c.broken("synced-beyond-log", "%d of %d", c.synced, last)
	}
	if n := len(c.log.entries); n > 0 && c.log.entries[n-1].Index != last {
		c.broken("log-gap", "entry %d at position %d", c.log.entries[n-1].Index, last)
	}
	if c.log.lastTerm() > c.term {
		c.broken("log-term", "entry of term %d in term %d", c.log.lastTerm(), c.term)
	}
	if last > c.log.baseIndex+1 {
		before, _ := c.log.term(last - 1)
		if before > c.log.lastTerm() {
			c.broken("log-term-falls", "entry %d", last)
		}
	}
}

func (c *Core) checkLeader() {
	if c.lead != c.id {
		c.broken("leader-view", "leader %x follows %x", c.id, c.lead)
	}
	if c.ownTermCommitted() && c.openConfChanges() > 1 {
		c.broken("open-conf-changes", "%d", c.openConfChanges())
	}
	if c.leaderTerm != c.term {
		c.broken("leader-term", "%d in term %d", c.leaderTerm, c.term)
	}
}
