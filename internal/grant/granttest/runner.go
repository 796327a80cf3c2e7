package granttest

import (
	"slices"
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/wire"
)

// runner is a model of one engine that batches continuously: all its attempts share its
// speed, and each further one slows the others a little.
type runner struct {
	sim     *Sim
	id      string
	models  []string
	running []*run
	queue   []*run // attempts beyond the slots, when entries choose alone
	slow    float64
	updated Time
	version int // invalidates scheduled events
	seen    int // attempts by the last report that entries have
	cache   cache
}

// run is one attempt on a runner. Its work is counted in tokens; the time to the first
// token counts as that many tokens of the lone speed.
type run struct {
	attempt string
	job     *job
	runner  *runner
	began   Time
	work    float64 // tokens of work done
	first   float64 // tokens of work before the first token
	firstAt Time
	ended   bool
	// lateAfter is the wait for the first token that its entry reports as late.
	lateAfter time.Duration
}

func (r *runner) state() grant.UpstreamState {
	u := grant.UpstreamState{
		ID: r.id, Incarnation: 1, Slots: r.sim.cfg.Slots, ReportedRunning: r.seen,
	}
	for _, m := range r.models {
		u.Ready = append(u.Ready, grant.Ready{Model: m, Version: "1"})
	}
	return u
}

// report publishes the load; it arrives one interval later.
func (r *runner) report() {
	s := r.sim
	n := len(r.running) + len(r.queue)
	if s.now < ReportInterval {
		s.step(r.state()) // the announcement
	}
	s.at(s.now+ReportInterval, func() {
		r.seen = n
		s.step(r.state())
	})
	s.at(s.now+ReportInterval, r.report)
}

func (c Config) firstWork() float64 { return float64(c.First) / float64(c.Gap) }

// speed is the work done a nanosecond for each attempt.
func (r *runner) speed() float64 {
	batch := 1 + r.sim.cfg.Slowdown*float64(max(0, len(r.running)-1))
	return 1 / (float64(r.sim.cfg.Gap) * batch * r.slow)
}

// advance brings the work done up to now.
func (r *runner) advance() {
	done := float64(r.sim.now-r.updated) * r.speed()
	for _, x := range r.running {
		if x.work < x.first && x.work+done >= x.first-1e-6 {
			x.firstAt = r.updated + Time((x.first-x.work)/r.speed())
			x.firstAt = max(x.firstAt, x.began+1)
		}
		x.work += done
	}
	r.updated = r.sim.now
}

func (r *runner) firstToken(x *run) bool {
	r.advance()
	return x.firstAt > 0
}

func (r *runner) setSlow(factor float64) {
	r.advance()
	r.slow = factor
	r.schedule()
}

func (r *runner) begin(x *run) {
	r.advance()
	x.runner = r
	x.first = r.sim.cfg.firstWork()
	if r.cache.use(x.job.ask.PrefixHash) {
		x.first *= 1 - cachedShare
		r.sim.result.CacheHits++
	}
	if len(r.running) >= r.sim.cfg.Slots {
		r.enqueue(x)
		return
	}
	r.running = append(r.running, x)
	r.sim.result.Peak = max(r.sim.result.Peak, len(r.running))
	r.schedule()
}

// enqueue lets an attempt wait inside the runner, by class: engines honour priorities.
func (r *runner) enqueue(x *run) {
	i, _ := slices.BinarySearchFunc(r.queue, x, func(a, b *run) int {
		if a.job.ask.Class <= b.job.ask.Class {
			return -1
		}
		return 1
	})
	r.queue = slices.Insert(r.queue, i, x)
}

// schedule plans the next first token or end of an attempt.
func (r *runner) schedule() {
	r.version++
	version := r.version
	next := -1.0
	for _, x := range r.running {
		left := r.total(x) - x.work
		if x.firstAt == 0 {
			left = x.first - x.work
		}
		if next < 0 || left < next {
			next = left
		}
	}
	if next < 0 {
		return
	}
	s := r.sim
	s.at(s.now+max(1, Time(next/r.speed())+1), func() {
		if r.version == version {
			r.settle()
		}
	})
}

func (r *runner) total(x *run) float64 { return x.first + float64(x.job.tokens) }

// settle ends the attempts that are done and lets first tokens decide between hedges.
func (r *runner) settle() {
	r.advance()
	for _, x := range slices.Clone(r.running) {
		switch {
		case x.ended:
		case x.work >= r.total(x)-1e-6:
			r.end(x, wire.Outcome_OUTCOME_OK)
			r.sim.finished(x)
		case x.firstAt > 0:
			r.cancelOthers(x)
		}
	}
	r.schedule()
}

func (r *runner) cancelOthers(x *run) {
	for _, o := range x.job.runs {
		if o != x && !o.ended {
			o.runner.cancel(o)
		}
	}
}

func (r *runner) cancel(x *run) {
	if x.ended {
		return
	}
	r.advance()
	r.end(x, wire.Outcome_OUTCOME_CANCELLED)
	r.schedule()
}

// end takes an attempt off the runner and gives its slot back.
func (r *runner) end(x *run, o wire.Outcome) {
	x.ended = true
	if i := slices.Index(r.queue, x); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
		return
	}
	i := slices.Index(r.running, x)
	r.running = slices.Delete(r.running, i, i+1)
	s := r.sim
	release := grant.Release{Attempt: x.attempt, Outcome: o, Duration: s.now - x.began}
	if x.firstAt > 0 {
		release.FirstToken = x.firstAt - x.began
		release.Tokens = min(x.job.tokens, 1+int(x.work-x.first))
	}
	s.at(s.now+Hop, func() { s.step(release) })
	if s.cfg.Alone != nil {
		r.pull()
	}
}

// pull starts queued attempts on free slots.
func (r *runner) pull() {
	for len(r.queue) > 0 && len(r.running) < r.sim.cfg.Slots {
		x := r.queue[0]
		r.queue = r.queue[1:]
		x.began = r.sim.now
		r.sim.began(x.job)
		r.running = append(r.running, x)
	}
}

// WorkPerSecond is the work, in tokens of lone speed, of all runners with every slot in use.
func (c Config) WorkPerSecond() float64 {
	batch := 1 + c.Slowdown*float64(c.Slots-1)
	return float64(c.Runners*c.Slots) * float64(time.Second) / (float64(c.Gap) * batch)
}

// Capacity returns the answers of a length that all runners can end in a second.
func (c Config) Capacity(tokens int) float64 {
	return c.WorkPerSecond() / (c.firstWork() + float64(tokens))
}
