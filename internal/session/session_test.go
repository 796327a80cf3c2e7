package session

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/wire"
)

func TestAcquire_GrantedAndReleased(t *testing.T) {
	is := is.New(t)
	f := startScheduler(t, 3, grantAll(3))
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	g, err := c.Acquire(context.Background(), newAsk("a1", 60_000), nil)
	is.NoErr(err)
	is.Equal(g.GetUpstream(), "u1")
	is.Equal(c.HeldGrantCount(), 1)
	c.Release(&wire.Release{Attempt: "a1", Outcome: wire.Outcome_OUTCOME_OK})
	eventually(t, "the release arrives", func() bool { return f.releaseCount() == 1 })
	is.Equal(c.HeldGrantCount(), 0)
	is.Equal(f.hellos[0].GetSpecIndex(), uint64(11))
	eventually(t, "a heartbeat arrives", func() bool { return locked(f, func() bool { return f.heartbeats > 0 }) })
}

func TestAcquire_Refused(t *testing.T) {
	is := is.New(t)
	f := startScheduler(t, 3, func(a *wire.Ask) *wire.SchedulerMessage {
		return &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Refuse{Refuse: &wire.Refuse{
			Attempt: a.GetAttempt(), Kind: "queue_full", Detail: "9 wait", RetryAfterMs: 1500}}}
	})
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	_, err := c.Acquire(context.Background(), newAsk("a1", 60_000), nil)
	e := errkind.From(err)
	is.Equal(e.Kind, errkind.QueueFull)
	is.Equal(e.Response().RetryAfter, 1500*time.Millisecond)
	is.Equal(e.Response().Ran, errkind.RanNo)
}

func TestAcquire_NoScheduler(t *testing.T) {
	is := is.New(t)
	c := newClient(t)
	_, err := c.Acquire(context.Background(), newAsk("a1", 20), nil)
	is.Equal(errkind.From(err).Kind, errkind.NoScheduler)
	is.Equal(len(c.waiting), 0)
	_, err = c.Announce(context.Background(), []byte("{}"))
	is.Equal(errkind.From(err).Kind, errkind.NoScheduler)
}

func TestAcquire_ContextCancelled(t *testing.T) {
	is := is.New(t)
	f := startScheduler(t, 3, nil)
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for f.askCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := c.Acquire(ctx, newAsk("a1", 60_000), nil)
	is.Equal(errkind.From(err).Response().Ran, errkind.RanNo)
	eventually(t, "the cancel arrives", func() bool { return locked(f, func() bool { return len(f.cancels) == 1 }) })
}

func TestSchedulerChange_HeldGrantAndPendingRequest(t *testing.T) {
	is := is.New(t)
	f1 := startScheduler(t, 3, func(a *wire.Ask) *wire.SchedulerMessage {
		if a.GetAttempt() == "held" {
			return grantMessage("held", 3, 60_000)
		}
		return nil
	})
	f2 := startScheduler(t, 4, grantAll(4))
	c := newClient(t)
	c.SetScheduler(Target{f1.address, 3})
	_, err := c.Acquire(context.Background(), newAsk("held", 60_000), nil)
	is.NoErr(err)
	grants := make(chan *wire.Grant, 1)
	go func() {
		g, _ := c.Acquire(context.Background(), newAsk("waits", 60_000), nil)
		grants <- g
	}()
	eventually(t, "the first scheduler has the slot request", func() bool { return f1.askCount() == 2 })
	c.SetScheduler(Target{f2.address, 4})
	g := <-grants
	is.Equal(g.GetAttempt(), "waits")
	is.Equal(g.GetFence(), uint64(4))
	held := f2.hellos[0].GetHeld()
	is.Equal(len(held), 1)
	is.Equal(held[0].GetGrant().GetAttempt(), "held")
	is.Equal(held[0].GetBodyDigest(), "d")
	c.SetScheduler(Target{f1.address, 3}) // an older fencing number is ignored
	is.True(c.Connected())
}

func TestStream_Broken(t *testing.T) {
	f := startScheduler(t, 3, nil)
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	eventually(t, "connected", c.Connected)
	c.mu.Lock()
	c.cancelStream()
	c.mu.Unlock()
	eventually(t, "a second hello", func() bool { return locked(f, func() bool { return len(f.hellos) == 2 }) })
}

func TestSchedulerChange_OlderFencingNumber(t *testing.T) {
	is := is.New(t)
	current := startScheduler(t, 5, grantAll(5))
	outdated := startScheduler(t, 4, grantAll(4))
	c := newClient(t)
	c.SetScheduler(Target{current.address, 5})
	eventually(t, "connected", c.Connected)
	c.SetScheduler(Target{outdated.address, 6}) // the lease names a scheduler whose own number is older
	eventually(t, "the outdated scheduler was tried", func() bool { return locked(outdated, func() bool { return len(outdated.hellos) > 0 }) })
	_, err := c.Acquire(context.Background(), newAsk("a1", 30), nil)
	is.True(err != nil)
	is.Equal(outdated.askCount(), 0)
}

func TestGrant_PastUseBy(t *testing.T) {
	is := is.New(t)
	var n atomic.Int32
	f := startScheduler(t, 3, func(a *wire.Ask) *wire.SchedulerMessage {
		useBy := uint32(0) // expired on arrival
		if n.Add(1) > 1 {
			useBy = 60_000
		}
		return grantMessage(a.GetAttempt(), 3, useBy)
	})
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	_, err := c.Acquire(context.Background(), newAsk("a1", 60_000), nil)
	is.NoErr(err)
	eventually(t, "the expired grant is released", func() bool { return f.releaseCount() == 1 })
	is.Equal(f.releases[0].GetOutcome(), wire.Outcome_OUTCOME_UNUSED)
}

func TestGrant_OldFencingNumber(t *testing.T) {
	is := is.New(t)
	var n atomic.Int32
	f := startScheduler(t, 3, func(a *wire.Ask) *wire.SchedulerMessage {
		if n.Add(1) == 1 {
			return grantMessage(a.GetAttempt(), 2, 60_000)
		}
		return grantMessage(a.GetAttempt(), 3, 60_000)
	})
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	g, err := c.Acquire(context.Background(), newAsk("a1", 60_000), nil)
	is.NoErr(err)
	is.Equal(g.GetFence(), uint64(3))
	eventually(t, "the old grant is released", func() bool { return f.releaseCount() == 1 })
}

func TestGrant_NoWaiter(t *testing.T) {
	is := is.New(t)
	f := startScheduler(t, 3, nil)
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	eventually(t, "connected", c.Connected)
	is.NoErr(f.streams[0].Send(grantMessage("nobody", 3, 60_000)))
	eventually(t, "the grant is released", func() bool { return f.releaseCount() == 1 })
	is.Equal(f.releases[0].GetOutcome(), wire.Outcome_OUTCOME_UNUSED)
}

func TestClose_ReleaseQueued(t *testing.T) {
	is := is.New(t)
	f := startScheduler(t, 3, grantAll(3))
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	_, err := c.Acquire(context.Background(), newAsk("a1", 60_000), nil)
	is.NoErr(err)
	c.Release(&wire.Release{Attempt: "a1", Outcome: wire.Outcome_OUTCOME_OK})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	is.NoErr(c.Close(ctx))
	eventually(t, "the stream ends at the scheduler", func() bool { return locked(f, func() bool { return f.endedStreams == 1 }) })
	is.Equal(f.releaseCount(), 1)
}

func TestAnnounce_Connected(t *testing.T) {
	is := is.New(t)
	f := startScheduler(t, 3, nil)
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	eventually(t, "connected", c.Connected)
	res, err := c.Announce(context.Background(), []byte(`{"id":"u1"}`))
	is.NoErr(err)
	is.Equal(res.GetNextAfterMs(), uint32(9))
}

func TestSchedulerChange_CutAttempt(t *testing.T) {
	is := is.New(t)
	f1 := startScheduler(t, 3, grantAll(3))
	c := newClient(t)
	c.SetScheduler(Target{f1.address, 3})
	_, err := c.Acquire(context.Background(), newAsk("a1", 60_000), nil)
	is.NoErr(err)
	c.Release(&wire.Release{Attempt: "a1", Outcome: wire.Outcome_OUTCOME_CUT})
	f2 := startScheduler(t, 4, grantAll(4))
	c.SetScheduler(Target{f2.address, 4})
	eventually(t, "the hello arrives", func() bool { return locked(f2, func() bool { return len(f2.hellos) == 1 }) })
	is.Equal(len(f2.hellos[0].GetHeld()), 1)
	is.True(f2.hellos[0].GetHeld()[0].GetCut())
	is.Equal(c.HeldGrantCount(), 0)
}

func TestUpstreamRestarted_HeldSlots(t *testing.T) {
	is := is.New(t)
	f := startScheduler(t, 3, grantAll(3)) // on incarnation 4 of u1
	c := newClient(t)
	c.SetScheduler(Target{f.address, 3})
	lost := make(chan string, 9)
	for _, id := range []string{"released", "held"} {
		_, err := c.Acquire(context.Background(), newAsk(id, 60_000), func() { lost <- id })
		is.NoErr(err)
	}
	c.Release(&wire.Release{Attempt: "released", Outcome: wire.Outcome_OUTCOME_OK})
	for _, m := range []*wire.UpstreamRestarted{
		{Upstream: "u2", Incarnation: 9}, // another upstream
		{Upstream: "u1", Incarnation: 4}, // the same incarnation
		{Upstream: "u1", Incarnation: 5},
		{Upstream: "u1", Incarnation: 6}, // onLost is called once
	} {
		is.NoErr(f.streams[0].Send(&wire.SchedulerMessage{Msg: &wire.SchedulerMessage_UpstreamRestarted{UpstreamRestarted: m}}))
	}
	is.Equal(<-lost, "held")
	_, err := c.Acquire(context.Background(), newAsk("later", 60_000), nil) // the messages before it were handled
	is.NoErr(err)
	is.Equal(len(lost), 0)
}
