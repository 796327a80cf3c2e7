package session

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

type stream = grpc.BidiStreamingClient[wire.EntryMessage, wire.SchedulerMessage]

// run keeps a stream to the current scheduler open until ctx ends or the client closes.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	backoff := c.opts.MinBackoff
	for ctx.Err() == nil && !c.isClosing() {
		c.mu.Lock()
		target, targetChanged := c.target, c.targetChanged
		c.mu.Unlock()
		if target.Address == "" {
			waitForChange(ctx, targetChanged, c.opts.MaxBackoff)
			continue
		}
		accepted, err := c.runStream(ctx, target, targetChanged)
		if ctx.Err() != nil || c.isClosing() {
			return
		}
		c.log.Info("Session with the scheduler ended.", "address", target.Address, "error", err)
		if accepted {
			backoff = c.opts.MinBackoff
		}
		waitForChange(ctx, targetChanged, backoff/2+rand.N(backoff/2+1))
		backoff = min(2*backoff, c.opts.MaxBackoff)
	}
}

// waitForChange returns after d, or earlier when changed is closed or ctx ends.
func waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// runStream runs one stream until it breaks, the target changes or parentCtx ends. It
// reports whether the handshake succeeded.
func (c *Client) runStream(parentCtx context.Context, target Target, targetChanged <-chan struct{}) (bool, error) {
	conn, err := c.opts.Dial(target.Address)
	if err != nil {
		return false, errors.WithMessage(err, "session")
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(parentCtx)
	defer cancel()
	go func() {
		select {
		case <-targetChanged:
			cancel()
		case <-ctx.Done():
		}
	}()
	c.attach(conn, cancel)
	defer c.detach()
	str, err := wire.NewSchedulerClient(conn).Session(ctx)
	if err != nil {
		return false, errors.Wrap(err, "opening the stream")
	}
	if err := c.handshake(str, cancel); err != nil {
		return false, err
	}
	senderDone := make(chan struct{})
	go func() {
		defer close(senderDone)
		if !c.sendLoop(ctx, str) {
			cancel()
		}
	}()
	err = c.receiveLoop(str, cancel)
	cancel()
	<-senderDone
	return true, err
}

// attach sets the connection and the stream that the client's calls use from now on.
func (c *Client) attach(conn *grpc.ClientConn, cancelStream func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.cancelStream = conn, cancelStream
}

// detach marks the client as disconnected. It keeps only the queued releases: pending
// slot requests are sent again by the next handshake, and other messages are only valid
// on the stream that has ended.
func (c *Client) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.cancelStream, c.connected = nil, nil, false
	var keep []*wire.EntryMessage
	for _, m := range c.queue {
		if m.GetRelease() != nil {
			keep = append(keep, m)
		}
	}
	c.queue = keep
}

// handshake sends a hello with all held grants, waits for the scheduler's welcome and
// queues the pending slot requests. A welcome with a lower fencing number than seen before
// comes from an outdated scheduler and is an error.
func (c *Client) handshake(str stream, cancel func()) error {
	timer := time.AfterFunc(c.opts.HandshakeTimeout, cancel)
	defer timer.Stop()
	if err := str.Send(&wire.EntryMessage{Msg: &wire.EntryMessage_Hello{Hello: c.newHello()}}); err != nil {
		return errors.Wrap(err, "sending the hello")
	}
	msg, err := str.Recv()
	if err != nil {
		return errors.Wrap(err, "waiting for the welcome")
	}
	w := msg.GetWelcome()
	if w == nil {
		return errors.New("the scheduler's first message is not a welcome")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.GetFence() < c.fence {
		return errors.Errorf("the scheduler's fencing number %d is below %d", w.GetFence(), c.fence)
	}
	c.fence = w.GetFence()
	c.connected = true
	c.m.connects.Inc()
	for _, pending := range c.waiting {
		c.enqueue(c.askMessage(pending))
		c.m.resentAsks.Inc()
	}
	return nil
}

// newHello returns the hello with the grants that are held and those whose attempts were
// cut recently.
func (c *Client) newHello() *wire.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	hello := &wire.Hello{
		Entry:       c.opts.EntryID,
		Incarnation: c.opts.Incarnation,
		SpecIndex:   c.opts.SpecIndex(),
	}
	for _, h := range c.held {
		hello.Held = append(hello.Held, h.grant)
	}
	c.cutGrants = c.recentCutGrants()
	for _, cut := range c.cutGrants {
		g := proto.CloneOf(cut.grant)
		g.Cut = true
		hello.Held = append(hello.Held, g)
	}
	return hello
}

// sendLoop sends the queued messages and the heartbeats; after the handshake nothing
// else sends on the stream. It reports whether it closed the stream gracefully.
func (c *Client) sendLoop(ctx context.Context, str stream) bool {
	heartbeat := time.NewTicker(c.opts.HeartbeatInterval)
	defer heartbeat.Stop()
	var sequence uint64
	for {
		for _, m := range c.takeQueue() {
			if str.Send(m) != nil {
				return false
			}
		}
		select {
		case <-c.queued:
		case <-heartbeat.C:
			sequence++
			c.mu.Lock()
			c.enqueue(&wire.EntryMessage{Msg: &wire.EntryMessage_Heartbeat{Heartbeat: &wire.Heartbeat{Sequence: sequence}}})
			c.mu.Unlock()
		case <-c.closing:
			return c.flushAndClose(str)
		case <-ctx.Done():
			return false
		}
	}
}

// flushAndClose sends the queued messages and closes the sending side of the stream. It
// reports whether that succeeded.
func (c *Client) flushAndClose(str stream) bool {
	for _, m := range c.takeQueue() {
		if str.Send(m) != nil {
			return false
		}
	}
	return str.CloseSend() == nil
}

func (c *Client) isClosing() bool {
	select {
	case <-c.closing:
		return true
	default:
		return false
	}
}

// takeQueue removes and returns the queued messages.
func (c *Client) takeQueue() []*wire.EntryMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue
	c.queue = nil
	return q
}

// receiveLoop handles the scheduler's messages until the stream breaks or no message
// arrives for SilenceTimeout. The timeout starts with the scheduler's first heartbeat, since
// a scheduler that sends none may be silent for longer.
func (c *Client) receiveLoop(str stream, cancel func()) error {
	var silence *time.Timer
	for {
		msg, err := str.Recv()
		if err != nil {
			return errors.Wrap(err, "receiving")
		}
		if silence != nil {
			silence.Reset(c.opts.SilenceTimeout)
		}
		switch m := msg.GetMsg().(type) {
		case *wire.SchedulerMessage_Grant:
			c.onGrant(m.Grant)
		case *wire.SchedulerMessage_Refuse:
			c.onRefuse(m.Refuse)
		case *wire.SchedulerMessage_UpstreamRestarted:
			c.onUpstreamRestarted(m.UpstreamRestarted)
		case *wire.SchedulerMessage_Heartbeat:
			if silence == nil {
				silence = time.AfterFunc(c.opts.SilenceTimeout, cancel)
				defer silence.Stop()
			}
		}
	}
}

// onGrant passes a grant to its waiter. A grant under an old fencing number is released
// and requested again, because a newer scheduler may have granted the same slot.
func (c *Client) onGrant(g *wire.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := g.GetAttempt()
	w := c.waiting[id]
	switch {
	case c.held[id] != nil:
		c.log.Warn("Ignored a second grant for an attempt.", "attempt", id)
	case w == nil:
		c.m.orphanGrants.Inc()
		c.enqueue(releaseMessage(unusedRelease(g)))
	case g.GetFence() < c.fence:
		c.m.staleGrants.Inc()
		c.enqueue(releaseMessage(unusedRelease(g)))
		c.enqueue(c.askMessage(w))
	default:
		delete(c.waiting, id)
		c.held[id] = &heldSlot{newHeldGrant(g, w.ask), w.onLost}
		w.result <- result{grant: proto.CloneOf(g), received: c.opts.Now()}
	}
}

func newHeldGrant(g *wire.Grant, ask *wire.Ask) *wire.HeldGrant {
	return &wire.HeldGrant{
		Grant:          g,
		BodyDigest:     ask.GetBodyDigest(),
		ExpectedTokens: ask.GetMaxTokens(),
		Class:          ask.GetClass(),
		Model:          ask.GetModel(),
		Adapter:        ask.GetAdapter(),
	}
}

func releaseMessage(r *wire.Release) *wire.EntryMessage {
	return &wire.EntryMessage{Msg: &wire.EntryMessage_Release{Release: r}}
}

// onRefuse passes a refusal to its waiter; without one it is ignored.
func (c *Client) onRefuse(r *wire.Refuse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiting[r.GetAttempt()]
	if w == nil {
		return
	}
	delete(c.waiting, r.GetAttempt())
	err := errkind.New(parseKind(r.GetKind()), "%s", r.GetDetail()).WithRan(errkind.RanNo)
	if ms := r.GetRetryAfterMs(); ms > 0 {
		err = err.WithRetryAfter(time.Duration(ms) * time.Millisecond)
	}
	w.result <- result{err: err}
}

// onUpstreamRestarted calls onLost of the slots on earlier incarnations. Without it, an
// attempt on an upstream whose machine vanished would wait for the answer up to its deadline.
func (c *Client) onUpstreamRestarted(m *wire.UpstreamRestarted) {
	for _, onLost := range c.takeLost(m.GetUpstream(), m.GetIncarnation()) {
		onLost()
	}
}

// takeLost removes and returns the onLost functions of the slots on incarnations of an
// upstream before the given one.
func (c *Client) takeLost(upstream string, incarnation uint64) []func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lost []func()
	for _, h := range c.held {
		g := h.grant.GetGrant()
		if h.onLost != nil && g.GetUpstream() == upstream && g.GetIncarnation() < incarnation {
			lost = append(lost, h.onLost)
			h.onLost = nil
		}
	}
	return lost
}

// parseKind returns the error kind with the name, or Internal if there is none.
func parseKind(name string) errkind.Kind {
	for _, k := range errkind.Kinds() {
		if string(k) == name {
			return k
		}
	}
	return errkind.Internal
}
