package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/orders"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

const (
	// logQueueSize bounds the proposals that wait for the control group.
	logQueueSize = 256
	// senderQueueSize bounds the orders that wait for one upstream.
	senderQueueSize = 64
	// proposeTimeout bounds one proposal; past it the log is read again.
	proposeTimeout = 5 * time.Second
	// maxStateBytes bounds an upstream's answer.
	maxStateBytes = 8 << 20
)

// proposal is one command for the log; batch is the orders core's name for it, 0 for
// others.
type proposal struct {
	batch uint64
	cmd   *wire.Command
}

// logDuty commits proposals one after the other, in the order of the decisions.
func (a *active) logDuty() {
	defer a.done.Done()
	for {
		select {
		case <-a.ctx.Done():
			return
		case p := <-a.proposals:
			a.commit(p)
		case <-a.logReads:
			resp, err := a.s.o.Group.Placements(a.ctx, a.s.o.Cell)
			a.offer(logRead{resp, err})
		}
	}
}

func (a *active) commit(p proposal) {
	ctx, cancel := context.WithTimeout(a.ctx, proposeTimeout)
	defer cancel()
	res, err := a.s.o.Group.Propose(ctx, p.cmd)
	if err != nil {
		a.log.Warn("Proposal without an answer.", "error", err)
	}
	a.offer(proposed{p, res, err})
}

// sender carries orders to one upstream over one connection, one at a time, and
// questions over another. An upstream that ignores fencing numbers must not see two
// orders at once.
type sender struct {
	id     string
	orders chan orders.Send
	reads  chan orders.ReadState
}

func (a *active) sender(id string) *sender {
	if sd, ok := a.senders[id]; ok {
		return sd
	}
	sd := &sender{
		id:     id,
		orders: make(chan orders.Send, senderQueueSize),
		reads:  make(chan orders.ReadState, senderQueueSize),
	}
	a.senders[id] = sd
	a.done.Add(2)
	go serveQueue(a, sd.orders, a.sendOrder)
	go serveQueue(a, sd.reads, a.readState)
	return sd
}

// singleConn returns a client that uses one connection at a time.
func singleConn() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}}
}

// serveQueue makes the calls of one queue, one at a time, until the term ends.
func serveQueue[T any](a *active, queue <-chan T, call func(*http.Client, T) orders.Event) {
	defer a.done.Done()
	client := singleConn()
	defer client.CloseIdleConnections()
	for {
		select {
		case <-a.ctx.Done():
			return
		case job := <-queue:
			a.offer(upstreamAnswer{call(client, job)})
		}
	}
}

// sendOrder sends an order if the lease still holds right before.
func (a *active) sendOrder(client *http.Client, job orders.Send) orders.Event {
	if !a.valid() {
		return orders.SendFailed{Upstream: job.Upstream, Order: job.Order.ID}
	}
	body, err := json.Marshal(job.Order)
	if err != nil {
		return orders.SendFailed{Upstream: job.Upstream, Order: job.Order.ID}
	}
	ctx, cancel := context.WithTimeout(a.ctx, job.Timeout)
	defer cancel()
	a.s.metrics.orders.WithLabelValues(string(job.Order.Kind)).Inc()
	var reply upstream.OrderReply
	err = exchange(ctx, client, http.MethodPost, job.Address+upstream.PathOrders, body, &reply)
	if err == nil && reply.ID != job.Order.ID {
		err = errors.Errorf("the reply is about order %q", reply.ID)
	}
	if err != nil {
		a.s.metrics.orderFailed.Inc()
		a.log.Warn("Order without an answer.", "upstream", job.Upstream, "order", job.Order.ID, "error", err)
		return orders.SendFailed{Upstream: job.Upstream, Order: job.Order.ID,
			Unknown: !isDialError(err), Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	return orders.Replied{Upstream: job.Upstream, Reply: reply}
}

func (a *active) readState(client *http.Client, job orders.ReadState) orders.Event {
	ctx, cancel := context.WithTimeout(a.ctx, a.s.o.OrderLife)
	defer cancel()
	var st upstream.State
	if err := exchange(ctx, client, http.MethodGet, job.Address+upstream.PathState, nil, &st); err != nil {
		return orders.ReadFailed{Upstream: job.Upstream, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	return orders.StateRead{Upstream: job.Upstream, State: st}
}

// exchange makes one call and decodes its answer.
func exchange(ctx context.Context, client *http.Client, method, address string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(io.LimitReader(resp.Body, maxStateBytes)).Decode(into)
}

// isDialError reports whether the connection was never made, so that no byte can have
// reached the upstream.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
