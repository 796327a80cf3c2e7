package upclient

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Call is one request to an upstream.
type Call struct {
	Address string
	Request *http.Request // without a body; Host, URL and Header are sent as they are
	Body    []byte
	// HeadTimeout bounds the wait for the response's head; 0: the context's deadline.
	HeadTimeout time.Duration
}

// Failure is a call that brought no response. Unsent tells that no byte of it was
// written, so that it can't have run.
type Failure struct {
	Err    error
	Unsent bool
}

// Error implements error.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Do sends the call once and returns the response. Its body must be closed; the
// connection is kept when the body was read to its end. When ctx ends, the connection
// is closed at once, also while the body is read.
func (p *Pool) Do(ctx context.Context, call *Call) (*http.Response, *Failure) {
	if err := ctx.Err(); err != nil {
		return nil, &Failure{Err: err, Unsent: true}
	}
	c := p.take(call.Address)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, call.Address); err != nil {
			return nil, &Failure{Err: errors.Wrap(err, "connecting"), Unsent: true}
		}
	}
	x := &exchange{pool: p, conn: c, call: call}
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
	pool  *Pool
	conn  *conn
	call  *Call
	stop  func() bool
	wrote atomic.Bool
	stray bool // a response of another request came first
	over  bool
}

func (x *exchange) roundTrip() (*http.Response, error) {
	head := x.head()
	if x.call.HeadTimeout > 0 {
		_ = x.conn.SetReadDeadline(time.Now().Add(x.call.HeadTimeout))
	}
	written := make(chan error, 1)
	if len(x.call.Body) <= bufferBytes {
		written <- x.write(append(head, x.call.Body...))
	} else {
		// An upstream may answer before it has read a long body.
		go func() { written <- x.write(head, x.call.Body) }()
	}
	res, err := x.response()
	if err != nil {
		return nil, err
	}
	if x.call.HeadTimeout > 0 {
		_ = x.conn.SetReadDeadline(time.Time{})
	}
	res.Body = &body{x: x, r: res.Body, res: res, written: written}
	return res, nil
}

// head builds the request line and the header fields; net/http's own writer would add
// fields and may leave the order of the write unknown.
func (x *exchange) head() []byte {
	req := x.call.Request
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.URL.RequestURI() + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&b) // a bytes.Buffer takes every write
	if len(x.call.Body) > 0 || bodyExpected(req.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(x.call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func bodyExpected(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

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

// response reads heads until one belongs to the request.
func (x *exchange) response() (*http.Response, error) {
	for stray := 0; ; {
		res, err := http.ReadResponse(x.conn.br, x.call.Request)
		if err != nil {
			return nil, errors.Wrap(err, "reading the response's head")
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			if res.StatusCode == http.StatusSwitchingProtocols {
				return nil, errors.New("the upstream switched protocols")
			}
			continue
		}
		if x.pool.o.Answers == nil || x.pool.o.Answers(x.call.Request, res) {
			return res, nil
		}
		x.stray = true
		if stray++; stray > maxStray || res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
			return nil, errors.New("the response belongs to another request")
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, errors.Wrap(err, "skipping a response of another request")
		}
	}
}

func (x *exchange) abort() {
	if !x.over {
		x.over = true
		x.stop()
		x.conn.Close()
	}
}

// finish keeps the connection where it may serve another request.
func (x *exchange) finish(res *http.Response, written <-chan error) {
	if x.over {
		return
	}
	keep := !res.Close && !x.stray && x.conn.br.Buffered() == 0
	select {
	case err := <-written:
		keep = keep && err == nil
	default:
		keep = false // the rest of the body would be read as the next request
	}
	if !x.stop() || !keep {
		x.over = true
		x.conn.Close()
		return
	}
	x.over = true
	x.conn.limit = keepAlive(res.Header)
	x.pool.put(x.conn)
}

// body reads a response's body. Its end gives the connection back.
type body struct {
	x       *exchange
	r       io.ReadCloser
	res     *http.Response
	written <-chan error
}

// Read implements io.Reader. io.EOF means that the body came whole.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		b.x.finish(b.res, b.written)
	}
	return n, err
}

// Close implements io.Closer. A body that was not read to its end closes the connection.
func (b *body) Close() error {
	b.x.abort()
	return nil
}
