// Package nodelease keeps a node's leases: it takes the wanted ones from the control
// group, renews all that it holds in one call, and tells until when each is valid.
package nodelease

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gentiankeel/internal/lease"
	"gentiankeel/internal/wire"
)

// renewalsPerTTL is the number of renewals in the span of a lease; two may fail in a
// row before it runs out.
const renewalsPerTTL = 4

// Group is what the holder needs of the control group.
type Group interface {
	Propose(ctx context.Context, cmd *wire.Command) (*wire.Result, error)
	KeepAlive(ctx context.Context, req *wire.KeepAliveRequest) (*wire.KeepAliveResponse, error)
}

// Want is one lease that the node tries to hold. The callbacks run on the holder's
// goroutine and must not block.
type Want struct {
	Name   string
	OnHeld func(fence uint64)
	OnLost func()
}

// Options of a Holder.
type Options struct {
	Node    string // identity of this process: node id and incarnation
	Address string // gRPC address that the lease advertises
	TTL     time.Duration
	Group   Group
	Logger  *slog.Logger
	// OnContact is told of each answer of the leader: when the question was sent and
	// the log index of the applied file at the answer.
	OnContact func(sent time.Time, specIndex uint64)
}

// Holder keeps leases. Valid may be called from any goroutine.
type Holder struct {
	o     Options
	log   *slog.Logger
	start time.Time

	mu    sync.Mutex
	wants []*held
}

type held struct {
	Want
	term   *lease.Term
	told   bool // OnHeld was called and OnLost was not
	toldAs uint64
}

// New returns a holder that tries for the wanted leases once it runs.
func New(o Options, wants ...Want) *Holder {
	h := &Holder{o: o, log: o.Logger.With("part", "lease"), start: time.Now()}
	for _, w := range wants {
		h.wants = append(h.wants, &held{Want: w, term: lease.NewTerm(o.TTL)})
	}
	return h
}

func (h *Holder) now() time.Duration { return time.Since(h.start) }

// Valid returns the fence number of a lease and whether the node may act on it now.
func (h *Holder) Valid(name string) (fence uint64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, w := range h.wants {
		if w.Name == name {
			return w.term.Fence(), w.term.Valid(h.now())
		}
	}
	return 0, false
}

// Run keeps the leases until ctx ends, then gives them back.
func (h *Holder) Run(ctx context.Context) {
	tick := time.NewTicker(h.o.TTL / renewalsPerTTL)
	defer tick.Stop()
	for {
		h.round(ctx)
		select {
		case <-ctx.Done():
			h.release()
			return
		case <-tick.C:
		}
	}
}

// round renews what is held, tries for what is not, and tells of losses.
func (h *Holder) round(ctx context.Context) {
	h.tellLost()
	h.renew(ctx)
	h.acquire(ctx)
	h.tellLost()
}

func (h *Holder) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.o.TTL/2)
	defer cancel()
	req := &wire.KeepAliveRequest{Node: h.o.Node, Leases: h.heldLeases()}
	sent := time.Now()
	resp, err := h.o.Group.KeepAlive(ctx, req)
	if err != nil {
		h.log.Warn("Renewal failed.", "error", err)
		return
	}
	lost := map[string]bool{}
	for _, name := range resp.Lost {
		lost[name] = true
	}
	h.mu.Lock()
	for _, w := range h.wants {
		if lost[w.Name] {
			w.term.Lost()
			continue
		}
		w.term.Renewed(sent.Sub(h.start), fenceIn(req.Leases, w.Name))
	}
	h.mu.Unlock()
	if h.o.OnContact != nil {
		h.o.OnContact(sent, resp.SpecIndex)
	}
}

func (h *Holder) heldLeases() []*wire.Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*wire.Lease
	for _, w := range h.wants {
		if w.term.Valid(h.now()) {
			out = append(out, &wire.Lease{Name: w.Name, Fence: w.term.Fence()})
		}
	}
	return out
}

func fenceIn(leases []*wire.Lease, name string) uint64 {
	for _, l := range leases {
		if l.Name == name {
			return l.Fence
		}
	}
	return 0
}

func (h *Holder) acquire(ctx context.Context) {
	for _, w := range h.wants {
		if !h.missing(w) {
			continue
		}
		h.tryAcquire(ctx, w)
	}
}

func (h *Holder) missing(w *held) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !w.term.Valid(h.now())
}

func (h *Holder) tryAcquire(ctx context.Context, w *held) {
	ctx, cancel := context.WithTimeout(ctx, h.o.TTL/2)
	defer cancel()
	grant := &wire.GrantLease{Name: w.Name, Holder: h.o.Node, Address: h.o.Address,
		TtlMs: uint32(h.o.TTL / time.Millisecond)}
	sent := h.now()
	res, err := h.o.Group.Propose(ctx, &wire.Command{Op: &wire.Command_GrantLease{GrantLease: grant}})
	if err != nil {
		h.log.Warn("Lease request failed.", "lease", w.Name, "error", err)
		return
	}
	if res.Code != wire.ResultCode_RESULT_OK || res.Lease.GetHolder() != h.o.Node {
		return
	}
	h.mu.Lock()
	again := w.told && res.Lease.Fence == w.toldAs
	if !again {
		w.term.Granted(sent, res.Lease.Fence)
	}
	valid := w.term.Valid(h.now())
	h.mu.Unlock()
	if valid && !w.told {
		h.tellHeld(w, res.Lease.Fence)
	}
}

func (h *Holder) tellHeld(w *held, fence uint64) {
	w.told = true
	w.toldAs = fence
	h.log.Info("Lease held.", "lease", w.Name, "fence", fence)
	if w.OnHeld != nil {
		w.OnHeld(fence)
	}
}

// tellLost reports each lease that has ended since the last look.
func (h *Holder) tellLost() {
	for _, w := range h.wants {
		h.mu.Lock()
		ended := w.told && !w.term.Valid(h.now())
		h.mu.Unlock()
		if !ended {
			continue
		}
		w.told = false
		h.log.Warn("Lease lost.", "lease", w.Name, "fence", w.toldAs)
		if w.OnLost != nil {
			w.OnLost()
		}
	}
}

// release gives the held leases back, so that a successor need not wait them out.
func (h *Holder) release() {
	ctx, cancel := context.WithTimeout(context.Background(), h.o.TTL/2)
	defer cancel()
	for _, l := range h.heldLeases() {
		h.mu.Lock()
		for _, w := range h.wants {
			if w.Name == l.Name {
				w.term.Lost()
			}
		}
		h.mu.Unlock()
		end := &wire.EndLease{Name: l.Name, Fence: l.Fence, Why: "given back"}
		if _, err := h.o.Group.Propose(ctx, &wire.Command{Op: &wire.Command_EndLease{EndLease: end}}); err != nil {
			h.log.Warn("Giving a lease back failed.", "lease", l.Name, "error", err)
		}
	}
	h.tellLost()
}
