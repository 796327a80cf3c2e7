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

// run keeps one stream to the current scheduler until ctx ends.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	backoff := c.opts.MinBackoff
	for ctx.Err() == nil && !c.isClosing() {
		c.mu.Lock()
		target, changed := c.target, c.changed
		c.mu.Unlock()
		if target.Address == "" {
			wait(ctx, changed, c.opts.MaxBackoff)
			continue
		}
		welcomed, err := c.serve(ctx, target, changed)
		if ctx.Err() != nil || c.isClosing() {
			return
		}
		c.log.Info("Session to the scheduler ended.", "address", target.Address, "error", err)
		if welcomed {
			backoff = c.opts.MinBackoff
		}
		wait(ctx, changed, backoff/2+rand.N(backoff/2+1))
		backoff = min(2*backoff, c.opts.MaxBackoff)
	}
}

// wait returns after d, or earlier on a change or the end of ctx.
func wait(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// serve runs one stream until it breaks, the target changes or ctx ends. It reports
// whether the scheduler welcomed it.
func (c *Client) serve(parent context.Context, target Target, changed <-chan struct{}) (bool, error) {
	conn, err := c.opts.Dial(target.Address)
	if err != nil {
		return false, errors.WithMessage(err, "session")
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	go func() {
		select {
		case <-changed:
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
	if err := c.welcome(str, cancel); err != nil {
		return false, err
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		if !c.send(ctx, str) {
			cancel()
		}
	}()
	err = c.receive(str, cancel)
	cancel()
	<-sent
	return true, err
}

func (c *Client) attach(conn *grpc.ClientConn, reset func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.reset = conn, reset
}

// detach drops what only the broken stream could carry: asks are sent again from the
// waiters, releases stay.
func (c *Client) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.reset, c.up = nil, nil, false
	var keep []*wire.EntryMessage
	for _, m := range c.queue {
		if m.GetRelease() != nil {
			keep = append(keep, m)
		}
	}
	c.queue = keep
}

// welcome says hello with all grants that are held and takes the scheduler's answer.
func (c *Client) welcome(str stream, cancel func()) error {
	timer := time.AfterFunc(c.opts.Welcome, cancel)
	defer timer.Stop()
	if err := str.Send(&wire.EntryMessage{Msg: &wire.EntryMessage_Hello{Hello: c.hello()}}); err != nil {
		return errors.Wrap(err, "sending the hello")
	}
	msg, err := str.Recv()
	if err != nil {
		return errors.Wrap(err, "waiting for the welcome")
	}
	w := msg.GetWelcome()
	if w == nil {
		return errors.New("the scheduler's first message is no welcome")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.GetFence() < c.fence {
		return errors.Errorf("the scheduler's fencing number %d lies below %d", w.GetFence(), c.fence)
	}
	c.fence = w.GetFence()
	c.up = true
	c.m.connects.Inc()
	for _, waiter := range c.waiting {
		c.push(c.askMessage(waiter))
		c.m.resent.Inc()
	}
	return nil
}

func (c *Client) hello() *wire.Hello {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &wire.Hello{
		Entry:       c.opts.Entry,
		Incarnation: c.opts.Incarnation,
		SpecIndex:   c.opts.SpecIndex(),
	}
	for _, g := range c.held {
		h.Held = append(h.Held, g)
	}
	c.cuts = c.recentCuts()
	for _, k := range c.cuts {
		g := proto.CloneOf(k.grant)
		g.Cut = true
		h.Held = append(h.Held, g)
	}
	return h
}

// send is the only sender of the stream after the hello. It reports whether it ended
// the stream in order.
func (c *Client) send(ctx context.Context, str stream) bool {
	beat := time.NewTicker(c.opts.Heartbeat)
	defer beat.Stop()
	var sequence uint64
	for {
		for _, m := range c.take() {
			if str.Send(m) != nil {
				return false
			}
		}
		select {
		case <-c.wake:
		case <-beat.C:
			sequence++
			c.mu.Lock()
			c.push(&wire.EntryMessage{Msg: &wire.EntryMessage_Heartbeat{Heartbeat: &wire.Heartbeat{Sequence: sequence}}})
			c.mu.Unlock()
		case <-c.closing:
			return c.sendRest(str)
		case <-ctx.Done():
			return false
		}
	}
}

func (c *Client) sendRest(str stream) bool {
	for _, m := range c.take() {
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

func (c *Client) take() []*wire.EntryMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queue
	c.queue = nil
	return q
}

// receive takes the scheduler's messages until the stream breaks or stays silent. Only
// a scheduler that beats is expected to go on beating.
func (c *Client) receive(str stream, cancel func()) error {
	var silence *time.Timer
	for {
		msg, err := str.Recv()
		if err != nil {
			return errors.Wrap(err, "receiving")
		}
		if silence != nil {
			silence.Reset(c.opts.Silence)
		}
		switch m := msg.GetMsg().(type) {
		case *wire.SchedulerMessage_Grant:
			c.granted(m.Grant)
		case *wire.SchedulerMessage_Refuse:
			c.refused(m.Refuse)
		case *wire.SchedulerMessage_Heartbeat:
			if silence == nil {
				silence = time.AfterFunc(c.opts.Silence, cancel)
				defer silence.Stop()
			}
		}
	}
}

// granted hands a grant to its waiter. One under an old fencing number is given back
// and asked for again: another scheduler may have given the same slot away.
func (c *Client) granted(g *wire.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := g.GetAttempt()
	w := c.waiting[id]
	switch {
	case c.held[id] != nil:
		c.log.Warn("An attempt was granted twice.", "attempt", id)
	case w == nil:
		c.m.orphans.Inc()
		c.push(releaseMessage(unused(g)))
	case g.GetFence() < c.fence:
		c.m.stale.Inc()
		c.push(releaseMessage(unused(g)))
		c.push(c.askMessage(w))
	default:
		delete(c.waiting, id)
		c.held[id] = heldGrant(g, w.ask)
		w.result <- result{grant: proto.CloneOf(g), received: c.opts.Now()}
	}
}

func heldGrant(g *wire.Grant, ask *wire.Ask) *wire.HeldGrant {
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

func (c *Client) refused(r *wire.Refuse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.waiting[r.GetAttempt()]
	if w == nil {
		return
	}
	delete(c.waiting, r.GetAttempt())
	err := errkind.New(kindOf(r.GetKind()), "%s", r.GetDetail()).WithRan(errkind.RanNo)
	if ms := r.GetRetryAfterMs(); ms > 0 {
		err = err.WithRetryAfter(time.Duration(ms) * time.Millisecond)
	}
	w.result <- result{err: err}
}

// kindOf takes a kind off the wire; one outside the closed list is Internal.
func kindOf(name string) errkind.Kind {
	for _, k := range errkind.Kinds() {
		if string(k) == name {
			return k
		}
	}
	return errkind.Internal
}
