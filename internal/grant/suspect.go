package grant

import (
	"maps"
	"slices"

	"gentiankeel/internal/wire"
)

// suspects bounds how many upstreams one request body can bring down. Before any death a
// body runs on at most two upstreams. After one death it runs one attempt at a time, and
// not at all until the death is confirmed. After two it is quarantined. Deaths before a whole
// answer to the body don't count, unless it is quarantined.
type suspects struct {
	bodies   map[string]*body
	disabled *disabledMechanisms
}

// body is the state of one request body, identified by its digest.
type body struct {
	runningOn map[string]int // attempts by upstream
	waiting   int
	// deaths holds the deaths that this core has recorded. The value is true if the
	// replicated list already named the upstream, without an incarnation, at that time.
	deaths          map[upstreamDeath]bool
	listedUpstreams map[string]bool // lost upstreams in the replicated list
	onLastList      bool            // the last replicated list named the body
	quarantined     bool
}

// upstreamDeath is the end of an incarnation on which a body was running.
type upstreamDeath struct {
	upstream    string
	incarnation uint64
}

// maxLostUpstreams is the number of upstreams that one body may bring down.
const maxLostUpstreams = 2

func newSuspects(disabled *disabledMechanisms) suspects {
	return suspects{bodies: map[string]*body{}, disabled: disabled}
}

func (s *suspects) bodyOf(digest string) *body {
	b, ok := s.bodies[digest]
	if !ok {
		b = &body{
			runningOn:       map[string]int{},
			deaths:          map[upstreamDeath]bool{},
			listedUpstreams: map[string]bool{},
		}
		s.bodies[digest] = b
	}
	return b
}

// isConfirmed reports whether the replicated list contains the death.
func (b *body) isConfirmed(d upstreamDeath) bool {
	return b.listedUpstreams[wire.SuspectKey(d.upstream, d.incarnation)] || (b.listedUpstreams[d.upstream] && !b.deaths[d])
}

// unconfirmedDeaths counts the deaths that the replicated list does not contain yet.
func (b *body) unconfirmedDeaths() int {
	n := 0
	for d := range b.deaths {
		if !b.isConfirmed(d) {
			n++
		}
	}
	return n
}

// lostUpstreams returns the number of upstreams lost to the body.
func (b *body) lostUpstreams() int { return len(b.listedUpstreams) + b.unconfirmedDeaths() }

// dropIfEmpty removes a body without any state.
func (s *suspects) dropIfEmpty(digest string, b *body) {
	if len(b.runningOn) == 0 && b.waiting == 0 && b.lostUpstreams() == 0 && !b.quarantined {
		delete(s.bodies, digest)
	}
}

func (s *suspects) addRunning(digest, upstream string) {
	if digest != "" {
		s.bodyOf(digest).runningOn[upstream]++
	}
}

func (s *suspects) removeRunning(digest, upstream string) {
	b, ok := s.bodies[digest]
	if !ok {
		return
	}
	b.runningOn[upstream]--
	if b.runningOn[upstream] <= 0 {
		delete(b.runningOn, upstream)
	}
	s.dropIfEmpty(digest, b)
}

func (s *suspects) addWaiting(digest string, n int) {
	if digest == "" {
		return
	}
	b := s.bodyOf(digest)
	b.waiting += n
	s.dropIfEmpty(digest, b)
}

func (s *suspects) hasWaiting(digest string) bool {
	b, ok := s.bodies[digest]
	return ok && b.waiting > 0
}

func (s *suspects) isQuarantined(digest string) bool {
	b, ok := s.bodies[digest]
	return ok && !s.disabled.suspects && (b.quarantined || b.lostUpstreams() >= maxLostUpstreams)
}

// isSuspect reports whether the body was running when an upstream failed.
func (s *suspects) isSuspect(digest string) bool {
	b, ok := s.bodies[digest]
	return ok && (b.quarantined || b.lostUpstreams() > 0)
}

// mayRun reports whether the body may run on the upstream now.
func (s *suspects) mayRun(digest, upstream string) bool {
	b, ok := s.bodies[digest]
	if !ok || s.disabled.suspects {
		return true
	}
	if b.quarantined || b.unconfirmedDeaths() > 0 {
		return false
	}
	if b.lostUpstreams() > 0 {
		return len(b.runningOn) == 0 && b.lostUpstreams() < maxLostUpstreams
	}
	return b.upstreamsIncluding(upstream) <= maxLostUpstreams
}

// upstreamsIncluding returns the number of upstreams that the body would run on if it also
// ran on the given one.
func (b *body) upstreamsIncluding(upstream string) int {
	if b.runningOn[upstream] > 0 {
		return len(b.runningOn)
	}
	return len(b.runningOn) + 1
}

// clearDeaths removes the deaths of a body that an operator has cleared.
func (s *suspects) clearDeaths(digest string) {
	b, ok := s.bodies[digest]
	if !ok {
		return
	}
	clear(b.deaths)
	clear(b.listedUpstreams)
	b.quarantined = false
	b.onLastList = false
	s.dropIfEmpty(digest, b)
}

// recordDeath records that the body was running on an upstream when its incarnation ended.
func (c *Core) recordDeath(digest, upstream string, incarnation uint64) {
	if digest == "" {
		return
	}
	d := upstreamDeath{upstream, incarnation}
	b := c.suspects.bodyOf(digest)
	if _, known := b.deaths[d]; known {
		return
	}
	b.deaths[d] = b.listedUpstreams[upstream]
	c.actions = append(c.actions, ReportDeath{BodyDigest: digest, Upstream: upstream, Incarnation: incarnation})
}

// reportAnswer reports a whole answer to a body, if deaths are listed that it clears.
func (c *Core) reportAnswer(digest string) {
	b, ok := c.suspects.bodies[digest]
	if !ok || b.quarantined || len(b.listedUpstreams) == 0 {
		return
	}
	listed := slices.Sorted(maps.Keys(b.listedUpstreams))
	c.actions = append(c.actions, ReportAnswer{BodyDigest: digest, Deaths: listed})
}

func (c *Core) suspectsChanged(ev SuspectsChanged) {
	listed := map[string]bool{}
	for _, x := range ev.Suspects {
		listed[x.GetBodyDigest()] = true
		c.suspects.applyListed(x.GetBodyDigest(), x.GetUpstreams(), x.GetQuarantined())
	}
	for digest, b := range c.suspects.bodies {
		if b.onLastList && !listed[digest] {
			b.onLastList = false
			b.replaceList(nil, false)
			c.suspects.dropIfEmpty(digest, b)
		}
	}
	for _, a := range c.waitingInOrder() {
		if a.state == stateWaiting && a.req.BodyDigest != "" {
			c.reevaluate(a)
		}
	}
}

// applyListed applies one line of the replicated list.
func (s *suspects) applyListed(digest string, upstreams []string, quarantined bool) {
	b := s.bodyOf(digest)
	b.onLastList = true
	b.replaceList(upstreams, quarantined)
}

// replaceList replaces what the replicated list says of the body. A death that was in the
// list and no longer is counts no more; one that has not reached the list yet stays.
func (b *body) replaceList(upstreams []string, quarantined bool) {
	var confirmed []upstreamDeath
	for d := range b.deaths {
		if b.isConfirmed(d) {
			confirmed = append(confirmed, d)
		}
	}
	b.quarantined = quarantined
	clear(b.listedUpstreams)
	for _, u := range upstreams {
		b.listedUpstreams[u] = true
	}
	for _, d := range confirmed {
		if !b.isConfirmed(d) {
			delete(b.deaths, d)
		}
	}
}
