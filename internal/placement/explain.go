package placement

// explain gives each replica slot of the applied file a reason, and each held adapter.
func (p *planner) explain() {
	for _, m := range p.models {
		p.explainModel(m)
	}
	for _, rep := range p.adapter {
		p.out.Reasons = append(p.out.Reasons, Reason{
			Model: rep.h.Model, Adapter: rep.h.Adapter, Runner: rep.r.ID, Text: rep.text("held"),
		})
	}
}

func (p *planner) explainModel(m *model) {
	slot := 0
	add := func(runner, text string) {
		p.out.Reasons = append(p.out.Reasons, Reason{Model: m.spec.GetName(), Replica: slot, Runner: runner, Text: text})
		slot++
	}
	for _, rep := range m.replicas {
		held := "spare until it is idle or its room is wanted"
		if slot < m.want {
			held = m.why
		}
		add(rep.r.ID, rep.text(held))
	}
	for _, r := range m.started {
		add(r.ID, "load ordered: "+m.why)
	}
	for slot < int(m.spec.GetReplicas()) {
		text := "not wanted now"
		if slot < m.want && m.missing != "" {
			text = m.missing
		}
		add("", text)
	}
}

func (rep *replica) text(held string) string {
	if rep.why != "" {
		return rep.why
	}
	switch rep.fate {
	case fateGoing:
		return "unload ordered, not yet seen gone"
	case fateLost:
		return "its runner is leaving"
	case fateFrozen:
		return "its runner is suspect: counted, not touched"
	}
	switch rep.h.State {
	case Loading:
		return "load ordered, not yet reported"
	case Unsettled:
		return "outcome of an order unknown: counted until its runner reports"
	default:
		return held
	}
}
