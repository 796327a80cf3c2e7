package grant

import "slices"

// doubt is a body whose answer was cut off. The entry sees the cut before anybody knows
// whether the upstream has died, so the body counts as running there for a while: else
// its caller's resends could take down one upstream after another before the first
// death is noticed.
type doubt struct {
	digest      string
	upstream    string
	incarnation uint64
	cut         Time
}

// doubtCut notes that a running attempt was cut off.
func (c *Core) doubtCut(digest, upstream string, incarnation uint64) {
	if digest == "" || c.off.doubts {
		return
	}
	c.suspects.began(digest, upstream)
	c.doubts = append(c.doubts, doubt{digest, upstream, incarnation, c.now})
}

// expireDoubts clears doubts that nothing has settled for very long.
func (c *Core) expireDoubts() {
	for len(c.doubts) > 0 && c.doubts[0].cut+c.set.DoubtFor <= c.now {
		d := c.doubts[0]
		c.doubts = c.doubts[1:]
		c.suspects.ended(d.digest, d.upstream)
		c.dispatchDigest(d.digest)
	}
}

// clearDoubts clears bodies whose upstream has outlived the cut.
func (c *Core) clearDoubts(ev UpstreamAlive) {
	var cleared []doubt
	c.doubts = slices.DeleteFunc(c.doubts, func(d doubt) bool {
		outlived := d.upstream == ev.ID && d.incarnation == ev.Incarnation && d.cut < ev.AsOf
		if outlived {
			cleared = append(cleared, d)
		}
		return outlived
	})
	for _, d := range cleared {
		c.suspects.ended(d.digest, d.upstream)
	}
	for _, d := range cleared {
		c.dispatchDigest(d.digest)
	}
}

// settleDoubts turns the doubts about an ended incarnation, and older ones, into deaths.
func (c *Core) settleDoubts(upstream string, incarnation uint64, leaving bool) {
	var dead []doubt
	c.doubts = slices.DeleteFunc(c.doubts, func(d doubt) bool {
		ended := d.upstream == upstream && d.incarnation <= incarnation
		if ended {
			dead = append(dead, d)
		}
		return ended
	})
	for _, d := range dead {
		c.suspects.ended(d.digest, d.upstream)
		if !leaving {
			c.death(d.digest, d.upstream, d.incarnation)
		}
	}
	for _, d := range dead {
		c.dispatchDigest(d.digest)
	}
}
