package scheduler

import "fmt"

// explain returns the reasons of the last plan for a model or "model:adapter".
func (t *term) explain(subject string) []string {
	var lines []string
	for _, r := range t.lastReasons {
		name := r.Model
		if r.Adapter != "" {
			name += ":" + r.Adapter
		}
		if name != subject {
			continue
		}
		runner := r.Runner
		if runner == "" {
			runner = "nowhere"
		}
		lines = append(lines, fmt.Sprintf("%s: replica %d on %s: %s", name, r.Replica, runner, r.Text))
	}
	return lines
}
