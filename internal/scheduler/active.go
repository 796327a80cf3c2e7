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
	// maxTickInterval is the longest time between two ticks of the cores.
	maxTickInterval = 50 * time.Millisecond
	// reconnectGrace is the time in which an entry may reopen a closed session before it
	// counts as gone.
	reconnectGrace = 2 * time.Second
	// takeoverRetryDelay is the time between two attempts to read the log at a takeover.
	takeoverRetryDelay = 100 * time.Millisecond
)

// term decides for the cell during one term of the lease. One goroutine owns the cores; the
// others only deliver events and execute actions.
type term struct {
	server    *Server
	log       *slog.Logger
	fence     uint64
	ctx       context.Context
	cancel    context.CancelFunc
	workers   sync.WaitGroup
	startedAt time.Time
	panicked  atomic.Bool // the term must not restart

	inbox           chan input
	proposals       chan proposal
	logReadRequests chan struct{}
	planInputs      chan placement.Input

	// Owned by the decision goroutine.
	grants         *grant.Core
	orders         *orders.Core
	spec           *wire.Spec
	sessions       map[string]*entrySession // by entry
	disconnectedAt map[string]time.Time     // by entry without a session
	incarnations   map[string]uint64        // newest, by upstream
	senders        map[string]*sender       // by upstream
	planning       bool
	lastPlan       time.Time
	burstDetector  *placement.BurstDetector
	lastReasons    []placement.Reason
}

func newTerm(s *Server, fence uint64) *term {
	ctx, cancel := context.WithCancel(context.Background())
	return &term{
		server:          s,
		log:             s.log.With("fence", fence),
		fence:           fence,
		ctx:             ctx,
		cancel:          cancel,
		startedAt:       time.Now(),
		inbox:           make(chan input, inboxSize),
		proposals:       make(chan proposal, proposalQueueSize),
		logReadRequests: make(chan struct{}, 1),
		planInputs:      make(chan placement.Input, 1),
		sessions:        map[string]*entrySession{},
		disconnectedAt:  map[string]time.Time{},
		incarnations:    map[string]uint64{},
		senders:         map[string]*sender{},
		burstDetector:   placement.NewBurstDetector(),
	}
}

func (t *term) start() {
	t.server.metrics.active.Set(1)
	t.workers.Add(3)
	go t.run()
	go t.commitLoop()
	go t.planLoop()
}

// stop ends the term. It does not wait for the decision goroutine, which may be the caller
// through Options.OnFatal.
func (t *term) stop() {
	t.server.metrics.active.Set(0)
	t.cancel()
}

func (t *term) now() grant.Time { return time.Since(t.startedAt) }

// valid reports whether the lease is valid under the term's fence and the term has not ended.
func (t *term) valid() bool {
	fence, ok := t.server.opts.LeaseValid()
	return ok && fence == t.fence && t.ctx.Err() == nil
}

// enqueue delivers an event to the decision goroutine and drops it if the term ends.
func (t *term) enqueue(in input) { t.enqueueContext(context.Background(), in) }

// enqueueContext delivers an event unless ctx or the term ends first. It reports whether the
// event was delivered.
func (t *term) enqueueContext(ctx context.Context, in input) bool {
	select {
	case t.inbox <- in:
		return true
	default:
		t.server.metrics.inboxFull.Inc()
	}
	select {
	case t.inbox <- in:
		return true
	case <-t.ctx.Done():
		return false
	case <-ctx.Done():
		return false
	}
}

// run is the decision goroutine.
func (t *term) run() {
	defer t.workers.Done()
	defer t.server.handleTermEnd(t)
	defer t.cancel()
	defer t.recoverPanic()
	if !t.takeOver() {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case in := <-t.inbox:
			t.handle(in)
			t.drainInbox()
		case <-timer.C:
		}
		if !t.valid() {
			t.log.Warn("The scheduler lease is no longer valid; the term ends.")
			return
		}
		t.tick()
		timer.Reset(t.untilNextTick())
	}
}

// drainInbox handles the events that are already queued, so that a burst costs one tick.
func (t *term) drainInbox() {
	for n := len(t.inbox); n > 0; n-- {
		t.handle(<-t.inbox)
	}
}

// recoverPanic reports a violated invariant of a core, or any other panic, to
// Options.OnFatal, which stops the process.
func (t *term) recoverPanic() {
	v := recover()
	if v == nil {
		return
	}
	err, ok := v.(error)
	if !ok {
		err = errors.Errorf("%v", v)
	}
	t.panicked.Store(true)
	t.log.Error("An invariant is broken; the process must stop.", "error", err)
	t.server.opts.OnFatal(err)
}

// takeOver reads the cell's state from the log and starts the cores. It returns false if the
// lease ends first.
func (t *term) takeOver() bool {
	for t.valid() {
		resp, err := t.server.opts.Group.Placements(t.ctx, t.server.opts.Cell)
		if err == nil {
			t.startCores(resp)
			return true
		}
		t.log.Warn("Reading the log at takeover failed; it is retried.", "error", err)
		_ = pause.For(t.ctx, takeoverRetryDelay)
	}
	return false
}

func (t *term) startCores(resp *wire.PlacementsResponse) {
	now := t.now()
	t.grants = grant.New(grant.Options{
		Settings:     t.server.opts.Grant,
		Seed:         t.server.opts.Seed ^ t.fence,
		Recovering:   len(resp.Entries) > 0,
		KnownEntries: resp.Entries,
		Start:        now,
	})
	t.orders = orders.New(t.ordersOptions())
	t.updateSpec(resp.Spec)
	t.stepOrders(logReadEvent(resp))
	t.log.Info("Takeover done.", "placements", len(resp.Placements), "open_orders", len(resp.OpenOrders),
		"upstreams", len(resp.Upstreams), "entries", len(resp.Entries))
}

func (t *term) updateSpec(spec *wire.Spec) {
	if spec == nil || spec.Index < t.spec.GetIndex() {
		return
	}
	t.spec = spec
	t.stepGrants(grant.SpecChanged{Spec: spec})
	t.stepOrders(orders.SpecChanged{Spec: spec})
}

func (t *term) handle(in input) {
	switch m := in.(type) {
	case sessionOpened:
		t.openSession(m)
	case sessionEvent:
		if t.sessions[m.ss.entry] == m.ss {
			t.stepGrants(m.ev)
			t.reportCutAnswer(m)
		}
	case sessionClosed:
		t.closeSession(m.ss)
	case announcementInput:
		t.handleAnnouncement(m)
	case specChanged:
		t.updateSpec(m.spec)
	case suspectsChanged:
		t.stepGrants(grant.SuspectsChanged{Suspects: m.suspects})
	case planResult:
		t.applyPlan(m.plan)
	case proposalResult:
		t.handleProposalResult(m)
	case logReadResult:
		t.handleLogRead(m)
	case upstreamResult:
		t.stepOrders(m.ev)
	case explainRequest:
		m.reply <- t.explain(m.subject)
	}
}

// tick steps the cores, drops entries that did not reconnect in time and requests the next
// plan.
func (t *term) tick() {
	for entry, since := range t.disconnectedAt {
		if time.Since(since) >= reconnectGrace {
			delete(t.disconnectedAt, entry)
			t.stepGrants(grant.EntryGone{Entry: entry})
		}
	}
	t.stepGrants(grant.Tick{})
	t.stepOrders(orders.Tick{})
	t.requestPlan()
	t.server.metrics.waiting.Set(float64(t.grants.Waiting()))
	t.server.metrics.running.Set(float64(t.grants.Running()))
}

// untilNextTick returns the time to the next tick, from 1 ms to maxTickInterval.
func (t *term) untilNextTick() time.Duration {
	next, ok := t.grants.NextTick(t.now())
	if !ok {
		return maxTickInterval
	}
	return min(max(next-t.now(), time.Millisecond), maxTickInterval)
}

// propose queues a command for the log. A full queue means that the control group is far
// behind. The term then ends and restarts from the log instead of losing a command.
func (t *term) propose(p proposal) {
	select {
	case t.proposals <- p:
	default:
		t.log.Error("The queue of proposals to the control group is full; the term ends.")
		t.cancel()
	}
}
