// Package httpserver runs an http.Handler on nbhttp and adds what nbhttp lacks: a
// request's context is cancelled when its caller disconnects, each request runs on a
// goroutine of its own and their number is limited, bodies are limited in size and time,
// and requests that can't be parsed get a response before the connection is closed.
package httpserver

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"

	"gentiankeel/internal/errkind"
)

// Defaults of Options.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxWriteBuffer = 8 << 20
	DefaultBodyTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultMaxInFlight    = 8192
	DefaultMaxConnections = 32768
	DefaultMaxPipelined   = 16
)

// Options configure a Server. Zero fields take the defaults above; Handler and Refuse are
// required.
type Options struct {
	Listen         string // IP:port; port 0 chooses a free port
	Handler        http.Handler
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxWriteBuffer int           // unsent bytes at which a slow caller is disconnected
	BodyTimeout    time.Duration // from the first to the last byte of a request
	IdleTimeout    time.Duration // of a connection between requests
	MaxInFlight    int           // requests running at once
	MaxConnections int
	MaxPipelined   int // requests queued behind the running one of a connection
	Pollers        int // I/O goroutines; 0: the library's default
	// Refuse returns the response to a request that does not reach the handler. It is called
	// once for each, with the kind TooLarge, SlowBody, BadRequest or Overloaded.
	Refuse func(kind errkind.Kind, detail string) Refusal
	// IsFatal reports whether a panic of a handler must end the process. If it is nil, none
	// does.
	IsFatal func(panicked any) bool
	Logger  *slog.Logger
}

// Refusal is a complete HTTP response to a request that was refused.
type Refusal struct {
	Status int
	Header http.Header
	Body   []byte
}

// Server is an HTTP/1.1 server. It can be started once.
type Server struct {
	opts      Options
	log       *slog.Logger
	engine    *nbhttp.Engine
	inFlight  atomic.Int64
	conns     sync.Map     // *nbio.Conn -> *conn
	busyConns atomic.Int64 // connections with a running request
	listener  *listener
	stopOnce  sync.Once // stopping the library's engine twice panics
}

// New returns a Server that is not listening yet.
func New(opts Options) (*Server, error) {
	if opts.Handler == nil || opts.Refuse == nil {
		return nil, errors.New("httpserver: Handler and Refuse are required")
	}
	opts = withDefaults(opts)
	s := &Server{opts: opts, log: opts.Logger.With("part", "http")}
	setLoggerOnce.Do(func() { logging.SetLogger(nbioLogger{s.log}) })
	s.engine = nbhttp.NewEngine(s.config())
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnData(s.onData)
	return s, nil
}

func withDefaults(o Options) Options {
	defaultInt(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	defaultInt(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	defaultInt(&o.MaxWriteBuffer, DefaultMaxWriteBuffer)
	defaultInt(&o.MaxInFlight, DefaultMaxInFlight)
	defaultInt(&o.MaxConnections, DefaultMaxConnections)
	defaultInt(&o.MaxPipelined, DefaultMaxPipelined)
	if o.BodyTimeout <= 0 {
		o.BodyTimeout = DefaultBodyTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return o
}

func defaultInt(v *int, defaultValue int) {
	if *v <= 0 {
		*v = defaultValue
	}
}

// noKeepaliveTime is longer than any connection lasts. The library sets the deadline of a
// new connection after a poller may have read a request from it, and would end that request;
// conn.closeTimer closes idle connections instead.
const noKeepaliveTime = 10 * 365 * 24 * time.Hour

func (s *Server) config() nbhttp.Config {
	return nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{s.opts.Listen},
		MaxLoad:            s.opts.MaxConnections,
		NPoller:            s.opts.Pollers,
		ReadLimit:          s.opts.MaxBodyBytes + s.opts.MaxHeaderBytes,
		MaxHTTPBodySize:    s.opts.MaxBodyBytes,
		MaxWriteBufferSize: s.opts.MaxWriteBuffer,
		KeepaliveTime:      noKeepaliveTime,
		SupportServerOnly:  true,
		Handler:            http.HandlerFunc(s.serve),
		OnRequest:          s.onRequest,
		ServerExecutor:     func(f func()) { go f() },
		Listen:             s.listen,
	}
}

// Start listens and serves in the background. It returns once the server is listening.
func (s *Server) Start() error {
	return errors.Wrap(s.engine.Start(), "starting the HTTP server")
}

func (s *Server) listen(network, address string) (net.Listener, error) {
	ln, err := net.Listen(network, address)
	if err != nil {
		return nil, errors.Wrapf(err, "listening on %s", address)
	}
	s.listener = &listener{Listener: ln, stopped: make(chan struct{}), closed: make(chan struct{})}
	return s.listener, nil
}

// Addr returns the address that the server listens on. It is valid after Start.
func (s *Server) Addr() string { return s.engine.AddrConfigs[0].Addr }

// InFlight returns the number of running requests.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown waits until no request is running or ctx ends, stops listening and closes all
// connections. It returns the error of ctx if requests were still running. Only the first
// call has an effect.
func (s *Server) Shutdown(ctx context.Context) error {
	var err error
	s.stopOnce.Do(func() { err = errors.Wrap(s.shutdown(ctx), "stopping the HTTP server") })
	return err
}

// shutdown keeps serving while requests run; the handler is expected to refuse new ones by
// then. A request that arrives on an idle connection while it is being closed gets no
// response, as with any server that closes idle connections.
func (s *Server) shutdown(ctx context.Context) error {
	waitErr := s.waitIdle(ctx)
	s.listener.stop()
	s.closeIdleConns()
	if waitErr == nil {
		waitErr = s.waitIdle(ctx)
	}
	if err := s.engine.Shutdown(ctx); err != nil && waitErr == nil {
		waitErr = err
	}
	return waitErr
}

// idlePollInterval is the time between two checks for running requests during shutdown.
const idlePollInterval = 2 * time.Millisecond

// waitIdle returns when no request is running, or with the error of ctx.
func (s *Server) waitIdle(ctx context.Context) error {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for s.busyConns.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeIdleConns closes the connections that neither run nor read a request.
func (s *Server) closeIdleConns() {
	s.conns.Range(func(_, v any) bool {
		v.(*conn).closeIfIdle()
		return true
	})
}

func (s *Server) onOpen(c net.Conn) {
	nc, ok := c.(*nbio.Conn)
	if !ok {
		return
	}
	s.conns.Store(nc, newConn(s, nc))
}

func (s *Server) onClose(c net.Conn, _ error) {
	v, ok := s.conns.LoadAndDelete(c)
	if !ok {
		return
	}
	v.(*conn).onClose()
}

// connOf returns the state of a connection; nil after the connection has ended.
func (s *Server) connOf(c net.Conn) *conn {
	if hc, ok := c.(*nbhttp.Conn); ok {
		c = hc.Conn
	}
	v, ok := s.conns.Load(c)
	if !ok {
		return nil
	}
	return v.(*conn)
}

// onData replaces the library's data handler, which closes the connection without a
// response if a request can't be parsed.
func (s *Server) onData(nc *nbio.Conn, data []byte) {
	c := s.connOf(nc)
	parser, ok := nc.Session().(nbhttp.ParserCloser)
	if c == nil || !ok {
		_ = nc.Close()
		return
	}
	if c.framingValidator.atRequestStart() {
		// Some clients send empty lines after a body, and the library's parser rejects them as a malformed request.
		data = bytes.TrimLeft(data, "\r\n")
	}
	if len(data) == 0 || !c.admitBytes(len(data)) {
		return
	}
	// No lock: only the poller's goroutine of this connection uses the validator.
	n, framingErr := c.framingValidator.validate(data)
	if err := parser.Parse(data[:n]); err != nil {
		c.refuseInvalid(err)
		return
	}
	if framingErr != nil {
		c.refuseInvalid(framingErr)
		return
	}
	c.onInputParsed(c.framingValidator.pending)
}

// onRequest runs on the poller when a request has been read completely. The library would
// queue the handler together with the connection's other events, and a disconnect would be
// handled only after the handler had returned. The handler is therefore run by
// conn.execute.
func (s *Server) onRequest(w http.ResponseWriter, _ *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c := s.connOf(res.Parser.Conn)
	if c == nil {
		return
	}
	c.onRequestRead()
	res.Parser.Execute = c.execute
}

// serve handles a request. It runs on the request's goroutine.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c := s.connOf(res.Parser.Conn)
	if c == nil {
		return // the caller has disconnected
	}
	out := &response{res: res, conn: c, isHead: r.Method == http.MethodHead}
	s.handle(out, c, r)
	out.finish() // not deferred: after a panic the response must stay without an end
}

// handle checks the limits of a request and calls the handler.
func (s *Server) handle(out *response, c *conn, r *http.Request) {
	if headerSize(r) > s.opts.MaxHeaderBytes {
		writeRefusal(out, s.opts.Refuse(errkind.TooLarge, "the header fields are too large"))
		return
	}
	if n := s.inFlight.Add(1); n > int64(s.opts.MaxInFlight) {
		s.inFlight.Add(-1)
		writeRefusal(out, s.opts.Refuse(errkind.Overloaded, "too many requests in progress"))
		return
	}
	defer s.inFlight.Add(-1)
	if r.Close {
		c.closeAfterRequest(out, r)
	}
	s.opts.Handler.ServeHTTP(out, r.WithContext(c.ctx))
}

// headerSize returns the size in bytes of the request target and the header fields.
func headerSize(r *http.Request) int {
	n := len(r.RequestURI)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

func writeRefusal(w http.ResponseWriter, refusal Refusal) {
	for k, vs := range refusal.Header {
		w.Header()[k] = vs
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(refusal.Body)))
	w.WriteHeader(refusal.Status)
	_, _ = w.Write(refusal.Body)
}
