package scheduler

import (
	"gentiankeel/internal/grant"
	"gentiankeel/internal/wire"
)

func (t *term) stepGrants(ev grant.Event) {
	for _, act := range t.grants.Step(t.now(), ev) {
		t.executeGrantAction(act)
	}
}

func (t *term) executeGrantAction(act grant.Action) {
	switch m := act.(type) {
	case grant.Grant:
		t.server.metrics.granted.Inc()
		t.sendTo(m.Entry, &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Grant{Grant: t.grantMessage(m)}})
	case grant.Refuse:
		t.server.metrics.refused.WithLabelValues(string(m.Kind)).Inc()
		t.sendTo(m.Entry, &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Refuse{Refuse: refuseMessage(m)}})
	case grant.ReportDeath:
		t.log.Warn("A request body was running when its upstream died.", "body", m.BodyDigest, "upstream", m.Upstream)
		t.propose(proposal{cmd: &wire.Command{Op: &wire.Command_ReportDeath{ReportDeath: &wire.ReportDeath{
			BodyDigest: m.BodyDigest, Upstream: m.Upstream, Incarnation: m.Incarnation}}}})
	case grant.ReportAnswer:
		t.log.Info("A suspect request body was answered.", "body", m.BodyDigest, "deaths", m.Deaths)
		t.propose(proposal{cmd: &wire.Command{Op: &wire.Command_ReportAnswer{ReportAnswer: &wire.ReportAnswer{
			BodyDigest: m.BodyDigest, Upstreams: m.Deaths}}}})
	}
}

func (t *term) grantMessage(m grant.Grant) *wire.Grant {
	return &wire.Grant{
		Attempt:        m.Attempt,
		Upstream:       m.Upstream,
		Incarnation:    m.Incarnation,
		Address:        m.Address,
		Fence:          t.fence,
		UseByMs:        ceilMilliseconds(m.UseBy),
		SpecIndex:      t.spec.GetIndex(),
		ModelVersion:   m.ModelVersion,
		AdapterVersion: m.AdapterVersion,
		HedgeAfterMs:   ceilMilliseconds(m.HedgeAfter),
		ChecksFencing:  m.ChecksFencing,
	}
}

func refuseMessage(m grant.Refuse) *wire.Refuse {
	return &wire.Refuse{
		Attempt:      m.Attempt,
		Kind:         string(m.Kind),
		Detail:       m.Detail,
		RetryAfterMs: ceilMilliseconds(m.RetryAfter),
	}
}
