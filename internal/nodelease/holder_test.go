package nodelease

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/lease"
	"gentiankeel/internal/wire"
)

const ttl = 3 * time.Second

// fakeGroup grants one lease with a keeper, and fails all calls while unreachable.
type fakeGroup struct {
	mu          sync.Mutex
	keeper      *lease.Keeper
	held        *wire.Lease
	fence       uint64
	start       time.Time
	unreachable bool
	onKeepAlive func() // called before a renewal, if set
}

func newFakeGroup() *fakeGroup {
	g := &fakeGroup{keeper: lease.NewKeeper(), start: time.Now()}
	g.keeper.StartLeading(0, nil)
	return g
}

func (g *fakeGroup) expire() {
	for _, e := range g.keeper.ExpiredLeases(time.Since(g.start)) {
		g.keeper.RecordEnd(e.Name, e.Fence)
		g.held = nil
	}
}

func (g *fakeGroup) Propose(_ context.Context, cmd *wire.Command) (*wire.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unreachable {
		return nil, errors.New("the group is unreachable")
	}
	g.expire()
	if end := cmd.GetEndLease(); end != nil {
		g.keeper.RecordEnd(end.Name, end.Fence)
		g.held = nil
		return &wire.Result{Code: wire.ResultCode_RESULT_OK}, nil
	}
	want := cmd.GetGrantLease()
	if g.held != nil && g.held.Holder != want.Holder {
		return &wire.Result{Code: wire.ResultCode_RESULT_HELD, Lease: g.held}, nil
	}
	if g.held == nil {
		g.fence++
		g.held = &wire.Lease{Name: want.Name, Holder: want.Holder, Fence: g.fence, TtlMs: want.TtlMs}
	}
	g.keeper.RecordGrant(time.Since(g.start), g.held)
	return &wire.Result{Code: wire.ResultCode_RESULT_OK, Lease: g.held}, nil
}

func (g *fakeGroup) KeepAlive(_ context.Context, req *wire.KeepAliveRequest) (*wire.KeepAliveResponse, error) {
	if g.onKeepAlive != nil {
		g.onKeepAlive()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unreachable {
		return nil, errors.New("the group is unreachable")
	}
	resp := &wire.KeepAliveResponse{}
	for _, l := range req.Leases {
		if !g.keeper.Renew(time.Since(g.start), l.Name, l.Fence) {
			resp.Lost = append(resp.Lost, l.Name)
		}
	}
	return resp, nil
}

func (g *fakeGroup) setUnreachable(unreachable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unreachable = unreachable
}

func newTestHolder(node string, g *fakeGroup, l Lease) *Holder {
	l.Name = "scheduler/tay"
	return New(Options{Node: node, TTL: ttl, Group: g, Logger: slog.New(slog.DiscardHandler)}, l)
}

func TestHolder_HeldForManyTTLs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup()
		var held []uint64
		h := newTestHolder("a", g, Lease{OnHeld: func(f uint64) { held = append(held, f) }})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { h.Run(ctx); close(done) }()
		time.Sleep(10 * ttl)
		_, ok := h.Valid("scheduler/tay")
		is.True(ok)
		is.Equal(held, []uint64{1}) // granted once, then renewed
		cancel()
		<-done
		is.Equal(g.held, nil) // ended when Run returned
	})
}

// A node that is cut off from the control group must stop before a successor starts.
func TestHolder_NodeCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup()
		lost := 0
		a := newTestHolder("a", g, Lease{OnLost: func() { lost++ }})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.Run(ctx)
		time.Sleep(ttl)
		g.setUnreachable(true)
		time.Sleep(2 * ttl)
		_, ok := a.Valid("scheduler/tay")
		is.True(!ok)
		is.Equal(lost, 1)
		g.setUnreachable(false)
		b := newTestHolder("b", g, Lease{})
		go b.Run(ctx)
		time.Sleep(ttl)
		fenceA, okA := a.Valid("scheduler/tay")
		fenceB, okB := b.Valid("scheduler/tay")
		is.True(okA != okB) // exactly one holds the lease
		is.True(fenceA != fenceB)
		cancel()
		synctest.Wait()
	})
}

// The lease ends while its renewal is under way and is granted again under a new fencing
// number in the same round: the users of the first term must be stopped before the second.
func TestHolder_LostAndGrantedInOneRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := newFakeGroup()
		var calls []string
		h := newTestHolder("a", g, Lease{
			OnHeld: func(f uint64) { calls = append(calls, fmt.Sprint("held ", f)) },
			OnLost: func() { calls = append(calls, "lost") },
		})
		h.renewAndAcquire(t.Context())
		g.onKeepAlive = func() {
			time.Sleep(2 * ttl)
			g.onKeepAlive = nil
		}
		for range 3 {
			h.renewAndAcquire(t.Context())
			if fence, ok := h.Valid("scheduler/tay"); ok {
				is.Equal(calls[len(calls)-1], fmt.Sprint("held ", fence)) // valid only for who was told
			}
		}
		is.Equal(calls, []string{"held 1", "lost", "held 2"})
	})
}
