package placement

// explain adds a reason for each replica slot of the applied file and for each adapter
// on a runner.
func (p *planner) explain() {
	for _, m := range p.models {
		p.explainModel(m)
	}
	for _, rep := range p.adapters {
		p.plan.Reasons = append(p.plan.Reasons, Reason{
			Model: rep.alloc.Model, Adapter: rep.alloc.Adapter, Runner: rep.runner.ID, Text: rep.reasonText("held"),
		})
	}
}

func (p *planner) explainModel(m *modelState) {
	slot := 0
	add := func(runner, text string) {
		p.plan.Reasons = append(p.plan.Reasons, Reason{Model: m.spec.GetName(), Replica: slot, Runner: runner, Text: text})
		slot++
	}
	for _, rep := range m.replicas {
		keptReason := "spare until it is idle or its room is wanted"
		if slot < m.desired {
			keptReason = m.reason
		}
		add(rep.runner.ID, rep.reasonText(keptReason))
	}
	for _, r := range m.startedOn {
		add(r.ID, "load ordered: "+m.reason)
	}
	for slot < int(m.spec.GetReplicas()) {
		text := "not wanted now"
		if slot < m.desired && m.missingReason != "" {
			text = m.missingReason
		}
		add("", text)
	}
}

// reasonText explains a replica or adapter; keptReason is the text for one that is
// loaded and kept.
func (rep *replica) reasonText(keptReason string) string {
	if rep.reason != "" {
		return rep.reason
	}
	switch rep.status {
	case statusUnloading:
		return "unload ordered, not yet seen gone"
	case statusLeaving:
		return "its runner is leaving"
	case statusSuspect:
		return "its runner is suspect: counted, not touched"
	}
	switch rep.alloc.State {
	case Loading:
		return "load ordered, not yet reported"
	case OutcomeUnknown:
		return "outcome of an order unknown: counted until its runner reports"
	default:
		return keptReason
	}
}
