package upclient

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gentiankeel/internal/respbuf"
)

// Call is one request to an upstream.
type Call struct {
	Address string
	// ID identifies the request over its attempts. A connection that carried one of them is not
	// used for another, since the upstream may repeat its response there. Empty: it has one attempt.
	ID      string
	Request *http.Request // without a body; Host, URL and Header are sent as they are
	Body    []byte
	// HeaderTimeout bounds the time to the response's header; 0: only the context does.
	HeaderTimeout time.Duration
	// Identify is asked on the connection before the call is sent; nil: it does not matter which process it leads to.
	Identify *Identify
	// OnClosed is called if the upstream closes the connection just after the whole response
	// without having announced it; nil: it does not matter.
	OnClosed func()
}

// Failure is the error of a call without a response. Unsent states that no byte of the
// request was written, so that it can't have run.
type Failure struct {
	Err    error
	Unsent bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Do sends the call once and returns the response, whose body must be closed. The connection
// is reused if the body was read to its end. If ctx ends, the connection is closed at once,
// also while the body is being read.
func (p *Pool) Do(ctx context.Context, call *Call) (*http.Response, *Failure) {
	if err := ctx.Err(); err != nil {
		return nil, &Failure{Err: err, Unsent: true}
	}
	c := p.takeIdle(call.Address, call.ID)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, call.Address); err != nil {
			return nil, &Failure{Err: errors.Wrap(err, "connecting"), Unsent: true}
		}
	}
	if call.Identify != nil {
		var err error
		if c, err = p.identified(ctx, c, call); err != nil {
			return nil, &Failure{Err: err, Unsent: true}
		}
	}
	x := &exchange{pool: p, conn: c, call: call, isFirst: !c.isUsed}
	c.noteCall(call.ID)
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	res, err := x.roundTrip()
	if err != nil {
		x.abort()
		if cause := ctx.Err(); cause != nil {
			err = errors.Wrap(err, cause.Error())
		}
		return nil, &Failure{Err: err, Unsent: !x.wrote.Load()}
	}
	return res, nil
}

// exchange is one request and its response on a connection.
type exchange struct {
	pool       *Pool
	conn       *conn
	call       *Call
	stop       func() bool
	wrote      atomic.Bool
	isFirst    bool // the connection carried no request before
	mismatched bool // a response to another request came first
	finished   bool // the connection was released or closed
}

func (x *exchange) roundTrip() (*http.Response, error) {
	head := x.requestHead()
	if x.call.HeaderTimeout > 0 {
		_ = x.conn.SetReadDeadline(time.Now().Add(x.call.HeaderTimeout))
	}
	x.conn.responses.Expect(x.call.Request.Method)
	written := make(chan error, 1)
	if len(x.call.Body) <= bufferSize {
		written <- x.write(append(head, x.call.Body...))
	} else {
		// An upstream may respond before it has read a long body.
		go func() { written <- x.write(head, x.call.Body) }()
	}
	res, err := x.readResponse()
	if err != nil {
		return nil, x.conn.causeOf(err)
	}
	if x.call.HeaderTimeout > 0 {
		_ = x.conn.SetReadDeadline(time.Time{})
	}
	res.Body = &responseBody{x: x, r: res.Body, res: res, written: written, untilClose: isDelimitedByClose(res) && res.Body != http.NoBody}
	return res, nil
}

// requestHead builds the request line and header. The writer of net/http is not used: it
// adds fields, and the order of its writes is not defined.
func (x *exchange) requestHead() []byte {
	req := x.call.Request
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.URL.RequestURI() + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&b) // writes to a bytes.Buffer do not fail
	if len(x.call.Body) > 0 || methodHasBody(req.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(x.call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// methodHasBody reports whether a request of a method needs a length even without a body.
func methodHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// write sends the parts and records whether any byte was written.
func (x *exchange) write(parts ...[]byte) error {
	for _, part := range parts {
		n, err := x.conn.Write(part)
		if n > 0 {
			x.wrote.Store(true)
		}
		if err != nil {
			return errors.Wrap(err, "sending")
		}
	}
	return nil
}

// readResponse reads responses until one belongs to the request. It skips informational
// ones, and up to maxMismatched to other requests.
func (x *exchange) readResponse() (*http.Response, error) {
	x.conn.in.Left = respbuf.MaxHeadBytes
	defer func() { x.conn.in.Left = math.MaxInt64 }()
	for skipped := 0; ; {
		res, err := http.ReadResponse(x.conn.br, x.call.Request)
		if err != nil {
			return nil, errors.Wrap(err, "reading the response's header")
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			if res.StatusCode == http.StatusSwitchingProtocols {
				return nil, errors.New("the upstream switched protocols")
			}
			continue
		}
		if x.pool.o.IsResponseTo == nil || x.pool.o.IsResponseTo(x.call.Request, res, x.isFirst) {
			return res, nil
		}
		x.mismatched = true
		if skipped++; skipped > maxMismatched || isDelimitedByClose(res) {
			return nil, errors.New("the response belongs to another request")
		}
		x.conn.in.Left = math.MaxInt64
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes+1))
		if err == nil && n > maxSkippedBytes {
			err = errors.Errorf("it has more than %d bytes", maxSkippedBytes)
		}
		if err != nil {
			return nil, errors.Wrap(err, "skipping a response to another request")
		}
		x.conn.in.Left = respbuf.MaxHeadBytes
	}
}

// causeOf returns the error of an invalid response if there was one, which the parser may report as another error, else err.
func (c *conn) causeOf(err error) error {
	if invalid := c.responses.Err(); invalid != nil {
		return errors.Wrap(invalid, "reading the response")
	}
	return err
}

// isDelimitedByClose reports whether only the end of the connection can delimit the response's body.
func isDelimitedByClose(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// breakSeenByWrite returns the error with which the connection broke off if the write of the request's body met it,
// after a read has met an end. The kernel reports such an error once, and an end to all later calls. After a FIN, a
// write fails with EPIPE.
func (x *exchange) breakSeenByWrite(written <-chan error) error {
	_ = x.conn.SetWriteDeadline(time.Unix(1, 0)) // ends a blocked write
	err := <-written
	if err == nil || errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// abort closes the connection, unless it was released or closed before.
func (x *exchange) abort() {
	if !x.finished {
		x.finished = true
		x.stop()
		x.conn.Close()
	}
}

// releaseConn returns the connection to the pool if it may be reused, or closes it.
func (x *exchange) releaseConn(res *http.Response, written <-chan error) {
	if x.finished {
		return
	}
	keep := !res.Close && !x.mismatched && x.conn.br.Buffered() == 0
	select {
	case err := <-written:
		keep = keep && err == nil
	default:
		keep = false // the rest of the request's body would be taken for the next request
	}
	if !x.stop() || !keep {
		x.finished = true
		x.conn.Close()
		return
	}
	x.finished = true
	x.conn.serverIdleTimeout = keepAliveTimeout(res.Header)
	x.conn.onClosed = x.call.OnClosed
	x.pool.putIdle(x.conn)
}

// responseBody is a response's body, whose end releases the connection.
type responseBody struct {
	x       *exchange
	r       io.ReadCloser
	res     *http.Response
	written <-chan error
	// untilClose is set if only the end of the connection delimits the body.
	untilClose bool
	broken     error // of further reads, once the connection has broken off
}

// Read implements io.Reader. It returns io.EOF only if the body is complete.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.broken != nil {
		return 0, b.broken
	}
	n, err := b.r.Read(p)
	if !errors.Is(err, io.EOF) {
		if err != nil {
			err = b.x.conn.causeOf(err)
		}
		return n, err
	}
	if b.untilClose && !b.x.finished {
		if b.broken = b.x.breakSeenByWrite(b.written); b.broken != nil {
			b.x.abort()
			return n, b.broken
		}
	}
	b.x.releaseConn(b.res, b.written)
	return n, err
}

// Close implements io.Closer. It closes the connection unless the body was read to its end.
func (b *responseBody) Close() error {
	b.x.abort()
	return nil
}
