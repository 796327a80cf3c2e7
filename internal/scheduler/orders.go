package scheduler

import (
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/pkg/errors"

	"gentiankeel/internal/orders"
	"gentiankeel/internal/wire"
)

func (a *active) ordersOptions() orders.Options {
	o := a.s.o
	return orders.Options{
		Cell:         o.Cell,
		Lease:        o.LeaseName,
		Fence:        a.fence,
		Takeover:     o.LeaseTTL + o.OrderLife,
		OrderLife:    o.OrderLife,
		SuspectAfter: o.Suspect,
		ExpireAfter:  o.Lost,
		StoreRate:    o.Store.LoadsPerSecond,
		StoreMax:     o.Store.Concurrency,
		AdapterMax:   o.Store.AdapterInFlight,
	}
}

func recoveredOf(resp *wire.PlacementsResponse) orders.Recovered {
	return orders.Recovered{
		Index:      resp.Index,
		Placements: resp.Placements,
		OpenOrders: resp.OpenOrders,
		Upstreams:  resp.Upstreams,
		Spec:       resp.Spec,
	}
}

func (a *active) stepOrders(ev orders.Event) {
	acts, err := a.orders.Step(a.now(), ev)
	if err != nil {
		panic(err)
	}
	for _, act := range acts {
		a.carryOutOrder(act)
	}
}

func (a *active) carryOutOrder(act orders.Action) {
	switch m := act.(type) {
	case orders.Propose:
		a.propose(proposal{m.Batch, m.Command})
	case orders.Send:
		a.sendOrderTo(m)
	case orders.ReadState:
		a.read(m)
	case orders.ReadLog:
		select {
		case a.logReads <- struct{}{}:
		default: // one is asked for already
		}
	case orders.GrantUpdate:
		a.stepGrants(m.Event)
	case orders.Stop:
		a.log.Warn("The scheduler's term has ended.", "why", m.Why)
		a.cancel()
	}
}

// sendOrderTo queues an order for its upstream. A full queue is an order that was not sent.
func (a *active) sendOrderTo(m orders.Send) {
	select {
	case a.sender(m.Upstream).orders <- m:
	default:
		a.queue(upstreamAnswer{orders.SendFailed{Upstream: m.Upstream, Order: m.Order.ID}})
	}
}

func (a *active) read(m orders.ReadState) {
	select {
	case a.sender(m.Upstream).reads <- m:
	default:
		a.queue(upstreamAnswer{orders.ReadFailed{Upstream: m.Upstream}})
	}
}

// queue hands an event to the decision goroutine itself. The inbox may be full: then a
// goroutine waits in its stead.
func (a *active) queue(in input) {
	select {
	case a.inbox <- in:
	default:
		go a.offer(in)
	}
}

// proposed tells the orders core what came of a command. Commands of others need no
// answer: a death that could not be recorded is proposed again.
func (a *active) proposed(m proposed) {
	if m.proposal.batch == 0 {
		if m.err != nil {
			a.propose(m.proposal)
		}
		return
	}
	if cause, failed := failureOf(m); failed {
		a.stepOrders(orders.CommitFailed{Batch: m.proposal.batch, Cause: cause})
		return
	}
	a.stepOrders(orders.Committed{Batch: m.proposal.batch, Index: m.res.Index, Results: m.res.Orders})
}

func failureOf(m proposed) (cause orders.CommitFailure, failed bool) {
	if m.err != nil {
		if status.Code(errors.Cause(m.err)) == codes.InvalidArgument {
			return orders.CommitRefused, true
		}
		return orders.CommitUnknown, true
	}
	switch m.res.Code {
	case wire.ResultCode_RESULT_OK:
		return 0, false
	case wire.ResultCode_RESULT_FENCED:
		return orders.CommitFenced, true
	default:
		return orders.CommitRefused, true
	}
}

func (a *active) logRead(m logRead) {
	if m.err != nil {
		a.stepOrders(orders.ReadLogFailed{})
		return
	}
	a.stepOrders(recoveredOf(m.resp))
}
