package scheduler

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/grant"
	"gentiankeel/internal/orders"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/placement"
	"gentiankeel/internal/wire"
)

const (
	// inboxSize bounds the events that wait for the decision goroutine.
	inboxSize = 8192
	// maxTick is the longest time between two looks at the clock.
	maxTick = 50 * time.Millisecond
	// reconnectGrace is how long a closed session may be opened again before its entry
	// counts as gone.
	reconnectGrace = 2 * time.Second
	// takeoverPause is the time between two tries to read the log at a takeover.
	takeoverPause = 100 * time.Millisecond
)

// active decides for the cell during one term of the lease. One goroutine owns the
// cores; the others only carry events in and actions out.
type active struct {
	s      *Server
	log    *slog.Logger
	fence  uint64
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
	begin  time.Time
	broken atomic.Bool // an invariant is broken: the term must not begin again

	inbox     chan input
	proposals chan proposal
	logReads  chan struct{}
	plans     chan placement.Input

	// Owned by the decision goroutine.
	grants   *grant.Core
	orders   *orders.Core
	spec     *wire.Spec
	sessions map[string]*entrySession // by entry
	departed map[string]time.Time     // entries without a session, and since when
	senders  map[string]*sender       // by upstream
	planning bool
	lastPlan time.Time
	learner  *placement.Learner
	reasons  []placement.Reason
}

func newActive(s *Server, fence uint64) *active {
	ctx, cancel := context.WithCancel(context.Background())
	return &active{
		s:         s,
		log:       s.log.With("fence", fence),
		fence:     fence,
		ctx:       ctx,
		cancel:    cancel,
		begin:     time.Now(),
		inbox:     make(chan input, inboxSize),
		proposals: make(chan proposal, logQueueSize),
		logReads:  make(chan struct{}, 1),
		plans:     make(chan placement.Input, 1),
		sessions:  map[string]*entrySession{},
		departed:  map[string]time.Time{},
		senders:   map[string]*sender{},
		learner:   placement.NewLearner(),
	}
}

func (a *active) start() {
	a.s.metrics.active.Set(1)
	a.done.Add(3)
	go a.run()
	go a.logDuty()
	go a.planDuty()
}

// stop ends the term. It does not wait for the decision goroutine, which may be the
// caller by way of OnBroken.
func (a *active) stop() {
	a.s.metrics.active.Set(0)
	a.cancel()
}

func (a *active) now() grant.Time { return time.Since(a.begin) }

func (a *active) valid() bool {
	fence, ok := a.s.o.Valid()
	return ok && fence == a.fence && a.ctx.Err() == nil
}

// offer hands an event to the decision goroutine; it gives up when the term ends.
func (a *active) offer(in input) { a.submit(context.Background(), in) }

// submit is offer with the sender's own patience. It reports whether the event was
// taken.
func (a *active) submit(ctx context.Context, in input) bool {
	select {
	case a.inbox <- in:
		return true
	default:
		a.s.metrics.inboxFull.Inc()
	}
	select {
	case a.inbox <- in:
		return true
	case <-a.ctx.Done():
		return false
	case <-ctx.Done():
		return false
	}
}

// run is the decision goroutine.
func (a *active) run() {
	defer a.done.Done()
	defer a.s.ended(a)
	defer a.cancel()
	defer a.recoverInvariant()
	if !a.takeOver() {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-a.ctx.Done():
			return
		case in := <-a.inbox:
			a.handle(in)
			a.drainInbox()
		case <-timer.C:
		}
		if !a.valid() {
			a.log.Warn("The lease has run out; deciding stops.")
			return
		}
		a.tick()
		timer.Reset(a.untilNextTick())
	}
}

// drainInbox handles what is there already, so that a burst costs one look at the
// clock.
func (a *active) drainInbox() {
	for n := len(a.inbox); n > 0; n-- {
		a.handle(<-a.inbox)
	}
}

// recoverInvariant stops the process with a clear line when a core finds itself broken.
func (a *active) recoverInvariant() {
	v := recover()
	if v == nil {
		return
	}
	err, ok := v.(error)
	if !ok {
		err = errors.Errorf("%v", v)
	}
	a.broken.Store(true)
	a.log.Error("An invariant is broken; the process must stop.", "error", err)
	a.s.o.OnBroken(err)
}

// takeOver reads what the cell holds from the log and starts the cores.
func (a *active) takeOver() bool {
	for a.valid() {
		resp, err := a.s.o.Group.Placements(a.ctx, a.s.o.Cell)
		if err == nil {
			a.startCores(resp)
			return true
		}
		a.log.Warn("Reading the log at takeover failed.", "error", err)
		_ = pause.For(a.ctx, takeoverPause)
	}
	return false
}

func (a *active) startCores(resp *wire.PlacementsResponse) {
	now := a.now()
	a.grants = grant.New(grant.Options{
		Settings:     a.s.o.Grant,
		Seed:         a.s.o.Seed ^ a.fence,
		Recovering:   len(resp.Entries) > 0,
		KnownEntries: resp.Entries,
		Start:        now,
	})
	a.orders = orders.New(a.ordersOptions())
	a.takeSpec(resp.Spec)
	a.stepOrders(recoveredOf(resp))
	a.log.Info("Takeover done.", "placements", len(resp.Placements), "open_orders", len(resp.OpenOrders),
		"upstreams", len(resp.Upstreams), "entries", len(resp.Entries))
}

func (a *active) takeSpec(spec *wire.Spec) {
	if spec == nil || spec.Index < a.spec.GetIndex() {
		return
	}
	a.spec = spec
	a.stepGrants(grant.SpecChanged{Spec: spec})
	a.stepOrders(orders.SpecChanged{Spec: spec})
}

func (a *active) handle(in input) {
	switch m := in.(type) {
	case sessionOpened:
		a.openSession(m)
	case sessionEvent:
		if a.sessions[m.ss.entry] == m.ss {
			a.stepGrants(m.ev)
			a.doubt(m)
		}
	case sessionClosed:
		a.closeSession(m.ss)
	case announced:
		a.announced(m)
	case specChanged:
		a.takeSpec(m.spec)
	case suspectsChanged:
		a.stepGrants(grant.SuspectsChanged{Suspects: m.suspects})
	case planned:
		a.takePlan(m.plan)
	case proposed:
		a.proposed(m)
	case logRead:
		a.logRead(m)
	case upstreamAnswer:
		a.stepOrders(m.ev)
	case question:
		m.answer <- a.explain(m.subject)
	}
}

// tick lets time pass in the cores, drops entries that did not come back and asks for
// the next plan.
func (a *active) tick() {
	for entry, since := range a.departed {
		if time.Since(since) >= reconnectGrace {
			delete(a.departed, entry)
			a.stepGrants(grant.EntryGone{Entry: entry})
		}
	}
	a.stepGrants(grant.Tick{})
	a.stepOrders(orders.Tick{})
	a.plan()
	a.s.metrics.waiting.Set(float64(a.grants.Waiting()))
	a.s.metrics.running.Set(float64(a.grants.Running()))
}

func (a *active) untilNextTick() time.Duration {
	next, ok := a.grants.NextTick(a.now())
	if !ok {
		return maxTick
	}
	return min(max(next-a.now(), time.Millisecond), maxTick)
}

// propose queues a command for the log. A full queue means that the control group is
// far behind; the term then ends, and begins again from the log, rather than losing a
// command.
func (a *active) propose(p proposal) {
	select {
	case a.proposals <- p:
	default:
		a.log.Error("Too many proposals wait for the control group; the term ends.")
		a.cancel()
	}
}
