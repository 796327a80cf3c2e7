package grant

// recovery holds all slots back after a change of scheduler until every entry that may
// hold grants of the former one has reported or expired.
type recovery struct {
	active  bool
	until   Time
	listed  bool // the entries to wait for are known
	waiting map[string]bool
	// unheard tells that an entry expired before it reported. Its attempts may still run:
	// load reports beyond what is accounted count as in flight until unheardUntil.
	unheard      bool
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

func (r *recovery) heard(entry string) { delete(r.waiting, entry) }

func (r *recovery) gone(entry string) {
	if r.active && r.waiting[entry] {
		r.unheard = true
	}
	delete(r.waiting, entry)
}

// expireRecovery ends the recovery when all entries have reported or time has run out.
func (c *Core) expireRecovery() {
	r := &c.recovery
	if r.unheardUntil > 0 && c.now >= r.unheardUntil {
		r.unheardUntil = 0
		for _, u := range c.order {
			u.foreign = 0
		}
		c.dispatchAll()
	}
	if !r.active {
		return
	}
	settled := r.listed && len(r.waiting) == 0
	if !settled && c.now < r.until && !c.off.recovery {
		return
	}
	r.active = false
	if !settled || r.unheard {
		r.unheardUntil = c.now + c.set.LongestLife
		for _, u := range c.order {
			c.assumeForeign(u)
		}
	}
	c.dispatchAll()
}

// assumeForeign takes what a load report shows beyond what is accounted for attempts of
// unheard entries, and holds as many slots back.
func (c *Core) assumeForeign(u *upstream) {
	if c.recovery.unheardUntil == 0 || c.off.unheard {
		return
	}
	u.foreign = max(0, u.ReportedRunning-u.inFlight)
	u.low = u.inFlight
}

// reviewForeign lowers the assumption by a later report. The report is late, so it is
// compared with the fewest attempts that were in flight since the report before.
func (c *Core) reviewForeign(u *upstream) {
	u.foreign = min(u.foreign, max(0, u.ReportedRunning-u.low))
	u.low = u.inFlight
}
