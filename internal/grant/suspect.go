package grant

import "gentiankeel/internal/wire"

// suspects bounds how many upstreams one request body can take down: before any death
// it runs on two upstreams at most, after one it runs alone, while a death is not
// confirmed it does not run, and after two it is quarantined.
type suspects struct {
	bodies map[string]*body
	off    *switches
}

// body is what is known of one request body by its digest.
type body struct {
	runningOn map[string]int // attempts by upstream
	waiting   int
	// deaths holds those seen by this core; the value tells whether the replicated list
	// named the upstream without its incarnation before.
	deaths      map[death]bool
	listed      map[string]bool // lost upstreams by the replicated list
	onList      bool            // the last replicated list named the body
	quarantined bool
}

type death struct {
	upstream    string
	incarnation uint64
}

// maxLost is the number of upstreams that one body may ever take down.
const maxLost = 2

func newSuspects(off *switches) suspects {
	return suspects{bodies: map[string]*body{}, off: off}
}

func (s *suspects) of(digest string) *body {
	b, ok := s.bodies[digest]
	if !ok {
		b = &body{
			runningOn: map[string]int{},
			deaths:    map[death]bool{},
			listed:    map[string]bool{},
		}
		s.bodies[digest] = b
	}
	return b
}

// confirmed tells whether the replicated list holds a death.
func (b *body) confirmed(d death) bool {
	return b.listed[wire.SuspectKey(d.upstream, d.incarnation)] || (b.listed[d.upstream] && !b.deaths[d])
}

// unconfirmed counts the deaths that the replicated list does not hold yet.
func (b *body) unconfirmed() int {
	n := 0
	for d := range b.deaths {
		if !b.confirmed(d) {
			n++
		}
	}
	return n
}

// lost returns the number of upstreams lost to the body.
func (b *body) lost() int { return len(b.listed) + b.unconfirmed() }

// settle forgets a body that nothing is known of any more.
func (s *suspects) settle(digest string, b *body) {
	if len(b.runningOn) == 0 && b.waiting == 0 && b.lost() == 0 && !b.quarantined {
		delete(s.bodies, digest)
	}
}

func (s *suspects) began(digest, upstream string) {
	if digest != "" {
		s.of(digest).runningOn[upstream]++
	}
}

func (s *suspects) ended(digest, upstream string) {
	b, ok := s.bodies[digest]
	if !ok {
		return
	}
	b.runningOn[upstream]--
	if b.runningOn[upstream] <= 0 {
		delete(b.runningOn, upstream)
	}
	s.settle(digest, b)
}

func (s *suspects) waits(digest string, n int) {
	if digest == "" {
		return
	}
	b := s.of(digest)
	b.waiting += n
	s.settle(digest, b)
}

func (s *suspects) anyWaiting(digest string) bool {
	b, ok := s.bodies[digest]
	return ok && b.waiting > 0
}

func (s *suspects) quarantined(digest string) bool {
	b, ok := s.bodies[digest]
	return ok && !s.off.suspects && (b.quarantined || b.lost() >= maxLost)
}

// suspected tells whether a body was running when an upstream died.
func (s *suspects) suspected(digest string) bool {
	b, ok := s.bodies[digest]
	return ok && (b.quarantined || b.lost() > 0)
}

// mayRun tells whether the body may run on the upstream now.
func (s *suspects) mayRun(digest, upstream string) bool {
	b, ok := s.bodies[digest]
	if !ok || s.off.suspects {
		return true
	}
	if b.quarantined || b.unconfirmed() > 0 {
		return false
	}
	if b.lost() > 0 {
		return len(b.runningOn) == 0 && b.lost() < maxLost
	}
	return b.spread(upstream) <= maxLost
}

// spread returns the number of upstreams that the body would run on with one more.
func (b *body) spread(upstream string) int {
	if b.runningOn[upstream] > 0 {
		return len(b.runningOn)
	}
	return len(b.runningOn) + 1
}

// clear forgets the deaths of a body that an operator released.
func (s *suspects) clear(digest string) {
	b, ok := s.bodies[digest]
	if !ok {
		return
	}
	clear(b.deaths)
	clear(b.listed)
	b.quarantined = false
	b.onList = false
	s.settle(digest, b)
}

// death notes that the body was running on an upstream when its incarnation ended.
func (c *Core) death(digest, upstream string, incarnation uint64) {
	if digest == "" {
		return
	}
	d := death{upstream, incarnation}
	b := c.suspects.of(digest)
	if _, known := b.deaths[d]; known {
		return
	}
	b.deaths[d] = b.listed[upstream]
	c.out = append(c.out, Death{BodyDigest: digest, Upstream: upstream, Incarnation: incarnation})
}

func (c *Core) suspectsChanged(ev SuspectsChanged) {
	listed := map[string]bool{}
	for _, x := range ev.Suspects {
		listed[x.GetBodyDigest()] = true
		c.suspects.confirm(x.GetBodyDigest(), x.GetUpstreams(), x.GetQuarantined())
	}
	for digest, b := range c.suspects.bodies {
		if b.onList && !listed[digest] {
			c.suspects.clear(digest)
		}
	}
	for _, a := range c.waitingInOrder() {
		if a.state == stateWaiting && a.ask.BodyDigest != "" {
			c.reconsider(a)
		}
	}
}

// confirm takes one line of the replicated list.
func (s *suspects) confirm(digest string, upstreams []string, quarantined bool) {
	b := s.of(digest)
	b.onList = true
	b.quarantined = quarantined
	clear(b.listed)
	for _, u := range upstreams {
		b.listed[u] = true
	}
}
