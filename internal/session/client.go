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

// Client is one entry's session. It is safe for concurrent use.
type Client struct {
	opts Options
	log  *slog.Logger
	m    *metrics
	stop context.CancelFunc
	done chan struct{} // closed when run has ended

	closing   chan struct{} // closed when the session shall end in order
	closeOnce sync.Once

	mu      sync.Mutex
	target  Target
	changed chan struct{} // closed when the target changes
	fence   uint64        // highest fencing number seen
	waiting map[string]*waiter
	held    map[string]*wire.HeldGrant
	cuts    []cutGrant // oldest first
	queue   []*wire.EntryMessage
	wake    chan struct{}    // tells the sender of new messages
	conn    *grpc.ClientConn // nil while no scheduler is reached
	up      bool             // the scheduler has welcomed this stream
	reset   func()           // ends the stream; nil without one
}

// waiter is one ask without an answer.
type waiter struct {
	ask      *wire.Ask
	deadline time.Time
	result   chan result // takes exactly one
}

type result struct {
	grant    *wire.Grant
	received time.Time
	err      *errkind.Error
}

type metrics struct {
	connects prometheus.Counter
	stale    prometheus.Counter
	orphans  prometheus.Counter
	resent   prometheus.Counter
}

// New starts a client that knows no scheduler yet; Close ends it.
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
		opts:    opts,
		log:     opts.Logger.With("part", "session"),
		m:       m,
		stop:    stop,
		done:    make(chan struct{}),
		closing: make(chan struct{}),
		changed: make(chan struct{}),
		waiting: map[string]*waiter{},
		held:    map[string]*wire.HeldGrant{},
		wake:    make(chan struct{}, 1),
	}
	go c.run(ctx)
	return c, nil
}

func newMetrics(reg prometheus.Registerer) (*metrics, error) {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "gentiankeel_session_" + name, Help: help})
	}
	m := &metrics{
		connects: counter("connects_total", "Streams that a scheduler welcomed."),
		stale:    counter("stale_grants_total", "Grants given back because their use-by or fencing number was old."),
		orphans:  counter("orphan_grants_total", "Grants given back because nobody waited for them."),
		resent:   counter("resent_asks_total", "Asks sent again to a new stream."),
	}
	for _, c := range []prometheus.Collector{m.connects, m.stale, m.orphans, m.resent} {
		if err := reg.Register(c); err != nil {
			return nil, errors.Wrap(err, "registering the session's metrics")
		}
	}
	return m, nil
}

// SetScheduler tells who holds the scheduler's lease now. Targets with a lower
// fencing number than one seen before are ignored.
func (c *Client) SetScheduler(t Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t == c.target || t.Fence < c.target.Fence {
		return
	}
	c.target = t
	close(c.changed)
	c.changed = make(chan struct{})
}

// Connected tells whether a scheduler has welcomed the current stream.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.up
}

// Held returns the number of grants that were not given back.
func (c *Client) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.held)
}

// Ask waits for a slot until ctx or the ask's own deadline ends. A refusal is an
// *errkind.Error. A grant that comes after that is given back unused.
func (c *Client) Ask(ctx context.Context, ask *wire.Ask) (*wire.Grant, error) {
	left := time.Duration(ask.GetDeadlineMs()) * time.Millisecond
	deadline := c.opts.Now().Add(left)
	timer := time.NewTimer(left)
	defer timer.Stop()
	for {
		w, err := c.open(ask, deadline)
		if err != nil {
			return nil, err
		}
		res := c.await(ctx, timer.C, w)
		if res.err != nil {
			return nil, res.err
		}
		if c.usable(res) {
			return res.grant, nil
		}
		c.m.stale.Inc()
		c.Release(unused(res.grant))
	}
}

func (c *Client) open(ask *wire.Ask, deadline time.Time) (*waiter, error) {
	w := &waiter{ask: ask, deadline: deadline, result: make(chan result, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting[ask.GetAttempt()] != nil {
		return nil, errkind.New(errkind.Internal, "attempt %s asks twice", ask.GetAttempt()).WithRan(errkind.RanNo)
	}
	c.waiting[ask.GetAttempt()] = w
	if c.up {
		c.push(c.askMessage(w))
	}
	return w, nil
}

func (c *Client) await(ctx context.Context, deadline <-chan time.Time, w *waiter) result {
	select {
	case res := <-w.result:
		return res
	case <-ctx.Done():
	case <-deadline:
	}
	return c.giveUp(w)
}

// giveUp takes an ask back. An answer that came in the same moment is given back too.
func (c *Client) giveUp(w *waiter) result {
	c.mu.Lock()
	attempt := w.ask.GetAttempt()
	up := c.up
	if c.waiting[attempt] == w {
		delete(c.waiting, attempt)
		if up {
			c.push(&wire.EntryMessage{Msg: &wire.EntryMessage_Cancel{Cancel: &wire.Cancel{Attempt: attempt}}})
		}
	}
	c.mu.Unlock()
	select {
	case res := <-w.result:
		if res.err != nil {
			return res
		}
		c.Release(unused(res.grant))
	default:
	}
	if !up {
		return result{err: errkind.New(errkind.NoScheduler, "no scheduler answered in time").WithRan(errkind.RanNo)}
	}
	return result{err: errkind.New(errkind.DeadlineExceeded, "no slot became free in time").WithRan(errkind.RanNo)}
}

// usable tells whether the first byte may still be written under the grant. The time
// between its arrival and now counts: the process may have been frozen.
func (c *Client) usable(res result) bool {
	useBy := time.Duration(res.grant.GetUseByMs()) * time.Millisecond
	waited := c.opts.Now().Sub(res.received)
	if waited >= useBy {
		return false
	}
	res.grant.UseByMs = uint32((useBy - waited).Milliseconds())
	return true
}

func unused(g *wire.Grant) *wire.Release {
	return &wire.Release{
		Attempt:     g.GetAttempt(),
		Outcome:     wire.Outcome_OUTCOME_UNUSED,
		Upstream:    g.GetUpstream(),
		Incarnation: g.GetIncarnation(),
	}
}

// Release gives a slot back; it does not block. While no scheduler is reached the
// message waits; the next hello no longer names the grant in any case.
func (c *Client) Release(r *wire.Release) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.held[r.GetAttempt()]; h != nil && r.GetOutcome() == wire.Outcome_OUTCOME_CUT {
		c.cuts = append(c.recentCuts(), cutGrant{h, c.opts.Now()})
	}
	delete(c.held, r.GetAttempt())
	c.push(releaseMessage(r))
}

// cutReportFor is how long a hello names an attempt that was cut off in mid-answer: a
// scheduler that takes over meanwhile must learn which body ran on an upstream that
// died.
const cutReportFor = 2 * time.Minute

// cutGrant is a grant whose answer was cut off.
type cutGrant struct {
	grant *wire.HeldGrant
	at    time.Time
}

// recentCuts needs mu. It forgets the cuts that are too old to be reported.
func (c *Client) recentCuts() []cutGrant {
	oldest := c.opts.Now().Add(-cutReportFor)
	return slices.DeleteFunc(c.cuts, func(k cutGrant) bool { return k.at.Before(oldest) })
}

// Progress reports a late attempt; it does not block.
func (c *Client) Progress(p *wire.Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up {
		c.push(&wire.EntryMessage{Msg: &wire.EntryMessage_Progress{Progress: p}})
	}
}

// Announce passes an upstream's announcement on to the scheduler.
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

// push needs mu. A full queue ends the stream: the next hello says what is held, so
// that lost releases can't leak slots.
func (c *Client) push(m *wire.EntryMessage) {
	if len(c.queue) >= c.opts.Queue {
		c.queue = nil
		if c.reset != nil {
			c.reset()
		}
		return
	}
	c.queue = append(c.queue, m)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// askMessage needs mu; the deadline is what is left of it now.
func (c *Client) askMessage(w *waiter) *wire.EntryMessage {
	left := max(w.deadline.Sub(c.opts.Now()), 0)
	ask := proto.CloneOf(w.ask) // the sender may still hold an earlier one
	ask.DeadlineMs = uint32(left.Milliseconds())
	return &wire.EntryMessage{Msg: &wire.EntryMessage_Ask{Ask: ask}}
}

// Close waits until every grant was given back and told, or ctx ends, and closes the
// session. Asks that wait are answered NoScheduler.
func (c *Client) Close(ctx context.Context) error {
	err := c.flushed(ctx)
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

const flushPoll = 5 * time.Millisecond

func (c *Client) flushed(ctx context.Context) error {
	tick := time.NewTicker(flushPoll)
	defer tick.Stop()
	for {
		c.mu.Lock()
		held, queued, up := len(c.held), len(c.queue), c.up
		c.mu.Unlock()
		if held == 0 && (queued == 0 || !up) {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "closing the session with %d grants held", held)
		}
	}
}
