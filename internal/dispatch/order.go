package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// shareHalfLife is the half-life of the tokens that organisations were served.
	shareHalfLife = 5 * time.Second
	// maxShares bounds the number of organisations whose tokens are counted.
	maxShares = 1024
)

// share is the number of tokens that an organisation was served lately.
type share struct {
	tokens float64
	at     Time
}

func (s *share) value(now Time) float64 {
	return s.tokens * math.Exp2(-float64(now-s.at)/float64(shareHalfLife))
}

// served returns the tokens that an organisation was served lately.
func (c *Core) served(organisation string) float64 {
	if s := c.shares[organisation]; s != nil {
		return s.value(c.now)
	}
	return 0
}

// charge counts the tokens of a request as served to its organisation; negative ones if it did not run.
func (c *Core) charge(organisation string, tokens int) {
	if organisation == "" && len(c.shares) == 0 {
		return // there are no organisations
	}
	s := c.shares[organisation]
	if s == nil {
		if tokens <= 0 {
			return
		}
		c.dropShare()
		s = &share{}
		c.shares[organisation] = s
	}
	s.tokens, s.at = max(0, s.value(c.now)+float64(tokens)), c.now
}

// dropShare drops the organisation that was served least if there are too many.
func (c *Core) dropShare() {
	if len(c.shares) < maxShares {
		return
	}
	least, leastTokens := "", math.Inf(1)
	for name, s := range c.shares {
		if v := s.value(c.now); v < leastTokens || v == leastTokens && name < least {
			least, leastTokens = name, v
		}
	}
	delete(c.shares, least)
}

func (r *SlotRequest) tokens() int { return r.PromptTokens + r.OutputTokens }

// order returns the waiting requests in the order in which they are to start: by priority, then organisations in turn,
// then as compareWaiters has it within each organisation, except for requests that yield.
//
// Organisations take turns by start tags (P. Goyal et al., "Start-time Fair Queueing", SIGCOMM 1996): the tag of a
// request is what its organisation was served lately, plus the tokens of its requests before this one.
func (c *Core) order() []*waiter {
	list := c.waiting
	if c.setYields() {
		list = slices.Clone(list)
		slices.SortStableFunc(list, func(a, b *waiter) int {
			return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.yields, b.yields))
		})
	}
	if c.hasOrganisations() {
		list = slices.Clone(list)
		ahead := map[string]float64{}
		for _, w := range list {
			name := w.request.Organisation
			w.tag = c.served(name) + ahead[name]
			ahead[name] += float64(w.request.tokens())
		}
		slices.SortStableFunc(list, func(a, b *waiter) int {
			return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.tag, b.tag))
		})
	}
	for i, w := range list {
		w.rank = i + 1
	}
	return list
}

// hasOrganisations reports whether requests of several organisations wait.
func (c *Core) hasOrganisations() bool {
	return slices.ContainsFunc(c.waiting, func(w *waiter) bool { return w.request.Organisation != c.waiting[0].request.Organisation })
}

// goesBefore reports whether a waiting request comes before another one, which may be new.
func (c *Core) goesBefore(a, b *waiter) bool {
	if b.rank > 0 {
		return a.rank < b.rank
	}
	if a.request.Priority == b.request.Priority && a.request.Organisation != b.request.Organisation {
		return cmp.Or(cmp.Compare(c.served(a.request.Organisation), c.served(b.request.Organisation)), compareWaiters(a, b)) < 0
	}
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.yields, b.yields), compareWaiters(a, b)) < 0
}

// mustQueue reports whether a new request has to leave room that is free to waiting ones: to those of organisations
// that were served less, and to urgent ones if it is patient.
func (c *Core) mustQueue(w *waiter) bool {
	if len(c.waiting) == 0 || len(c.waiting) >= c.settings.MaxWaiting {
		return false
	}
	isShort := c.rememberedShortness()
	w.yields = c.yieldOf(w, isShort)
	return slices.ContainsFunc(c.waiting, func(o *waiter) bool {
		if o.request.Service != w.request.Service || o.request.Priority != w.request.Priority {
			return false
		}
		if o.request.Organisation != w.request.Organisation {
			return c.served(o.request.Organisation) < c.served(w.request.Organisation)
		}
		return w.yields > 0 && o.key == w.key && c.yieldOf(o, isShort) < w.yields
	})
}

const (
	// patientTarget is the latency target from which on a request yields to more urgent ones of its priority.
	patientTarget = 2 * time.Second
	// patientShare is the share of its target for which it does.
	patientShare = 0.5
	// agedShare is the share of its caller's patience after which a late request no longer yields if maxOvertaken others
	// of its model have started since the last late one. Without a turn for late ones they would not start in overload.
	agedShare    = 0.75
	maxOvertaken = 3
)

// yield says which requests of its priority and organisation a request lets go first while room is short.
type yield int

const (
	yieldsNot        yield = iota
	yieldsToUrgent         // it is patient, and most of its target is left
	yieldsToPunctual       // its first event is late already, so that it is worth less to its caller
)

// isLate reports whether a request can't meet its latency target any more, even at an idle runner.
func (c *Core) isLate(w *waiter) bool {
	r := &w.request
	if !r.Streams || r.Resumed || r.LatencyTarget <= 0 {
		return false
	}
	e := c.engineOf(r.Service)
	return c.now-w.queuedAt+time.Duration(r.PromptTokens)*e.ReadPerToken()+e.EventTime(r.Model) > r.LatencyTarget
}

// rememberedShortness returns roomIsShort with a memory for each model.
func (c *Core) rememberedShortness() func(w *waiter) bool {
	short := map[modelKey]bool{}
	return func(w *waiter) bool {
		s, ok := short[w.key]
		if !ok {
			s = c.roomIsShort(w)
			short[w.key] = s
		}
		return s
	}
}

// setYields sets for each waiting request what it yields to, and reports whether any does.
func (c *Core) setYields() bool {
	isShort := c.rememberedShortness()
	some := false
	for _, w := range c.waiting {
		w.yields = c.yieldOf(w, isShort)
		some = some || w.yields > 0
	}
	return some
}

// yieldOf returns what a request yields to. One that may claim an upstream does not yield before its target has
// passed: shorter prompts would overtake it for ever.
func (c *Core) yieldOf(w *waiter, isShort func(w *waiter) bool) yield {
	r := &w.request
	waited := c.now - w.queuedAt
	if !r.Streams || r.Resumed || r.LatencyTarget <= 0 || waited <= r.LatencyTarget && c.mayClaim(w) {
		return yieldsNot
	}
	switch {
	case c.isLate(w):
		fresh := waited < scale(min(r.patience(), r.Deadline-w.queuedAt), agedShare)
		if (fresh || c.modelStatsFor(w.key).overtaken < maxOvertaken) && isShort(w) {
			return yieldsToPunctual
		}
	case r.LatencyTarget >= patientTarget && waited < scale(r.LatencyTarget, patientShare) && isShort(w):
		return yieldsToUrgent
	}
	return yieldsNot
}

// roomIsShort reports whether most of the upstreams that can serve a request are full, have all the prompts in prefill
// that they may have, or are contended for by other entries, or the others have fewer free slots than requests wait for
// its model.
func (c *Core) roomIsShort(w *waiter) bool {
	known, tight, free := 0, 0, 0
	for _, u := range c.possible(w) {
		if !c.canServe(u, w) {
			continue
		}
		known++
		left := int(u.state.Slots) - u.running - u.otherRunning
		if left <= 0 || c.otherContenders(u) > 0 || c.prefillIsFull(u, w) {
			tight++
		} else {
			free += left
		}
	}
	wanted := 1
	for _, o := range c.waiting {
		if o != w && o.key == w.key {
			wanted++
		}
	}
	return tight*2 > known || free < wanted
}

// prefillIsFull reports whether an upstream has so many prompt tokens to read that there is no room for those of a request.
func (c *Core) prefillIsFull(u *upstream, w *waiter) bool {
	waiting := c.tokensInPrefill(u)
	return w.request.GapTarget > 0 && waiting > 0 && !c.fitsGap(u, w, waiting+w.request.PromptTokens)
}
