package session

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

// Client is the session of one entry with the scheduler. It is safe for concurrent use.
type Client struct {
	opts Options
	log  *slog.Logger
	m    *metrics
	stop context.CancelFunc
	done chan struct{} // closed when run has ended

	closing   chan struct{} // closed to end the session gracefully
	closeOnce sync.Once

	mu            sync.Mutex
	target        Target
	targetChanged chan struct{}        // closed and replaced when the target changes
	fence         uint64               // highest fencing number seen
	waiting       map[string]*waiter   // by attempt id
	held          map[string]*heldSlot // by attempt id
	cutGrants     []cutGrant           // oldest first
	queue         []*wire.EntryMessage
	queued        chan struct{}    // signals the sender that messages are queued
	conn          *grpc.ClientConn // nil while there is no connection to a scheduler
	connected     bool             // the handshake of the current stream has succeeded
	cancelStream  func()           // ends the current stream; nil if there is none
}

// waiter is a pending slot request.
type waiter struct {
	ask      *wire.Ask
	onLost   func()
	deadline time.Time
	result   chan result // receives exactly one result
}

// heldSlot is a grant that has not been released.
type heldSlot struct {
	grant  *wire.HeldGrant
	onLost func() // nil once it was called
}

type result struct {
	grant    *wire.Grant
	received time.Time
	err      *errkind.Error
}

type metrics struct {
	connects     prometheus.Counter
	staleGrants  prometheus.Counter
	orphanGrants prometheus.Counter
	resentAsks   prometheus.Counter
}

// New starts a client, which connects after SetScheduler. Stop it with Close.
func New(opts Options) (*Client, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(opts.Registerer)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	c := &Client{
		opts:          opts,
		log:           opts.Logger.With("part", "session"),
		m:             m,
		stop:          stop,
		done:          make(chan struct{}),
		closing:       make(chan struct{}),
		targetChanged: make(chan struct{}),
		waiting:       map[string]*waiter{},
		held:          map[string]*heldSlot{},
		queued:        make(chan struct{}, 1),
	}
	go c.run(ctx)
	return c, nil
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "gentiankeel_session_" + name, Help: help})
	}
	m := &metrics{
		connects:     counter("connects_total", "Streams that a scheduler welcomed."),
		staleGrants:  counter("stale_grants_total", "Grants given back because their use-by or fencing number was old."),
		orphanGrants: counter("orphan_grants_total", "Grants given back because nobody waited for them."),
		resentAsks:   counter("resent_asks_total", "Asks sent again to a new stream."),
	}
	for _, c := range []prometheus.Collector{m.connects, m.staleGrants, m.orphanGrants, m.resentAsks} {
		if err := reg.Register(c); err != nil {
			return nil, errors.Wrap(err, "registering the session's metrics")
		}
	}
	return m, nil
}

// SetScheduler sets the current holder of the scheduler's lease. A target with a lower
// fencing number than the present one is ignored.
func (c *Client) SetScheduler(t Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t == c.target || t.Fence < c.target.Fence {
		return
	}
	c.target = t
	close(c.targetChanged)
	c.targetChanged = make(chan struct{})
}

// Connected reports whether there is a stream whose handshake has succeeded.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connected
}

// HeldGrantCount returns the number of grants that have not been released.
func (c *Client) HeldGrantCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}

// Acquire waits for a slot until ctx ends or the time in ask.DeadlineMs has passed. Its
// errors are of type *errkind.Error. A grant that arrives after the wait is released as
// unused. If a later incarnation of the granted upstream announces itself before the slot is
// released, onLost is called, once.
func (c *Client) Acquire(ctx context.Context, ask *wire.Ask, onLost func()) (*wire.Grant, error) {
	timeout := time.Duration(ask.GetDeadlineMs()) * time.Millisecond
	deadline := c.opts.Now().Add(timeout)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		w, err := c.register(ask, deadline, onLost)
		if err != nil {
			return nil, err
		}
		res := c.await(ctx, timer.C, w)
		if res.err != nil {
			return nil, res.err
		}
		if c.deductWait(res) {
			return res.grant, nil
		}
		c.m.staleGrants.Inc()
		c.Release(unusedRelease(res.grant))
	}
}

// register adds a slot request to the pending ones and, if there is a connection, sends it.
// An attempt id that is pending already is an error.
func (c *Client) register(ask *wire.Ask, deadline time.Time, onLost func()) (*waiter, error) {
	w := &waiter{ask: ask, onLost: onLost, deadline: deadline, result: make(chan result, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting[ask.GetAttempt()] != nil {
		return nil, errkind.New(errkind.Internal, "attempt %s asks twice", ask.GetAttempt()).WithRan(errkind.RanNo)
	}
	c.waiting[ask.GetAttempt()] = w
	if c.connected {
		c.enqueue(c.askMessage(w))
	}
	return w, nil
}

// await waits for the result of a slot request, the end of ctx or the deadline.
func (c *Client) await(ctx context.Context, deadline <-chan time.Time, w *waiter) result {
	select {
	case res := <-w.result:
		return res
	case <-ctx.Done():
	case <-deadline:
	}
	return c.cancelRequest(w)
}

// cancelRequest cancels a slot request that was not decided in time and returns its error.
// A grant that arrives at the same time is released.
func (c *Client) cancelRequest(w *waiter) result {
	c.mu.Lock()
	attempt := w.ask.GetAttempt()
	connected := c.connected
	if c.waiting[attempt] == w {
		delete(c.waiting, attempt)
		if connected {
			c.enqueue(&wire.EntryMessage{Msg: &wire.EntryMessage_Cancel{Cancel: &wire.Cancel{Attempt: attempt}}})
		}
	}
	c.mu.Unlock()
	select {
	case res := <-w.result:
		if res.err != nil {
			return res
		}
		c.Release(unusedRelease(res.grant))
	default:
	}
	if !connected {
		return result{err: errkind.New(errkind.NoScheduler, "no scheduler answered in time").WithRan(errkind.RanNo)}
	}
	return result{err: errkind.New(errkind.DeadlineExceeded, "no slot became free in time").WithRan(errkind.RanNo)}
}

// deductWait subtracts the time since the grant's arrival from its use-by time, because
// the process may have been paused in between. It reports whether any time is left.
func (c *Client) deductWait(res result) bool {
	useBy := time.Duration(res.grant.GetUseByMs()) * time.Millisecond
	waited := c.opts.Now().Sub(res.received)
	if waited >= useBy {
		return false
	}
	res.grant.UseByMs = uint32((useBy - waited).Milliseconds())
	return true
}

func unusedRelease(g *wire.Grant) *wire.Release {
	return &wire.Release{
		Attempt:     g.GetAttempt(),
		Outcome:     wire.Outcome_OUTCOME_UNUSED,
		Upstream:    g.GetUpstream(),
		Incarnation: g.GetIncarnation(),
	}
}

// Release returns a slot to the scheduler. It does not block: without a connection the
// message is queued. In both cases the hello of the next stream no longer lists the grant
// as held.
func (c *Client) Release(r *wire.Release) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.held[r.GetAttempt()]; h != nil && r.GetOutcome() == wire.Outcome_OUTCOME_CUT {
		c.cutGrants = append(c.recentCutGrants(), cutGrant{h.grant, c.opts.Now()})
	}
	delete(c.held, r.GetAttempt())
	c.enqueue(releaseMessage(r))
}

// cutReportTTL is how long hellos list an attempt whose response was cut, so that a
// scheduler that takes over in this time can attribute the failure of an upstream to the
// body that ran on it.
const cutReportTTL = 2 * time.Minute

// cutGrant is the grant of an attempt whose response was cut.
type cutGrant struct {
	grant      *wire.HeldGrant
	releasedAt time.Time
}

// recentCutGrants returns the cut grants without those that are too old to be reported.
// The caller holds mu.
func (c *Client) recentCutGrants() []cutGrant {
	oldest := c.opts.Now().Add(-cutReportTTL)
	return slices.DeleteFunc(c.cutGrants, func(g cutGrant) bool { return g.releasedAt.Before(oldest) })
}

// ReportProgress reports a slow attempt. It does not block, and does nothing without a
// connection.
func (c *Client) ReportProgress(p *wire.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connected {
		c.enqueue(&wire.EntryMessage{Msg: &wire.EntryMessage_Progress{Progress: p}})
	}
}

// Announce forwards an upstream's announcement to the scheduler. Its error is of kind
// NoScheduler.
func (c *Client) Announce(ctx context.Context, announcement []byte) (*wire.AnnounceResponse, error) {
	c.mu.Lock()
	conn := c.conn
	c.mu.Unlock()
	if conn == nil {
		return nil, errkind.New(errkind.NoScheduler, "no scheduler is known")
	}
	res, err := wire.NewSchedulerClient(conn).Announce(ctx, &wire.AnnounceRequest{Announcement: announcement})
	if err != nil {
		return nil, errkind.Wrap(errkind.NoScheduler, err, "the scheduler took no announcement")
	}
	return res, nil
}

// enqueue queues a message for the stream. A full queue is discarded and ends the
// stream: the hello of the next one lists the held grants, so that lost releases can't
// leak slots. The caller holds mu.
func (c *Client) enqueue(m *wire.EntryMessage) {
	if len(c.queue) >= c.opts.QueueSize {
		c.queue = nil
		if c.cancelStream != nil {
			c.cancelStream()
		}
		return
	}
	c.queue = append(c.queue, m)
	select {
	case c.queued <- struct{}{}:
	default:
	}
}

// askMessage returns the message of a slot request with the time that is left to its
// deadline. The caller holds mu.
func (c *Client) askMessage(w *waiter) *wire.EntryMessage {
	remaining := max(w.deadline.Sub(c.opts.Now()), 0)
	ask := proto.CloneOf(w.ask) // the sender may still use an earlier message
	ask.DeadlineMs = uint32(remaining.Milliseconds())
	return &wire.EntryMessage{Msg: &wire.EntryMessage_Ask{Ask: ask}}
}

// Close waits until all grants are released and the releases sent, or ctx ends, and then
// closes the session. Pending slot requests fail with NoScheduler. The error is that of
// ctx if grants were still held or messages queued.
func (c *Client) Close(ctx context.Context) error {
	err := c.waitFlushed(ctx)
	c.closeOnce.Do(func() { close(c.closing) })
	if c.Connected() {
		select {
		case <-c.done:
		case <-ctx.Done():
		}
	}
	c.stop()
	<-c.done
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, w := range c.waiting {
		delete(c.waiting, id)
		w.result <- result{err: errkind.New(errkind.NoScheduler, "the session is closed").WithRan(errkind.RanNo)}
	}
	return err
}

// flushPoll is the time between two checks of waitFlushed.
const flushPoll = 5 * time.Millisecond

// waitFlushed waits until no grant is held and no message is queued for a connected
// scheduler.
func (c *Client) waitFlushed(ctx context.Context) error {
	tick := time.NewTicker(flushPoll)
	defer tick.Stop()
	for {
		c.mu.Lock()
		held, queued, connected := len(c.held), len(c.queue), c.connected
		c.mu.Unlock()
		if held == 0 && (queued == 0 || !connected) {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "closing the session with %d grants held", held)
		}
	}
}
