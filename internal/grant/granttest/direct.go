package granttest

import "slices"

// Alone is the baseline without a scheduler: entries choose by late load reports and
// runners queue what exceeds their slots.
type Alone struct {
	// TwoChoices draws two runners and takes the less loaded one; else all entries take
	// the least loaded one.
	TwoChoices bool
}

func (s *Sim) chooseAlone(j *job) {
	var ready []*runner
	for _, r := range s.runners {
		if slices.Contains(r.models, j.ask.Model) {
			ready = append(ready, r)
		}
	}
	if len(ready) == 0 {
		j.ended = true // without a queue a model that is not loaded can't be waited for
		return
	}
	best := ready[s.rng.IntN(len(ready))]
	if s.cfg.Alone.TwoChoices {
		ready = []*runner{ready[s.rng.IntN(len(ready))]}
	}
	for _, r := range ready {
		if r.seen < best.seen {
			best = r
		}
	}
	x := &run{attempt: j.ask.Attempt, job: j, began: s.now}
	j.runs = append(j.runs, x)
	if len(best.running) < s.cfg.Slots {
		s.began(j)
	}
	best.begin(x)
}
