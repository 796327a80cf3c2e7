package grant

// recovery holds back all slots after a change of scheduler until every entry that may
// hold grants of the previous one has reported them or has expired.
type recovery struct {
	active       bool
	deadline     Time
	entriesKnown bool            // the entries to wait for are known
	pending      map[string]bool // entries that have neither reported nor expired
	// entryMissing reports that an entry expired before it reported. Its attempts may
	// still run: until unaccountedUntil, attempts in load reports that are not accounted
	// for count as in flight.
	entryMissing     bool
	unaccountedUntil Time
}

func newRecovery(o Options) recovery {
	r := recovery{
		active:       o.Recovering,
		deadline:     o.Start + o.Settings.RecoveryTimeout,
		entriesKnown: len(o.KnownEntries) > 0,
		pending:      map[string]bool{},
	}
	for _, e := range o.KnownEntries {
		r.pending[e] = true
	}
	return r
}

func (r *recovery) entryReported(entry string) { delete(r.pending, entry) }

func (r *recovery) entryGone(entry string) {
	if r.active && r.pending[entry] {
		r.entryMissing = true
	}
	delete(r.pending, entry)
}

// expireRecovery ends the recovery when all entries have reported or the timeout has passed.
// It frees the slots held back for unaccounted attempts once those must have ended.
func (c *Core) expireRecovery() {
	r := &c.recovery
	if r.unaccountedUntil > 0 && c.now >= r.unaccountedUntil {
		r.unaccountedUntil = 0
		for _, u := range c.sortedUpstreams {
			u.unaccounted = 0
		}
		c.dispatchAll()
	}
	if !r.active {
		return
	}
	complete := r.entriesKnown && len(r.pending) == 0
	if !complete && c.now < r.deadline && !c.disabled.recovery {
		return
	}
	r.active = false
	if !complete || r.entryMissing {
		r.unaccountedUntil = c.now + c.settings.MaxAttemptTime
		for _, u := range c.sortedUpstreams {
			c.assumeUnaccounted(u)
		}
	}
	c.dispatchAll()
}

// assumeUnaccounted attributes the attempts that a load report shows beyond those
// accounted for to entries that have not reported, and holds back as many slots.
func (c *Core) assumeUnaccounted(u *upstream) {
	if c.recovery.unaccountedUntil == 0 || c.disabled.unaccounted {
		return
	}
	u.unaccounted = max(0, u.ReportedRunning-u.inFlight)
	u.minInFlight = u.inFlight
}

// lowerUnaccounted lowers the assumption by a later report. The report lags behind, so it
// is compared with the fewest attempts in flight since the previous one.
func (c *Core) lowerUnaccounted(u *upstream) {
	u.unaccounted = min(u.unaccounted, max(0, u.ReportedRunning-u.minInFlight))
	u.minInFlight = u.inFlight
}
