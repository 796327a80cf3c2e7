package grant

import "slices"

// unresolvedCut records a body whose answer was cut off. The entry sees the cut before a
// failure of the upstream can be detected, so the body counts as still running there for a
// while. Otherwise its caller's retries could bring down one upstream after another before
// the first failure is detected.
type unresolvedCut struct {
	digest      string
	upstream    string
	incarnation uint64
	cutAt       Time
}

// recordCut records that a running attempt was cut off.
func (c *Core) recordCut(digest, upstream string, incarnation uint64) {
	if digest == "" || c.disabled.unresolvedCuts {
		return
	}
	c.suspects.addRunning(digest, upstream)
	c.unresolvedCuts = append(c.unresolvedCuts, unresolvedCut{digest, upstream, incarnation, c.now})
}

// expireCuts drops cuts that nothing has resolved within CutWindow.
func (c *Core) expireCuts() {
	for len(c.unresolvedCuts) > 0 && c.unresolvedCuts[0].cutAt+c.settings.CutWindow <= c.now {
		cut := c.unresolvedCuts[0]
		c.unresolvedCuts = c.unresolvedCuts[1:]
		c.suspects.removeRunning(cut.digest, cut.upstream)
		c.redispatchBody(cut.digest)
	}
}

// clearOutlivedCuts drops cuts that the upstream's incarnation has outlived: it has answered
// a state read that was sent after them.
func (c *Core) clearOutlivedCuts(ev UpstreamAlive) {
	var cleared []unresolvedCut
	c.unresolvedCuts = slices.DeleteFunc(c.unresolvedCuts, func(cut unresolvedCut) bool {
		outlived := cut.upstream == ev.ID && cut.incarnation == ev.Incarnation && cut.cutAt < ev.AsOf
		if outlived {
			cleared = append(cleared, cut)
		}
		return outlived
	})
	for _, cut := range cleared {
		c.suspects.removeRunning(cut.digest, cut.upstream)
	}
	for _, cut := range cleared {
		c.redispatchBody(cut.digest)
	}
}

// resolveCuts turns the cuts on an ended incarnation, and on older ones, into deaths. A
// leaving upstream was expected to end, so its cuts are dropped.
func (c *Core) resolveCuts(upstream string, incarnation uint64, leaving bool) {
	var resolved []unresolvedCut
	c.unresolvedCuts = slices.DeleteFunc(c.unresolvedCuts, func(cut unresolvedCut) bool {
		ended := cut.upstream == upstream && cut.incarnation <= incarnation
		if ended {
			resolved = append(resolved, cut)
		}
		return ended
	})
	for _, cut := range resolved {
		c.suspects.removeRunning(cut.digest, cut.upstream)
		if !leaving {
			c.recordDeath(cut.digest, cut.upstream, cut.incarnation)
		}
	}
	for _, cut := range resolved {
		c.redispatchBody(cut.digest)
	}
}
