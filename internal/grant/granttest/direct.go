package granttest

import "slices"

// Direct is the baseline without a scheduler: entries choose a runner directly, by load
// reports that lag behind, and runners queue the attempts beyond their slots.
type Direct struct {
	// TwoChoices makes entries draw two runners and take the less loaded one. Otherwise
	// all take the least loaded one.
	TwoChoices bool
}

func (s *Sim) sendDirect(j *job) {
	var ready []*runner
	for _, r := range s.runners {
		if slices.Contains(r.models, j.req.Model) {
			ready = append(ready, r)
		}
	}
	if len(ready) == 0 {
		j.ended = true // there is no queue in which to wait for the model to load
		return
	}
	best := ready[s.rng.IntN(len(ready))]
	if s.cfg.Direct.TwoChoices {
		ready = []*runner{ready[s.rng.IntN(len(ready))]}
	}
	for _, r := range ready {
		if r.reportedLoad < best.reportedLoad {
			best = r
		}
	}
	x := &run{attempt: j.req.Attempt, job: j, started: s.now}
	j.runs = append(j.runs, x)
	if len(best.running) < s.cfg.Slots {
		s.markStarted(j)
	}
	best.begin(x)
}
