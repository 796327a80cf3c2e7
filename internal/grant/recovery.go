package grant

// recovery holds all slots back after a change of scheduler until every entry that may
// hold grants of the former one has reported or expired.
type recovery struct {
	active  bool
	until   Time
	listed  bool // the entries to wait for are known
	waiting map[string]bool
	// After an entry expired unheard, its attempts may still run: load reports beyond
	// what is accounted count as in flight until this time.
	unheardUntil Time
}

func newRecovery(o Options) recovery {
	r := recovery{
		active:  o.Recovering,
		until:   o.Start + o.Settings.RecoveryTimeout,
		listed:  len(o.KnownEntries) > 0,
		waiting: map[string]bool{},
	}
	for _, e := range o.KnownEntries {
		r.waiting[e] = true
	}
	return r
}

func (r *recovery) settled(entry string) { delete(r.waiting, entry) }

// expireRecovery ends the recovery when all entries have reported or time has run out.
func (c *Core) expireRecovery() {
	r := &c.recovery
	if r.unheardUntil > 0 && c.now >= r.unheardUntil {
		r.unheardUntil = 0
		c.dispatchAll()
	}
	if !r.active {
		return
	}
	heard := r.listed && len(r.waiting) == 0
	if !heard && c.now < r.until && !c.off.recovery {
		return
	}
	r.active = false
	if !heard {
		r.unheardUntil = c.now + c.set.LongestLife
	}
	c.dispatchAll()
}

// assumed returns the slots of an upstream that attempts of unheard entries may use:
// what its load report shows beyond what is accounted.
func (c *Core) assumed(u *upstream) int {
	if c.now >= c.recovery.unheardUntil || c.off.unheard {
		return 0
	}
	return max(0, u.ReportedRunning-u.inFlight)
}
