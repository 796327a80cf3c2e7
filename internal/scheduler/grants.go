package scheduler

import (
	"gentiankeel/internal/grant"
	"gentiankeel/internal/wire"
)

func (a *active) stepGrants(ev grant.Event) {
	for _, act := range a.grants.Step(a.now(), ev) {
		a.carryOutGrant(act)
	}
}

func (a *active) carryOutGrant(act grant.Action) {
	switch m := act.(type) {
	case grant.Grant:
		a.s.metrics.granted.Inc()
		a.sendTo(m.Entry, &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Grant{Grant: a.grantOf(m)}})
	case grant.Refuse:
		a.s.metrics.refused.WithLabelValues(string(m.Kind)).Inc()
		a.sendTo(m.Entry, &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Refuse{Refuse: refuseOf(m)}})
	case grant.ReportDeath:
		a.log.Warn("A body was running when its upstream ended.", "body", m.BodyDigest, "upstream", m.Upstream)
		a.propose(proposal{cmd: &wire.Command{Op: &wire.Command_ReportDeath{ReportDeath: &wire.ReportDeath{
			BodyDigest: m.BodyDigest, Upstream: m.Upstream, Incarnation: m.Incarnation}}}})
	}
}

func (a *active) grantOf(m grant.Grant) *wire.Grant {
	return &wire.Grant{
		Attempt:        m.Attempt,
		Upstream:       m.Upstream,
		Incarnation:    m.Incarnation,
		Address:        m.Address,
		Fence:          a.fence,
		UseByMs:        wholeMilliseconds(m.UseBy),
		SpecIndex:      a.spec.GetIndex(),
		ModelVersion:   m.ModelVersion,
		AdapterVersion: m.AdapterVersion,
		HedgeAfterMs:   wholeMilliseconds(m.HedgeAfter),
		ChecksFencing:  m.ChecksFencing,
	}
}

func refuseOf(m grant.Refuse) *wire.Refuse {
	return &wire.Refuse{
		Attempt:      m.Attempt,
		Kind:         string(m.Kind),
		Detail:       m.Detail,
		RetryAfterMs: wholeMilliseconds(m.RetryAfter),
	}
}
