package scheduler

import "fmt"

// explain tells what the last plan said of a model or "model:adapter".
func (a *active) explain(subject string) []string {
	var lines []string
	for _, r := range a.reasons {
		name := r.Model
		if r.Adapter != "" {
			name += ":" + r.Adapter
		}
		if name != subject {
			continue
		}
		where := r.Runner
		if where == "" {
			where = "nowhere"
		}
		lines = append(lines, fmt.Sprintf("%s: replica %d on %s: %s", name, r.Replica, where, r.Text))
	}
	return lines
}
