// Package nodelease holds a node's leases: it acquires them from the control group, renews
// all held ones in one call, and reports whether each is valid.
package nodelease

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gentiankeel/internal/lease"
	"gentiankeel/internal/wire"
)

// renewalsPerTTL is the number of renewals in one TTL of a lease. Two in a row may fail before
// the lease expires.
const renewalsPerTTL = 4

// Group is the holder's client of the control group.
type Group interface {
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
	KeepAlive(ctx context.Context, req *wire.KeepAliveRequest) (*wire.KeepAliveResponse, error)
}

// Lease is a lease that the node tries to hold. The callbacks run on the goroutine of
// Holder.Run and must not block. Either may be nil.
type Lease struct {
	Name   string
	OnHeld func(fence uint64)
	OnLost func()
}

// Options are the parameters of New.
type Options struct {
	Node    string // identity of this process: node id and incarnation
	Address string // gRPC address that the lease advertises
	TTL     time.Duration
	Group   Group
	Logger  *slog.Logger
	// OnLeaderAnswer is called for each answered renewal call with the time at which it was
	// sent and the log index of the applied file that the leader's answer names. It may be nil.
	OnLeaderAnswer func(sent time.Time, specIndex uint64)
}

// Holder acquires and renews leases. Valid may be called from any goroutine.
type Holder struct {
	opts  Options
	log   *slog.Logger
	start time.Time

	mu     sync.Mutex
	leases []*managedLease
}

// managedLease is a lease and its state at the holder.
type managedLease struct {
	Lease
	term          *lease.Term
	notified      bool   // OnHeld was called and OnLost not yet
	notifiedFence uint64 // fence of the last OnHeld
}

// New returns a holder that acquires the leases while it runs.
func New(o Options, leases ...Lease) *Holder {
	h := &Holder{opts: o, log: o.Logger.With("part", "lease"), start: time.Now()}
	for _, l := range leases {
		h.leases = append(h.leases, &managedLease{Lease: l, term: lease.NewTerm(o.TTL)})
	}
	return h
}

func (h *Holder) now() time.Duration { return time.Since(h.start) }

// Valid returns the fencing number of a lease and whether the node may act on it now. For a
// lease that the holder does not manage it returns 0 and false.
func (h *Holder) Valid(name string) (fence uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.leases {
		if m.Name == name {
			return m.term.Fence(), m.term.Valid(h.now())
		}
	}
	return 0, false
}

// Run acquires and renews the leases until ctx ends. Then it ends the held ones, calls their
// OnLost and returns.
func (h *Holder) Run(ctx context.Context) {
	tick := time.NewTicker(h.opts.TTL / renewalsPerTTL)
	defer tick.Stop()
	for {
		h.renewAndAcquire(ctx)
		select {
		case <-ctx.Done():
			h.release()
			return
		case <-tick.C:
		}
	}
}

// renewAndAcquire renews the held leases, tries to acquire the others, and calls OnLost for
// those that were lost.
func (h *Holder) renewAndAcquire(ctx context.Context) {
	h.notifyLost()
	h.renew(ctx)
	h.acquire(ctx)
	h.notifyLost()
}

func (h *Holder) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.TTL/2)
	defer cancel()
	req := &wire.KeepAliveRequest{Node: h.opts.Node, Leases: h.heldLeases()}
	sent := time.Now()
	resp, err := h.opts.Group.KeepAlive(ctx, req)
	if err != nil {
		h.log.Warn("Renewing the leases failed.", "error", err)
		return
	}
	lost := map[string]bool{}
	for _, name := range resp.Lost {
		lost[name] = true
	}
	h.mu.Lock()
	for _, m := range h.leases {
		if lost[m.Name] {
			m.term.End()
			continue
		}
		m.term.Extend(sent.Sub(h.start), fenceOf(req.Leases, m.Name))
	}
	h.mu.Unlock()
	if h.opts.OnLeaderAnswer != nil {
		h.opts.OnLeaderAnswer(sent, resp.SpecIndex)
	}
}

func (h *Holder) heldLeases() []*wire.Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*wire.Lease
	for _, m := range h.leases {
		if m.term.Valid(h.now()) {
			out = append(out, &wire.Lease{Name: m.Name, Fence: m.term.Fence()})
		}
	}
	return out
}

func fenceOf(leases []*wire.Lease, name string) uint64 {
	for _, l := range leases {
		if l.Name == name {
			return l.Fence
		}
	}
	return 0
}

func (h *Holder) acquire(ctx context.Context) {
	for _, m := range h.leases {
		if !h.needsAcquire(m) {
			continue
		}
		h.tryAcquire(ctx, m)
	}
}

func (h *Holder) needsAcquire(m *managedLease) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !m.term.Valid(h.now())
}

func (h *Holder) tryAcquire(ctx context.Context, m *managedLease) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.TTL/2)
	defer cancel()
	grant := &wire.GrantLease{Name: m.Name, Holder: h.opts.Node, Address: h.opts.Address,
		TtlMs: uint32(h.opts.TTL / time.Millisecond)}
	sent := h.now()
	res, err := h.opts.Group.Propose(ctx, &wire.Command{Op: &wire.Command_GrantLease{GrantLease: grant}})
	if err != nil {
		h.log.Warn("Acquiring a lease failed.", "lease", m.Name, "error", err)
		return
	}
	if res.Code != wire.ResultCode_RESULT_OK || res.Lease.GetHolder() != h.opts.Node {
		return
	}
	h.mu.Lock()
	// A term that has expired since the last notifyLost must not be followed by another, under
	// any fencing number, before OnLost has been called. The next round acquires it again.
	if !m.notified {
		m.term.Start(sent, res.Lease.Fence)
	}
	valid := m.term.Valid(h.now())
	h.mu.Unlock()
	if valid && !m.notified {
		h.notifyHeld(m, res.Lease.Fence)
	}
}

func (h *Holder) notifyHeld(m *managedLease, fence uint64) {
	m.notified = true
	m.notifiedFence = fence
	h.log.Info("Lease held.", "lease", m.Name, "fence", fence)
	if m.OnHeld != nil {
		m.OnHeld(fence)
	}
}

// notifyLost calls OnLost for each lease that was lost since the last call.
func (h *Holder) notifyLost() {
	for _, m := range h.leases {
		h.mu.Lock()
		ended := m.notified && !m.term.Valid(h.now())
		h.mu.Unlock()
		if !ended {
			continue
		}
		m.notified = false
		h.log.Warn("Lease lost.", "lease", m.Name, "fence", m.notifiedFence)
		if m.OnLost != nil {
			m.OnLost()
		}
	}
}

// release ends the held leases, so that a successor need not wait until they expire.
func (h *Holder) release() {
	ctx, cancel := context.WithTimeout(context.Background(), h.opts.TTL/2)
	defer cancel()
	for _, l := range h.heldLeases() {
		h.mu.Lock()
		for _, m := range h.leases {
			if m.Name == l.Name {
				m.term.End()
			}
		}
		h.mu.Unlock()
		end := &wire.EndLease{Name: l.Name, Fence: l.Fence, Why: "given back"}
		if _, err := h.opts.Group.Propose(ctx, &wire.Command{Op: &wire.Command_EndLease{EndLease: end}}); err != nil {
			h.log.Warn("Ending a lease failed; it is held until it expires.", "lease", l.Name, "error", err)
		}
	}
	h.notifyLost()
}
