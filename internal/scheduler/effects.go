package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/httpresponse"
	"gentiankeel/internal/orders"
	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

const (
	// proposalQueueSize bounds the proposals that wait for the control group.
	proposalQueueSize = 256
	// senderQueueSize bounds the orders, and likewise the state reads, that wait for one
	// upstream.
	senderQueueSize = 64
	// proposeTimeout bounds one proposal. After it the outcome is unknown, and the log is
	// read again.
	proposeTimeout = 5 * time.Second
	// maxResponseBytes bounds the body of an upstream's response.
	maxResponseBytes = 8 << 20
	// maxHeldBytes bounds the bodies of all responses in memory.
	maxHeldBytes = 32 << 20
)

// proposal is one command for the log.
type proposal struct {
	commandID uint64 // id assigned by the orders core; 0: a command of the grant core
	cmd       *wire.Command
}

// commitLoop commits proposals one at a time, in the order of the decisions, and reads the
// log on request.
func (t *term) commitLoop() {
	defer t.workers.Done()
	for {
		select {
		case <-t.ctx.Done():
			return
		case p := <-t.proposals:
			t.commit(p)
		case <-t.logReadRequests:
			resp, err := t.server.opts.Group.Placements(t.ctx, t.server.opts.Cell)
			t.enqueue(logReadResult{resp, err})
		}
	}
}

func (t *term) commit(p proposal) {
	ctx, cancel := context.WithTimeout(t.ctx, proposeTimeout)
	defer cancel()
	res, err := t.server.opts.Group.Propose(ctx, p.cmd)
	if err != nil {
		t.log.Warn("Proposing a command failed.", "error", err)
	}
	t.enqueue(proposalResult{p, res, err})
}

// sender holds the queues of one upstream: orders are sent one at a time over one connection,
// state reads over another. An upstream that ignores fencing numbers must not get two orders
// at once.
type sender struct {
	id     string
	orders chan orders.Send
	reads  chan orders.ReadState
}

// senderFor returns the sender of an upstream and starts it on first use.
func (t *term) senderFor(id string) *sender {
	if sd, ok := t.senders[id]; ok {
		return sd
	}
	sd := &sender{
		id:     id,
		orders: make(chan orders.Send, senderQueueSize),
		reads:  make(chan orders.ReadState, senderQueueSize),
	}
	t.senders[id] = sd
	t.workers.Add(2)
	go serveQueue(t, sd.orders, t.sendOrder)
	go serveQueue(t, sd.reads, t.readState)
	return sd
}

// newSingleConnClient returns a client that uses one connection at a time and accepts only valid responses.
func newSingleConnClient() *http.Client {
	var dialer net.Dialer
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return httpresponse.NewConn(c), nil
		},
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: respbuf.MaxHeadBytes}}
}

// serveQueue executes the jobs of one queue, one at a time, until the term ends.
func serveQueue[T any](t *term, queue <-chan T, execute func(*http.Client, T) orders.Event) {
	defer t.workers.Done()
	client := newSingleConnClient()
	defer client.CloseIdleConnections()
	for {
		select {
		case <-t.ctx.Done():
			return
		case job := <-queue:
			t.enqueue(upstreamResult{execute(client, job)})
		}
	}
}

// sendOrder sends an order. If the lease is no longer valid, it sends nothing and returns
// SendFailed.
func (t *term) sendOrder(client *http.Client, job orders.Send) orders.Event {
	if !t.valid() {
		return orders.SendFailed{Upstream: job.Upstream, OrderID: job.Order.ID}
	}
	body, err := json.Marshal(job.Order)
	if err != nil {
		return orders.SendFailed{Upstream: job.Upstream, OrderID: job.Order.ID}
	}
	ctx, cancel := context.WithTimeout(t.ctx, job.Timeout)
	defer cancel()
	t.server.metrics.orders.WithLabelValues(string(job.Order.Kind)).Inc()
	var reply upstream.OrderReply
	err = t.server.doJSON(ctx, client, http.MethodPost, job.Address+upstream.PathOrders, body, &reply)
	if err == nil && reply.ID != job.Order.ID {
		err = errors.Errorf("the reply is for order %q", reply.ID)
	}
	if err != nil {
		t.server.metrics.ordersUnanswered.Inc()
		t.log.Warn("An order got no valid answer.", "upstream", job.Upstream, "order", job.Order.ID, "error", err)
		return orders.SendFailed{Upstream: job.Upstream, OrderID: job.Order.ID,
			MaybeDelivered: !isDialError(err), ConnRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	return orders.OrderReplied{Upstream: job.Upstream, Reply: reply}
}

func (t *term) readState(client *http.Client, job orders.ReadState) orders.Event {
	ctx, cancel := context.WithTimeout(t.ctx, t.server.opts.OrderLife)
	defer cancel()
	var st upstream.State
	if err := t.server.doJSON(ctx, client, http.MethodGet, job.Address+upstream.PathState, nil, &st); err != nil {
		if errors.Is(err, httpresponse.ErrInvalid) {
			t.log.Warn("The state of an upstream came in an invalid response.", "upstream", job.Upstream, "error", err)
		}
		return orders.ReadFailed{Upstream: job.Upstream, ConnRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
	return orders.StateRead{Upstream: job.Upstream, State: st}
}

// doJSON makes one HTTP request and decodes the JSON response into result. It ignores the
// status code: a result of another shape lacks the order id or the incarnation that is checked
// later.
func (s *Server) doJSON(ctx context.Context, client *http.Client, method, address string, body []byte, result any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, invalid := httpresponse.Trace(ctx, method)
	err := s.exchangeJSON(ctx, cancel, client, method, address, body, result)
	if cause := invalid(); err != nil && cause != nil {
		return cause
	}
	return err
}

// exchangeJSON is doJSON with the errors of net/http.
func (s *Server) exchangeJSON(ctx context.Context, cancel func(), client *http.Client, method, address string, body []byte, result any) error {
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
	response, err := s.responses.Read(resp.Body, resp.ContentLength, maxResponseBytes, cancel)
	if err != nil {
		return err
	}
	defer response.Release()
	return json.Unmarshal(response.Bytes, result)
}

// isDialError reports whether the connection was never established, so that no byte can
// have reached the upstream.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
