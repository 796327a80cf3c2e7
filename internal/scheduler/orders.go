package scheduler

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/pkg/errors"

	"gentiankeel/internal/orders"
	"gentiankeel/internal/wire"
)

func (t *term) ordersOptions() orders.Options {
	o := t.server.opts
	return orders.Options{
		Cell:                o.Cell,
		Lease:               o.LeaseName,
		Fence:               t.fence,
		TakeoverWait:        o.LeaseTTL + max(o.OrderLife, o.Grant.UseBy),
		OrderLife:           o.OrderLife,
		SuspectAfter:        o.SuspectAfter,
		ExpireAfter:         o.LostAfter,
		StoreLoadsPerSecond: o.Store.LoadsPerSecond,
		MaxStoreLoads:       o.Store.Concurrency,
		MaxAdapterLoads:     o.Store.AdapterInFlight,
	}
}

func logReadEvent(resp *wire.PlacementsResponse) orders.LogRead {
	return orders.LogRead{
		Index:      resp.Index,
		Placements: resp.Placements,
		OpenOrders: resp.OpenOrders,
		Upstreams:  resp.Upstreams,
		Spec:       resp.Spec,
	}
}

func (t *term) stepOrders(ev orders.Event) {
	acts, err := t.orders.Step(t.now(), ev)
	if err != nil {
		panic(err)
	}
	for _, act := range acts {
		t.executeOrdersAction(act)
	}
}

func (t *term) executeOrdersAction(act orders.Action) {
	switch m := act.(type) {
	case orders.Propose:
		t.propose(proposal{m.CommandID, m.Command})
	case orders.Send:
		t.enqueueOrder(m)
	case orders.ReadState:
		t.enqueueRead(m)
	case orders.ReadLog:
		select {
		case t.logReadRequests <- struct{}{}:
		default: // a read is requested already
		}
	case orders.GrantUpdate:
		t.stepGrants(m.Event)
		t.trackIncarnation(m.Event)
	case orders.Stop:
		t.log.Warn("The scheduler's term has ended.", "why", m.Reason)
		t.cancel()
	}
}

// enqueueOrder queues an order for its upstream. If the queue is full, the order counts as
// not sent.
func (t *term) enqueueOrder(m orders.Send) {
	select {
	case t.senderFor(m.Upstream).orders <- m:
	default:
		t.enqueueNonBlocking(upstreamResult{orders.SendFailed{Upstream: m.Upstream, OrderID: m.Order.ID}})
	}
}

// enqueueRead queues a state read for its upstream. If the queue is full, the read counts as
// failed.
func (t *term) enqueueRead(m orders.ReadState) {
	select {
	case t.senderFor(m.Upstream).reads <- m:
	default:
		t.enqueueNonBlocking(upstreamResult{orders.ReadFailed{Upstream: m.Upstream}})
	}
}

// enqueueNonBlocking delivers an event from the decision goroutine, which must not block on
// its own inbox: if that is full, another goroutine waits.
func (t *term) enqueueNonBlocking(in input) {
	select {
	case t.inbox <- in:
	default:
		go t.enqueue(in)
	}
}

// handleProposalResult passes the outcome of a command to the orders core. The grant core
// needs no answer to its command: a death that could not be recorded is proposed again,
// unless the control group refused it as invalid.
func (t *term) handleProposalResult(m proposalResult) {
	cause, failed := commitFailure(m)
	if m.proposal.commandID == 0 {
		switch {
		case failed && cause == orders.CommitRefused:
			t.log.Error("The control group refused the report on a request body as invalid.", "error", m.err)
		case m.err != nil:
			t.propose(m.proposal)
		}
		return
	}
	if failed {
		t.stepOrders(orders.CommitFailed{CommandID: m.proposal.commandID, Cause: cause})
		return
	}
	t.stepOrders(orders.Committed{CommandID: m.proposal.commandID, Index: m.result.Index, Results: m.result.Orders})
}

// commitFailure returns how a proposal failed, and whether it did. After an error the outcome is
// unknown, unless the control group refused the command as invalid.
func commitFailure(m proposalResult) (cause orders.CommitFailure, failed bool) {
	if m.err != nil {
		if status.Code(errors.Cause(m.err)) == codes.InvalidArgument {
			return orders.CommitRefused, true
		}
		return orders.CommitOutcomeUnknown, true
	}
	switch m.result.Code {
	case wire.ResultCode_RESULT_OK:
		return 0, false
	case wire.ResultCode_RESULT_FENCED:
		return orders.CommitFenced, true
	default:
		return orders.CommitRefused, true
	}
}

func (t *term) handleLogRead(m logReadResult) {
	if m.err != nil {
		t.stepOrders(orders.LogReadFailed{})
		return
	}
	t.stepOrders(logReadEvent(m.resp))
}
