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
	"gentiankeel/internal/httpresponse"
	"gentiankeel/internal/respbuf"
	"gentiankeel/internal/upstream"
	"gentiankeel/internal/wire"
)

// call is the HTTP request of one attempt to an upstream.
type call struct {
	s          *Server
	id         string // attempt id
	grant      *wire.Grant
	gate       *sendGate
	atMostOnce bool // must not be sent twice
	method     string
	path       string // including the query
	header     http.Header
	body       []byte
	deadline   time.Time
	resumeFrom int // index of the first token to send; 0: the whole response

	invalid func() error // see httpresponse.Trace; set when the request is sent
}

// fullResponse is a complete response that is not a stream.
type fullResponse struct {
	status      int
	contentType string
	body        []byte
	buffer      *respbuf.Buffer // that holds the body; nil if the response was stored before
}

// failure describes why a call got no complete response.
type failure struct {
	err    *errkind.Error
	stale  bool // the gate forbade the first write
	unsent bool // no byte was or will be written
	notRun bool // the upstream refused the call before running it
	cut    bool // the connection broke before the end of the response
}

// do sends the request and returns the response after checking its header. The body must
// be closed.
func (c *call) do(ctx context.Context) (*http.Response, *failure) {
	ctx, span := c.s.tracer.Start(ctx, "upstream call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("attempt", c.id), attribute.String("upstream", c.grant.GetUpstream())))
	defer span.End()
	req, err := c.newRequest(ctx)
	if err != nil {
		c.gate.close()
		return nil, &failure{err: errkind.Wrap(errkind.Internal, err, "building the request"), unsent: true}
	}
	transport := c.s.sharedTransport
	if c.atMostOnce {
		transport = c.s.onceTransport
	}
	res, err := transport.RoundTrip(req)
	if err != nil {
		return nil, c.transportFailure(err)
	}
	if f := c.checkHeader(res); f != nil {
		res.Body.Close()
		return nil, f
	}
	return res, nil
}

func (c *call) newRequest(ctx context.Context) (*http.Request, error) {
	url := "http://" + c.grant.GetAddress() + c.path
	ctx, c.invalid = httpresponse.Trace(ctx, c.method)
	req, err := http.NewRequestWithContext(withGate(ctx, c.gate), c.method, url, bytes.NewReader(c.body))
	if err != nil {
		return nil, errors.Wrap(err, "upstream request")
	}
	if c.atMostOnce {
		req.GetBody = nil // prevents the transport from sending it again
	}
	for k, v := range c.header {
		req.Header[k] = v
	}
	req.Header.Set(upstream.HeaderAttempt, c.id)
	req.Header.Set(upstream.HeaderFence, strconv.FormatUint(c.grant.GetFence(), 10))
	remaining := max(c.deadline.Sub(c.s.opts.Now()), time.Millisecond)
	req.Header.Set(upstream.HeaderDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
	if c.resumeFrom > 0 {
		req.Header.Set(upstream.HeaderResume, strconv.Itoa(c.resumeFrom))
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// transportFailure classifies a call that got no response.
func (c *call) transportFailure(err error) *failure {
	unsent := c.gate.close()
	if !unsent {
		if f := c.invalidResponse(); f != nil {
			return f
		}
	}
	return &failure{
		err: errkind.Wrap(errkind.UpstreamFailed, err, "upstream %s gave no answer", c.grant.GetUpstream()),
		// The transport may report the connection that it closed on errGateClosed instead.
		stale:  unsent && c.gate.refusedWrite(),
		unsent: unsent,
		cut:    !unsent,
	}
}

// invalidResponse returns the failure of a call whose upstream answered with what is not valid HTTP/1.1, nil if it did not.
// The upstream runs on, so that this does not count as a cut.
func (c *call) invalidResponse() *failure {
	err := c.invalid()
	if err == nil {
		return nil
	}
	c.s.m.malformed.Inc()
	c.s.log.Warn("Dropped an invalid response.", "attempt", c.id, "upstream", c.grant.GetUpstream(), "error", err)
	return &failure{err: errkind.Wrap(errkind.UpstreamFailed, err, "upstream %s answered with an invalid response", c.grant.GetUpstream())}
}

// checkHeader rejects a response to another attempt and classifies error statuses.
func (c *call) checkHeader(res *http.Response) *failure {
	if got := res.Header.Get(upstream.HeaderAttempt); got != c.id && !skipIdentity {
		c.s.m.lateResponses.Inc()
		c.s.log.Warn("Dropped a response that carries another attempt's id.", "want", c.id, "got", got,
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
	if !c.atMostOnce && isUpstreamFailure(res.StatusCode) {
		return &failure{err: errkind.New(errkind.UpstreamFailed, "upstream %s failed with status %d",
			c.grant.GetUpstream(), res.StatusCode)}
	}
	return nil
}

// isUpstreamFailure reports whether a status is caused by the upstream and not by the
// request.
func isUpstreamFailure(status int) bool {
	return status >= http.StatusInternalServerError ||
		status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// readBody reads a response that is not a stream and checks that it is complete.
// cancel ends the call. The response's buffer is to be released.
func (c *call) readBody(res *http.Response, cancel func()) (*fullResponse, *failure) {
	buffer, err := c.s.responses.Read(res.Body, res.ContentLength, int64(c.s.opts.MaxResponseBytes), cancel)
	if err != nil {
		if f := c.invalidResponse(); f != nil {
			return nil, f
		}
	}
	switch {
	case errors.Is(err, respbuf.ErrTooLarge), errors.Is(err, respbuf.ErrNoMemory):
		return nil, &failure{err: errkind.Wrap(errkind.UpstreamFailed, err, "the answer of upstream %s was given up", c.grant.GetUpstream()), cut: true}
	case err != nil:
		return nil, &failure{err: errkind.Wrap(errkind.Interrupted, err, "the answer of upstream %s was cut", c.grant.GetUpstream()), cut: true}
	}
	body := buffer.Bytes
	// Without a length or chunks, the end of the response is the end of the connection,
	// which looks the same when the upstream dies.
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 && !json.Valid(body) {
		buffer.Release()
		return nil, &failure{err: errkind.New(errkind.Interrupted, "the answer has no length and is not whole JSON"), cut: true}
	}
	return &fullResponse{status: res.StatusCode, contentType: res.Header.Get("Content-Type"), body: body, buffer: buffer}, nil
}

const cancelTimeout = time.Second

// cancelAttempt requests the cancellation of an attempt at its upstream; a failure is only
// logged. The slot is released afterwards, so that its next holder does not run in parallel
// with this attempt.
func (s *Server) cancelAttempt(address, attemptID string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	body, err := json.Marshal(upstream.CancelRequest{Attempt: attemptID})
	if err != nil {
		return
	}
	g := &sendGate{now: s.opts.Now, useBy: s.opts.Now().Add(cancelTimeout)}
	req, err := http.NewRequestWithContext(withGate(ctx, g), http.MethodPost,
		"http://"+address+upstream.PathCancel, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", contentJSON)
	res, err := s.cancelTransport.RoundTrip(req)
	if err != nil {
		s.log.Debug("Cancelling an attempt at its upstream failed.", "attempt", attemptID, "error", err)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, upstreamBufferSize))
	res.Body.Close()
}
