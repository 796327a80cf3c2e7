package grant

// suspects bounds how many upstreams one request body can take down: before any death
// it runs on two upstreams at most, after one it runs alone, while a death is not
// confirmed it does not run, and after two it is quarantined.
type suspects struct {
	bodies map[string]*body
	off    bool // tests take the mechanism out
}

// body is what is known of one request body by its digest.
type body struct {
	runningOn   map[string]int // attempts by upstream
	waiting     int
	deaths      map[death]bool  // seen by this core
	unconfirmed map[death]bool  // reported, not yet in the replicated list
	confirmed   map[string]bool // upstreams lost to it by the replicated list
	quarantined bool
	listed      bool // it was in the last replicated list
}

type death struct {
	upstream    string
	incarnation uint64
}

// maxLost is the number of upstreams that one body may ever take down.
const maxLost = 2

func newSuspects() suspects { return suspects{bodies: map[string]*body{}} }

func (s *suspects) of(digest string) *body {
	b, ok := s.bodies[digest]
	if !ok {
		b = &body{
			runningOn:   map[string]int{},
			deaths:      map[death]bool{},
			unconfirmed: map[death]bool{},
			confirmed:   map[string]bool{},
		}
		s.bodies[digest] = b
	}
	return b
}

func (b *body) lost() int { return max(len(b.deaths), len(b.confirmed)) }

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
	return ok && !s.off && (b.quarantined || b.lost() >= maxLost)
}

// suspected tells whether a body was running when an upstream died.
func (s *suspects) suspected(digest string) bool {
	b, ok := s.bodies[digest]
	return ok && (b.quarantined || b.lost() > 0)
}

// mayRun tells whether the body may run on the upstream now.
func (s *suspects) mayRun(digest, upstream string) bool {
	b, ok := s.bodies[digest]
	if !ok || s.off {
		return true
	}
	if b.quarantined || len(b.unconfirmed) > 0 {
		return false
	}
	if b.lost() > 0 {
		return len(b.runningOn) == 0 && b.lost() < maxLost
	}
	return b.runningOn[upstream] > 0 || len(b.runningOn) < maxLost
}

// clear forgets the deaths of a body that an operator released.
func (s *suspects) clear(digest string) {
	b, ok := s.bodies[digest]
	if !ok {
		return
	}
	clear(b.deaths)
	clear(b.unconfirmed)
	clear(b.confirmed)
	b.quarantined = false
	b.listed = false
	s.settle(digest, b)
}

// death notes that the body was running on an upstream when its incarnation ended.
func (c *Core) death(digest, upstream string, incarnation uint64) {
	if digest == "" {
		return
	}
	d := death{upstream, incarnation}
	b := c.suspects.of(digest)
	if b.deaths[d] {
		return
	}
	b.deaths[d] = true
	b.unconfirmed[d] = true
	c.out = append(c.out, Death{BodyDigest: digest, Upstream: upstream, Incarnation: incarnation})
}

func (c *Core) suspectsChanged(ev SuspectsChanged) {
	listed := map[string]bool{}
	for _, x := range ev.Suspects {
		listed[x.GetBodyDigest()] = true
		c.suspects.confirm(x.GetBodyDigest(), x.GetUpstreams(), x.GetQuarantined())
	}
	for digest, b := range c.suspects.bodies {
		if b.listed && !listed[digest] {
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
	b.listed = true
	b.quarantined = quarantined
	clear(b.confirmed)
	for _, u := range upstreams {
		b.confirmed[u] = true
	}
	for d := range b.unconfirmed {
		if b.confirmed[d.upstream] {
			delete(b.unconfirmed, d)
		}
	}
}
