package granttest

import (
	"slices"
	"time"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/wire"
)

// runner models an engine with continuous batching: its running attempts share its speed,
// and each further one slows the others a little.
type runner struct {
	sim          *Sim
	id           string
	models       []string
	running      []*run
	queue        []*run // attempts beyond the slots, without a scheduler only
	slowFactor   float64
	updated      Time
	version      int // a change cancels scheduled events
	reportedLoad int // attempts in the last load report that has arrived
	cache        cache
}

// run is one attempt on a runner. Its work is counted in tokens at the speed of an attempt
// that runs alone; the time to the first token is converted to tokens as well.
type run struct {
	attempt   string
	job       *job
	runner    *runner
	started   Time
	workDone  float64 // in tokens
	firstWork float64 // work before the first token, in tokens
	firstAt   Time    // time of the first token; 0: none yet
	ended     bool
	// slowAfter is the wait for the first token after which its entry reports the attempt
	// as slow.
	slowAfter time.Duration
}

func (r *runner) state() grant.UpstreamState {
	u := grant.UpstreamState{
		ID: r.id, Incarnation: 1, Slots: r.sim.cfg.Slots, ReportedRunning: r.reportedLoad,
	}
	for _, m := range r.models {
		u.Ready = append(u.Ready, grant.Ready{Model: m, Version: "1"})
	}
	return u
}

// report publishes the load. The report arrives one interval later.
func (r *runner) report() {
	s := r.sim
	n := len(r.running) + len(r.queue)
	if s.now < ReportInterval {
		s.step(r.state()) // the announcement
	}
	s.at(s.now+ReportInterval, func() {
		r.reportedLoad = n
		s.step(r.state())
	})
	s.at(s.now+ReportInterval, r.report)
}

func (c Config) firstWork() float64 { return float64(c.FirstToken) / float64(c.TokenGap) }

// speed returns the tokens of work done in a nanosecond by each running attempt.
func (r *runner) speed() float64 {
	batch := 1 + r.sim.cfg.Slowdown*float64(max(0, len(r.running)-1))
	return 1 / (float64(r.sim.cfg.TokenGap) * batch * r.slowFactor)
}

// advance updates the work done up to now.
func (r *runner) advance() {
	done := float64(r.sim.now-r.updated) * r.speed()
	for _, x := range r.running {
		if x.workDone < x.firstWork && x.workDone+done >= x.firstWork-1e-6 {
			x.firstAt = r.updated + Time((x.firstWork-x.workDone)/r.speed())
			x.firstAt = max(x.firstAt, x.started+1)
		}
		x.workDone += done
	}
	r.updated = r.sim.now
}

func (r *runner) hasFirstToken(x *run) bool {
	r.advance()
	return x.firstAt > 0
}

func (r *runner) setSlow(factor float64) {
	r.advance()
	r.slowFactor = factor
	r.schedule()
}

func (r *runner) begin(x *run) {
	r.advance()
	x.runner = r
	x.firstWork = r.sim.cfg.firstWork()
	if r.cache.use(x.job.req.PrefixHash) {
		x.firstWork *= 1 - cachedShare
		r.sim.result.CacheHits++
	}
	if len(r.running) >= r.sim.cfg.Slots {
		r.enqueue(x)
		return
	}
	r.running = append(r.running, x)
	r.sim.result.MaxInFlight = max(r.sim.result.MaxInFlight, len(r.running))
	r.schedule()
}

// enqueue queues an attempt inside the runner by class, as engines with priorities do.
func (r *runner) enqueue(x *run) {
	i, _ := slices.BinarySearchFunc(r.queue, x, func(a, b *run) int {
		if a.job.req.Class <= b.job.req.Class {
			return -1
		}
		return 1
	})
	r.queue = slices.Insert(r.queue, i, x)
}

// schedule schedules the next first token or end of an attempt.
func (r *runner) schedule() {
	r.version++
	version := r.version
	next := -1.0
	for _, x := range r.running {
		left := r.totalWork(x) - x.workDone
		if x.firstAt == 0 {
			left = x.firstWork - x.workDone
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
			r.completeDue()
		}
	})
}

func (r *runner) totalWork(x *run) float64 { return x.firstWork + float64(x.job.tokens) }

// completeDue ends the attempts that are complete. An attempt with a first token cancels
// the others of its request.
func (r *runner) completeDue() {
	r.advance()
	for _, x := range slices.Clone(r.running) {
		switch {
		case x.ended:
		case x.workDone >= r.totalWork(x)-1e-6:
			r.end(x, wire.Outcome_OUTCOME_OK)
			r.sim.complete(x)
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

// end removes an attempt from the runner and releases its slot.
func (r *runner) end(x *run, o wire.Outcome) {
	x.ended = true
	if i := slices.Index(r.queue, x); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
		return
	}
	i := slices.Index(r.running, x)
	r.running = slices.Delete(r.running, i, i+1)
	s := r.sim
	release := grant.Release{Attempt: x.attempt, Outcome: o, Duration: s.now - x.started}
	if x.firstAt > 0 {
		release.FirstToken = x.firstAt - x.started
		release.Tokens = min(x.job.tokens, 1+int(x.workDone-x.firstWork))
	}
	s.at(s.now+MessageDelay, func() { s.step(release) })
	if s.cfg.Direct != nil {
		r.startQueued()
	}
}

// startQueued starts queued attempts on free slots.
func (r *runner) startQueued() {
	for len(r.queue) > 0 && len(r.running) < r.sim.cfg.Slots {
		x := r.queue[0]
		r.queue = r.queue[1:]
		x.started = r.sim.now
		r.sim.markStarted(x.job)
		r.running = append(r.running, x)
	}
}

// WorkPerSecond returns the work of all runners in a second while every slot is in use, in
// tokens at the speed of an attempt that runs alone.
func (c Config) WorkPerSecond() float64 {
	batch := 1 + c.Slowdown*float64(c.Slots-1)
	return float64(c.Runners*c.Slots) * float64(time.Second) / (float64(c.TokenGap) * batch)
}

// Capacity returns the number of answers of a length that all runners can complete in a
// second.
func (c Config) Capacity(tokens int) float64 {
	return c.WorkPerSecond() / (c.firstWork() + float64(tokens))
}
