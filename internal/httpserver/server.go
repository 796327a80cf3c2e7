// Package httpserver runs an http.Handler on nbhttp and adds what nbhttp lacks: a
// request's context is cancelled when its caller disconnects, each request runs on a
// goroutine of its own and their number is limited, bodies are limited in size and time,
// and requests that can't be parsed get a response before the connection is closed.
package httpserver

import (
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
	DefaultHeaderTimeout  = 10 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
)

// Options configure a Server. Zero fields take the defaults above; Handler and Refuse are
// required.
type Options struct {
	Listen         string // IP:port; port 0 chooses a free port
	Handler        http.Handler
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxWriteBuffer int           // unsent bytes at which a slow caller is disconnected
	HeaderTimeout  time.Duration // from the first to the last byte of a request's header
	BodyTimeout    time.Duration // from the first to the last byte of a request
	WriteTimeout   time.Duration // in which a caller takes no byte of its response
	IdleTimeout    time.Duration // of a connection between requests
	MaxInFlight    int           // requests running at once
	MaxConnections int
	MaxPipelined   int // requests queued behind the running one of a connection
	// MaxLargeInFlight bounds the running requests with bodies above smallBytes; further ones wait. 0: no
	// bound. It is for handlers that decode bodies into several times their size.
	MaxLargeInFlight int
	Pollers          int // I/O goroutines; 0: the library's default
	// Budget is shared by the servers of a process; nil: one of DefaultBudgetBytes.
	Budget *Budget
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
	opts        Options
	log         *slog.Logger
	engine      *nbhttp.Engine
	inFlight    atomic.Int64
	conns       sync.Map // *nbio.Conn -> *conn
	limits      atomic.Pointer[Limits]
	budget      *Budget
	large       chan struct{} // has an element for each running request with a large body; nil: no bound
	busyConns   atomic.Int64  // connections with a running request
	unsentConns atomic.Int64  // connections with unsent bytes
	openConns   atomic.Int64
	listener    *listener
	stopOnce    sync.Once // stopping the library's engine twice panics
}

// Limits are the limits of callers' requests and connections that can be changed while the server runs.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// SetLimits replaces the limits. Zero fields take the values of the Options, and no body may be larger
// than these allow. Requests that are being read keep their limits.
func (s *Server) SetLimits(l Limits) {
	defaultInt(&l.MaxBodyBytes, s.opts.MaxBodyBytes)
	l.MaxBodyBytes = min(l.MaxBodyBytes, s.opts.MaxBodyBytes)
	defaultInt(&l.MaxHeaderBytes, s.opts.MaxHeaderBytes)
	defaultDuration(&l.HeaderTimeout, s.opts.HeaderTimeout)
	defaultDuration(&l.IdleTimeout, s.opts.IdleTimeout)
	s.limits.Store(&l)
}

// New returns a Server that is not listening yet.
func New(opts Options) (*Server, error) {
	if opts.Handler == nil || opts.Refuse == nil {
		return nil, errors.New("httpserver: Handler and Refuse are required")
	}
	opts = withDefaults(opts)
	s := &Server{opts: opts, log: opts.Logger.With("part", "http"), budget: opts.Budget}
	if s.budget == nil {
		var err error
		if s.budget, err = NewBudget(0, nil, opts.Logger); err != nil {
			return nil, err
		}
	}
	s.budget.register(s)
	if opts.MaxLargeInFlight > 0 {
		s.large = make(chan struct{}, opts.MaxLargeInFlight)
	}
	s.SetLimits(Limits{})
	setLoggerOnce.Do(func() { logging.SetLogger(nbioLogger{s.log}) })
	s.engine = nbhttp.NewEngine(s.config())
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnRead(s.onRead)
	s.engine.OnWrittenSize(s.onWritten)
	return s, nil
}

func withDefaults(o Options) Options {
	defaultInt(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	defaultInt(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	defaultInt(&o.MaxWriteBuffer, DefaultMaxWriteBuffer)
	defaultInt(&o.MaxInFlight, DefaultMaxInFlight)
	defaultInt(&o.MaxConnections, DefaultMaxConnections)
	defaultInt(&o.MaxPipelined, DefaultMaxPipelined)
	defaultDuration(&o.HeaderTimeout, DefaultHeaderTimeout)
	defaultDuration(&o.BodyTimeout, DefaultBodyTimeout)
	defaultDuration(&o.WriteTimeout, DefaultWriteTimeout)
	defaultDuration(&o.IdleTimeout, DefaultIdleTimeout)
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

func defaultDuration(v *time.Duration, defaultValue time.Duration) {
	if *v <= 0 {
		*v = defaultValue
	}
}

// noKeepaliveTime is longer than any connection lasts. The library sets the deadline of a
// new connection after a poller may have read a request from it, and would end that request;
// conn.closeTimer closes idle connections instead.
const noKeepaliveTime = 10 * 365 * 24 * time.Hour

// maxLibraryConns is a number of connections that is not reached.
const maxLibraryConns = 1 << 30

func (s *Server) config() nbhttp.Config {
	return nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{s.opts.Listen},
		MaxLoad:            maxLibraryConns, // the listener bounds the connections
		NPoller:            s.opts.Pollers,
		ReadBufferSize:     readBytes,
		EpollMod:           nbio.EPOLLET,
		MaxWriteBufferSize: 2 * s.opts.MaxWriteBuffer, // conn.write bounds the queue
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
	s.listener = &listener{Listener: ln, stopped: make(chan struct{}), closed: make(chan struct{}), admits: s.admitsConn,
		failed: func() { s.budget.hit(LimitDescriptors) }}
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

// waitIdle returns when no request is running and all responses were taken, or with the error of ctx.
func (s *Server) waitIdle(ctx context.Context) error {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	swept := time.Now()
	for s.busyConns.Load() > 0 || s.unsentConns.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if time.Since(swept) >= writeCheckInterval {
			s.closeStalledConns()
			swept = time.Now()
		}
	}
	return nil
}

// closeStalledConns closes the connections whose callers don't read their responses.
func (s *Server) closeStalledConns() {
	s.conns.Range(func(_, v any) bool {
		if c := v.(*conn); c.isWriteStalled() {
			s.budget.hit(LimitWriteTime)
			c.closeNow()
		}
		return true
	})
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
	s.openConns.Add(1)
	s.conns.Store(nc, newConn(s, nc))
}

func (s *Server) onClose(c net.Conn, _ error) {
	v, ok := s.conns.LoadAndDelete(c)
	if !ok {
		return
	}
	s.openConns.Add(-1)
	v.(*conn).onClose()
}

// connOf returns the state of a connection; nil after the connection has ended.
func (s *Server) connOf(nc *nbio.Conn) *conn {
	v, ok := s.conns.Load(nc)
	if !ok {
		return nil
	}
	return v.(*conn)
}

// callerOf returns the state of the connection of a response.
func callerOf(res *nbhttp.Response) *conn {
	w, ok := res.Parser.Conn.(*callerConn)
	if !ok {
		return nil
	}
	return w.c
}

// onRead replaces the library's reading, which never pauses and closes the connection without a
// response if a request can't be parsed.
func (s *Server) onRead(nc *nbio.Conn) {
	c := s.connOf(nc)
	if c == nil {
		_ = nc.Close()
		return
	}
	c.onReadable(s.engine.PollerBuffer(nc))
}

func (s *Server) onWritten(nc *nbio.Conn, _ []byte, n int) {
	if c := s.connOf(nc); c != nil {
		c.onWritten(n)
	}
}

// onRequest runs when a request has been read completely. The library would
// queue the handler together with the connection's other events, and a disconnect would be
// handled only after the handler had returned. The handler is therefore run by
// conn.execute.
func (s *Server) onRequest(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c := callerOf(res)
	if c == nil {
		return
	}
	c.completeRequest(r)
	res.Parser.Execute = c.execute
}

// completeRequest adds the body and the field that framed it, which the library's parser did not get.
func (c *conn) completeRequest(r *http.Request) {
	f := c.nextFraming
	switch {
	case f.chunked:
		r.Header["Transfer-Encoding"] = []string{f.value}
		r.TransferEncoding = r.Header["Transfer-Encoding"]
	case f.length > 0:
		r.Header["Content-Length"] = []string{f.value}
		r.ContentLength = f.length
	default:
		return
	}
	b := &body{data: c.nextBody}
	b.Reset(c.nextBody)
	r.Body = b
	c.nextBody = nil
}

// serve handles a request. It runs on the request's goroutine.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c := callerOf(res)
	if c == nil {
		return
	}
	out := &response{res: res, conn: c, isHead: r.Method == http.MethodHead, isHTTP10: !r.ProtoAtLeast(1, 1)}
	s.handle(out, c, r)
	out.finish() // not deferred: after a panic the response must stay without an end
}

// handle checks the limits of a request and calls the handler.
func (s *Server) handle(out *response, c *conn, r *http.Request) {
	if headerSize(r) > s.limits.Load().MaxHeaderBytes {
		s.budget.hit(LimitHeaderBytes)
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
	if s.large != nil && isLarge(r) {
		select {
		case s.large <- struct{}{}:
			defer func() { <-s.large }()
		case <-c.ctx.Done():
			return
		}
	}
	s.opts.Handler.ServeHTTP(out, r.WithContext(c.ctx))
}

// isLarge reports whether the body of a request is large.
func isLarge(r *http.Request) bool {
	b, ok := r.Body.(*body)
	return ok && len(b.data) > smallBytes
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
