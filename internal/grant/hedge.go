package grant

import (
	"time"

	"gentiankeel/internal/errkind"
)

// hedgeBudget limits hedges to a share of recent requests: the grant of a hedge takes 1 from
// the credit, and any other grant adds HedgeShare, up to maxHedgeCredit.
type hedgeBudget struct{ credit float64 }

// maxHedgeCredit bounds the number of hedges that the credit can accumulate.
const maxHedgeCredit = 10

// minHedgeSamples is the number of first tokens observed before hedging starts.
const minHedgeSamples = 20

func (b *hedgeBudget) recordGrant(a *attempt, s Settings) {
	if a.req.Hedge {
		b.credit--
		return
	}
	b.credit = min(maxHedgeCredit, b.credit+s.HedgeShare)
}

// hedgeDelay returns the delay after which the attempt should be hedged; 0: never.
func (c *Core) hedgeDelay(a *attempt) time.Duration {
	t := &a.pool.timing
	switch {
	case !c.settings.Hedge, a.req.Hedge, c.hedgeBudget.credit < 1:
		return 0
	case t.firstTokens.total < minHedgeSamples, len(a.pool.members) < 2:
		return 0
	case c.suspects.isSuspect(a.req.BodyDigest), !c.isRepeatable(a.req):
		return 0
	}
	return t.firstTokens.quantile(c.settings.HedgeQuantile)
}

// hedgeRefusal returns the refusal of a hedge that the settings, the budget, a suspect
// body, a call that may not be repeated or a queue rules out.
func (c *Core) hedgeRefusal(a *attempt) (errkind.Kind, string, time.Duration) {
	switch {
	case !c.settings.Hedge:
		return errkind.Overloaded, "hedging is off", 0
	case c.hedgeBudget.credit < 1:
		return errkind.Overloaded, "the hedge budget is used up", 0
	case c.suspects.isSuspect(a.req.BodyDigest):
		return errkind.Overloaded, "a suspect body is never hedged", 0
	case !c.isRepeatable(a.req):
		return errkind.Overloaded, "a call that may not be repeated is never hedged", 0
	case a.pool.queue.size > 0:
		return errkind.Overloaded, "no spare slot for a hedge", 0
	}
	return "", "", 0
}

// isRepeatable reports whether the applied file lets the work run twice. A hedged call to
// a non-idempotent service could book the same order twice.
func (c *Core) isRepeatable(req SlotRequest) bool {
	return req.Service == "" || (c.spec != nil && c.spec.services[req.Service].GetIdempotent())
}

// hasHedgeCapacity reports whether the upstream has enough free slots for a hedge.
func (c *Core) hasHedgeCapacity(u *upstream) bool {
	return float64(c.freeSlots(u)) >= max(1, float64(u.Slots)*c.settings.HedgeFreeShare)
}
