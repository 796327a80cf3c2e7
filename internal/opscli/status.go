package opscli

import (
	"context"
	"strings"

	"gentiankeel/internal/wire"
)

type statusCmd struct{}

func (statusCmd) Run(e *env) error {
	var st *wire.StatusResponse
	err := e.call(func(ctx context.Context, cl wire.OperatorClient) (err error) {
		st, err = cl.Status(ctx, &wire.StatusRequest{})
		return err
	})
	if err != nil {
		return err
	}
	return e.print(st, func() { e.printStatus(st) })
}

func (e *env) printStatus(st *wire.StatusResponse) {
	e.printf("answered by %s, term %d, commit %d, applied %d, repaired %t\n",
		st.AnsweredBy, st.Term, st.CommitIndex, st.AppliedIndex, st.Repaired)
	if st.Applied != nil {
		e.printf("file: version %d, digest %.12s, index %d\n", st.Applied.Version, st.Applied.Digest, st.Applied.Index)
	}
	for _, m := range st.Members {
		e.printf("member   %-10s %-21s %-10s match %-8d %s\n", m.Id, m.Address, m.Zone, m.MatchIndex, memberText(m))
	}
	for _, n := range st.Nodes {
		r := n.Report
		e.printf("node     %-10s %-21s %-10s enforces %-8d version %-5d %s, seen %d ms ago\n",
			r.Node, r.Address, r.Zone, r.EnforcedIndex, r.SpecVersion, strings.Join(r.Roles, ","), n.AgeMs)
	}
	for _, l := range st.Leases {
		e.printf("lease    %-30s fence %-6d %s\n", l.Name, l.Fence, l.Holder)
	}
	for _, u := range st.Upstreams {
		e.printf("upstream %-10s %-21s %-10s incarnation %d %s\n", u.Id, u.Address, u.Zone, u.Incarnation, u.Service)
	}
	for _, p := range st.Placements {
		o := p.Order
		e.printf("held     %-20s %-16s on %-10s %s %s\n", o.Model, o.Adapter, o.Upstream, o.State, o.Reason)
	}
	for _, s := range st.Suspects {
		e.printf("suspect  %.16s lost %s quarantined %t\n", s.BodyDigest, strings.Join(s.Upstreams, ","), s.Quarantined)
	}
}

func memberText(m *wire.MemberStatus) string {
	switch {
	case m.Leader:
		return "leader"
	case m.Learner:
		return "learner"
	default:
		return "voter"
	}
}
