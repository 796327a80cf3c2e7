package grant

import (
	"time"

	"gentiankeel/internal/errkind"
)

// hedgeBudget lets hedges run for a share of recent requests: each first attempt earns
// a part of a hedge, up to a bound.
type hedgeBudget struct{ credit float64 }

// maxHedgeCredit bounds the hedges that quiet times can save up.
const maxHedgeCredit = 10

// minHedgeSamples is the number of first tokens seen before hedging starts.
const minHedgeSamples = 20

func (b *hedgeBudget) granted(a *attempt, s Settings) {
	if a.ask.Hedge {
		b.credit--
		return
	}
	b.credit = min(maxHedgeCredit, b.credit+s.HedgeShare)
}

// hedgeAfter returns the delay after which a hedge of the attempt pays, 0 for never.
func (c *Core) hedgeAfter(a *attempt) time.Duration {
	t := &a.pool.timing
	switch {
	case !c.set.Hedge, a.ask.Hedge, c.hedges.credit < 1:
		return 0
	case t.firsts.total < minHedgeSamples, len(a.pool.members) < 2:
		return 0
	case c.suspects.suspected(a.ask.BodyDigest), !c.repeatable(a.ask):
		return 0
	}
	return t.firsts.quantile(c.set.HedgeQuantile)
}

// hedgeRefusal refuses a hedge that the budget or a suspect body forbids.
func (c *Core) hedgeRefusal(a *attempt) (errkind.Kind, string, time.Duration) {
	switch {
	case !c.set.Hedge:
		return errkind.Overloaded, "hedging is off", 0
	case c.hedges.credit < 1:
		return errkind.Overloaded, "the hedge budget is used up", 0
	case c.suspects.suspected(a.ask.BodyDigest):
		return errkind.Overloaded, "a suspect body is never hedged", 0
	case !c.repeatable(a.ask):
		return errkind.Overloaded, "a call that may not be repeated is never hedged", 0
	case a.pool.queue.size > 0:
		return errkind.Overloaded, "no spare slot for a hedge", 0
	}
	return "", "", 0
}

// repeatable tells whether the applied spec lets the work run twice: a non-idempotent
// service call that is hedged could book the same order twice.
func (c *Core) repeatable(k Ask) bool {
	return k.Service == "" || (c.spec != nil && c.spec.services[k.Service].GetIdempotent())
}

// spare tells whether the upstream has slots to spare for a hedge.
func (c *Core) spare(u *upstream) bool {
	return float64(c.free(u)) >= max(1, float64(u.Slots)*c.set.HedgeSpare)
}
