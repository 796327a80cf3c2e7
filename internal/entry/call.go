package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"gentiankeel/internal/errkind"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// call is one attempt's request to an upstream.
type call struct {
	s        *Server
	id       string // identity of the attempt
	grant    *wire.Grant
	gate     *gate
	once     bool // may be sent at most once
	method   string
	path     string // with query
	header   http.Header
	body     []byte
	deadline time.Time
	resume   int // tokens already passed on
}

// answer is a whole answer that is not a stream.
type answer struct {
	status      int
	contentType string
	body        []byte
}

// failure is why a call brought no whole answer.
type failure struct {
	err    *errkind.Error
	stale  bool // the gate closed before the first byte
	unsent bool // no byte was written and none will be
	notRun bool // the upstream refused before running
	cut    bool // it ended in mid-answer
}

// do sends the request and returns the checked head of the response. The caller
// closes the body.
func (c *call) do(ctx context.Context) (*http.Response, *failure) {
	ctx, span := c.s.tracer.Start(ctx, "upstream call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("attempt", c.id), attribute.String("upstream", c.grant.GetUpstream())))
	defer span.End()
	req, err := c.request(ctx)
	if err != nil {
		c.gate.giveUp()
		return nil, &failure{err: errkind.Wrap(errkind.Internal, err, "building the request"), unsent: true}
	}
	transport := c.s.shared
	if c.once {
		transport = c.s.single
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, c.unanswered(err)
	}
	if f := c.checkHead(res); f != nil {
		res.Body.Close()
		return nil, f
	}
	return res, nil
}

func (c *call) request(ctx context.Context) (*http.Request, error) {
	url := "http://" + c.grant.GetAddress() + c.path
	req, err := http.NewRequestWithContext(withGate(ctx, c.gate), c.method, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "upstream request")
	}
	if c.once {
		req.GetBody = nil // nothing may send it again
	}
	for k, v := range c.header {
		req.Header[k] = v
	}
	req.Header.Set(upstream.HeaderAttempt, c.id)
	req.Header.Set(upstream.HeaderFence, strconv.FormatUint(c.grant.GetFence(), 10))
	left := max(c.deadline.Sub(c.s.opts.Now()), time.Millisecond)
	req.Header.Set(upstream.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if c.resume > 0 {
		req.Header.Set(upstream.HeaderResume, strconv.Itoa(c.resume))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// unanswered tells what is known of a call that brought no response.
func (c *call) unanswered(err error) *failure {
	unsent := c.gate.giveUp()
	return &failure{
		err:    errkind.Wrap(errkind.UpstreamFailed, err, "upstream %s gave no answer", c.grant.GetUpstream()),
		stale:  unsent && errors.Is(err, errGateClosed),
		unsent: unsent,
		cut:    !unsent,
	}
}

// checkHead drops an answer of another attempt, and tells refusals and failures apart.
func (c *call) checkHead(res *http.Response) *failure {
	if got := res.Header.Get(upstream.HeaderAttempt); got != c.id && !skipIdentity {
		c.s.m.late.Inc()
		c.s.log.Warn("An answer carried another attempt's identity.", "want", c.id, "got", got,
			"upstream", c.grant.GetUpstream())
		return &failure{
			err: errkind.New(errkind.UpstreamFailed, "upstream %s answered another attempt", c.grant.GetUpstream()),
			cut: true,
		}
	}
	if res.StatusCode < http.StatusBadRequest {
		return nil
	}
	if res.Header.Get(upstream.HeaderNotRun) == "true" {
		return &failure{
			err:    errkind.New(errkind.UpstreamRefused, "upstream %s refused with status %d", c.grant.GetUpstream(), res.StatusCode),
			notRun: true,
		}
	}
	if !c.once && isFailure(res.StatusCode) {
		return &failure{err: errkind.New(errkind.UpstreamFailed, "upstream %s failed with status %d",
			c.grant.GetUpstream(), res.StatusCode)}
	}
	return nil
}

// isFailure tells whether a status speaks of the upstream and not of the request.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError ||
		status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// readWhole reads an answer that is not a stream and checks that it came in full.
func (c *call) readWhole(res *http.Response) (*answer, *failure) {
	limit := int64(c.s.opts.MaxAnswerBytes)
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, &failure{err: errkind.Wrap(errkind.Interrupted, err, "the answer of upstream %s was cut", c.grant.GetUpstream()), cut: true}
	}
	if int64(len(body)) > limit {
		return nil, &failure{err: errkind.New(errkind.UpstreamFailed, "the answer is larger than %d bytes", limit), cut: true}
	}
	// Without a length or chunks the end of the connection is all there is, and that
	// looks the same when the upstream dies.
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !json.Valid(body) {
		return nil, &failure{err: errkind.New(errkind.Interrupted, "the answer has no length and is not whole JSON"), cut: true}
	}
	return &answer{status: res.StatusCode, contentType: res.Header.Get("Content-Type"), body: body}, nil
}

const cancelTimeout = time.Second

// cancelAt tells the upstream to stop an attempt. The slot is given back afterwards,
// so that the next holder does not find the attempt still running.
func (s *Server) cancelAt(address, attempt string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	body, err := json.Marshal(upstream.CancelRequest{Attempt: attempt})
	if err != nil {
		return
	}
	g := &gate{now: s.opts.Now, useBy: s.opts.Now().Add(cancelTimeout)}
	req, err := http.NewRequestWithContext(withGate(ctx, g), http.MethodPost,
		"http://"+address+upstream.PathCancel, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", contentJSON)
	res, err := s.control.RoundTrip(req)
	if err != nil {
		s.log.Debug("A cancel did not reach its upstream.", "attempt", attempt, "error", err)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, upstreamBuffer))
	res.Body.Close()
}
