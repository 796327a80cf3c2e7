package coordinator

import (
	"context"
	"time"

	"gentiankeel/internal/fleet"
	"gentiankeel/internal/pause"
	"gentiankeel/internal/replica"
	"gentiankeel/internal/wire"
)

// Where runners don't check fencing tokens, a term sends no orders before this VM's turn; see
// package turns. All else a coordinator does goes on meanwhile.

const (
	// handOverAbove is the wait for a turn from which the leadership is handed over instead. A
	// transfer takes a few round trips and syncs.
	handOverAbove = 300 * time.Millisecond
	// handOverRetry is the time after which a transfer that has not ended the leadership is
	// repeated. It exceeds the election timeout, which bounds a transfer.
	handOverRetry = time.Second
	// recordRetryInterval is the pause before a failed record of the holder is repeated.
	recordRetryInterval = 50 * time.Millisecond
)

// handOver is a transfer of the leadership, which this VM gives up in a term because of its turn.
type handOver struct {
	term  uint64
	began time.Time
}

// waitForTurn returns how long this VM must not send orders if it begins a term now. It must
// follow a read barrier.
func (s *Server) waitForTurn(holders []*wire.Holder) time.Duration {
	// A log without holders but with a configuration may be one of a version that records none.
	complete := len(holders) > 0 || s.o.Control.Routing() == nil
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turns.Wait(s.now(), holders, complete)
}

// handedOver reports whether this VM has given up the leadership in a term.
func (s *Server) handedOver(term uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handOver.term == term
}

// handOverTo transfers the leadership to a voter that could send orders at once, and reports
// whether it has begun to. The leader lease is not valid again in this term.
func (s *Server) handOverTo(ctx context.Context, st replica.Status, holders []*wire.Holder) bool {
	to := s.turns.Successor(holders, st)
	if to == 0 {
		return false
	}
	if err := s.o.Control.TransferLeadership(ctx, to); err != nil {
		s.log.Warn("The leadership could not be handed over.", "to", st.Member(to).GetAddress(), "error", err)
		return false
	}
	s.mu.Lock()
	s.handOver = handOver{st.Term, time.Now()}
	s.mu.Unlock()
	s.m.handOvers.Inc()
	s.log.Info("Leadership handed over to a VM that may send orders at once.", "to", st.Member(to).GetAddress(), "term", st.Term)
	return true
}

// retryHandOver transfers the leadership again, to any voter, if the first transfer has failed:
// without its lease this VM can't act in this term.
func (s *Server) retryHandOver(ctx context.Context, st replica.Status) {
	s.mu.Lock()
	due := st.IsLeader && st.Term == s.handOver.term && time.Since(s.handOver.began) >= handOverRetry
	if due {
		s.handOver.began = time.Now()
	}
	s.mu.Unlock()
	if !due {
		return
	}
	if err := s.o.Control.TransferLeadership(ctx, 0); err != nil {
		s.log.Warn("The leadership could not be handed over again.", "error", err)
	}
}

func (s *Server) orderEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns.OrderEnded(s.now())
}

// takeTurn allows the core to send orders once the wait is over and this VM is recorded as their
// holder. After one more interval no other VM's orders matter.
func (t *term) takeTurn(wait time.Duration, holders []*wire.Holder) {
	if pause.For(t.ctx, wait) != nil {
		return
	}
	self := t.server.o.Address
	wasLast := len(holders) > 0 && holders[len(holders)-1].Address == self
	if !wasLast && !t.recordHolder(&wire.RecordHolder{Holder: &wire.Holder{Address: self, Token: t.token}}) {
		return
	}
	waited := time.Since(t.started)
	t.server.m.orderWait.Observe(waited.Seconds())
	t.log.Info("Orders are sent from now on.", "waited_ms", waited.Milliseconds(), "earlier_holders", len(holders))
	t.submitResult(fleet.OrdersAllowed{})
	if wasLast && len(holders) == 1 {
		return
	}
	if pause.For(t.ctx, t.server.turns.Interval()) == nil {
		t.recordHolder(&wire.RecordHolder{Holder: &wire.Holder{Address: self, Token: t.token}, Only: true})
	}
}

// recordHolder commits a record, and reports whether it did before the term ended.
func (t *term) recordHolder(r *wire.RecordHolder) bool {
	for {
		ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
		res, err := t.server.o.Control.RecordHolder(ctx, r)
		cancel()
		if err == nil && res.Code == wire.ResultCode_RESULT_OK {
			return true
		}
		t.log.Warn("Recording the holder of orders failed.", "detail", res.GetDetail(), "error", errText(err))
		if pause.For(t.ctx, recordRetryInterval) != nil {
			return false
		}
	}
}
