// Package httpserver runs an http.Handler on nbhttp. It adds what nbhttp leaves out:
// a request's context ends when its caller leaves, each request runs on a goroutine
// of its own under a bound, bodies are bounded in size and time, and what can't be
// parsed is answered before the connection is closed.
package httpserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
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
	DefaultMaxWriteBuffer = 8 << 20 // bytes a slow caller may leave unread
	DefaultBodyTimeout    = 10 * time.Second
	DefaultIdleTimeout    = 2 * time.Minute
	DefaultMaxInFlight    = 8192
	DefaultMaxConnections = 32768
	DefaultMaxPipelined   = 16
)

// Options configure a server; zero fields take the defaults.
type Options struct {
	Listen         string // IP:port; port 0 takes a free one
	Handler        http.Handler
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxWriteBuffer int           // unread bytes at which a slow caller is cut off
	BodyTimeout    time.Duration // from a request's first byte to its last
	IdleTimeout    time.Duration // of a connection between requests
	MaxInFlight    int           // requests that run at once
	MaxConnections int
	MaxPipelined   int // requests that wait behind the running one of a connection
	Pollers        int // I/O goroutines; 0 lets the library choose
	// Refuse builds the answer to a request that never reaches the handler; it is
	// called once for each. Kinds: TooLarge, SlowBody, BadRequest, Overloaded.
	Refuse func(kind errkind.Kind, detail string) Refusal
	// Fatal tells whether a handler's panic must end the process; may be nil.
	Fatal  func(panicked any) bool
	Logger *slog.Logger
}

// Refusal is a whole answer.
type Refusal struct {
	Status int
	Header http.Header
	Body   []byte
}

// Server is an HTTP/1.1 server. Start it once.
type Server struct {
	opts     Options
	log      *slog.Logger
	engine   *nbhttp.Engine
	inFlight atomic.Int64
	conns    sync.Map     // *nbio.Conn -> *conn
	running  atomic.Int64 // connections that run requests
	listener *listener
	stop     sync.Once // the library panics when it is stopped twice
}

// New returns a server that does not listen yet.
func New(opts Options) (*Server, error) {
	if opts.Handler == nil || opts.Refuse == nil {
		return nil, errors.New("httpserver: Handler and Refuse are needed")
	}
	opts = withDefaults(opts)
	s := &Server{opts: opts, log: opts.Logger.With("part", "http")}
	logOnce.Do(func() { logging.SetLogger(libraryLog{s.log}) })
	s.engine = nbhttp.NewEngine(s.config())
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	s.engine.OnData(s.onData)
	return s, nil
}

func withDefaults(o Options) Options {
	setInt(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setInt(&o.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setInt(&o.MaxWriteBuffer, DefaultMaxWriteBuffer)
	setInt(&o.MaxInFlight, DefaultMaxInFlight)
	setInt(&o.MaxConnections, DefaultMaxConnections)
	setInt(&o.MaxPipelined, DefaultMaxPipelined)
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

func setInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func (s *Server) config() nbhttp.Config {
	return nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{s.opts.Listen},
		MaxLoad:            s.opts.MaxConnections,
		NPoller:            s.opts.Pollers,
		ReadLimit:          s.opts.MaxBodyBytes + s.opts.MaxHeaderBytes,
		MaxHTTPBodySize:    s.opts.MaxBodyBytes,
		MaxWriteBufferSize: s.opts.MaxWriteBuffer,
		KeepaliveTime:      s.opts.IdleTimeout,
		SupportServerOnly:  true,
		Handler:            http.HandlerFunc(s.serve),
		OnRequest:          s.onRequest,
		ServerExecutor:     func(f func()) { go f() },
		Listen:             s.listen,
	}
}

// Start listens and serves in the background.
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

// Addr returns the address listened on, known after Start.
func (s *Server) Addr() string { return s.engine.AddrConfigs[0].Addr }

// InFlight returns the number of requests that run now.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Shutdown stops listening, waits until no request runs or ctx ends, then closes all
// connections. Only the first call does anything.
func (s *Server) Shutdown(ctx context.Context) error {
	var err error
	s.stop.Do(func() { err = errors.Wrap(s.shutdown(ctx), "stopping the HTTP server") })
	return err
}

// shutdown goes on answering while requests run: the handler is expected to refuse new
// ones by then. A request that comes on a kept connection in the last moment meets a
// closed connection, as with any server that closes an idle one.
func (s *Server) shutdown(ctx context.Context) error {
	waited := s.idle(ctx)
	s.listener.stop()
	s.closeIdle()
	if waited == nil {
		waited = s.idle(ctx)
	}
	if err := s.engine.Shutdown(ctx); err != nil && waited == nil {
		waited = err
	}
	return waited
}

const idlePoll = 2 * time.Millisecond

// idle returns when no request runs.
func (s *Server) idle(ctx context.Context) error {
	tick := time.NewTicker(idlePoll)
	defer tick.Stop()
	for s.running.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// closeIdle closes the connections on which nothing goes on.
func (s *Server) closeIdle() {
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
	v.(*conn).closed()
}

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

// onData replaces the library's data handler, which closes the connection without an
// answer when a request can't be parsed.
func (s *Server) onData(nc *nbio.Conn, data []byte) {
	c := s.connOf(nc)
	parser, ok := nc.Session().(nbhttp.ParserCloser)
	if c == nil || !ok {
		_ = nc.Close()
		return
	}
	data = c.leading(data)
	if len(data) == 0 || !c.reading(len(data)) {
		return
	}
	// The poller owns the connection's guard: only this goroutine reads from it.
	n, framed := c.guard.check(data)
	if err := parser.Parse(data[:n]); err != nil {
		c.refuseUnparsed(err)
		return
	}
	if framed != nil {
		c.refuseUnparsed(framed)
	}
}

// onRequest runs on the poller when a request has been read whole. The library would
// queue the handler with the connection's own jobs, and the close of the connection
// is one of them: it would be seen only after the handler. The connection's own queue
// takes the handler instead.
func (s *Server) onRequest(w http.ResponseWriter, _ *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c := s.connOf(res.Parser.Conn)
	if c == nil {
		return
	}
	c.requestRead()
	res.Parser.Execute = c.execute
}

// serve runs on the request's goroutine.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	c := s.connOf(res.Parser.Conn)
	if c == nil {
		return // the caller has left
	}
	if headerBytes(r) > s.opts.MaxHeaderBytes {
		write(w, s.opts.Refuse(errkind.TooLarge, "the header fields are too large"))
		return
	}
	if n := s.inFlight.Add(1); n > int64(s.opts.MaxInFlight) {
		s.inFlight.Add(-1)
		write(w, s.opts.Refuse(errkind.Overloaded, "too many requests in progress"))
		return
	}
	defer s.inFlight.Add(-1)
	if r.Close {
		c.endAfter(w, r)
	}
	s.opts.Handler.ServeHTTP(&response{res: res, conn: c}, r.WithContext(c.ctx))
}

func headerBytes(r *http.Request) int {
	n := len(r.RequestURI)
	for k, vs := range r.Header {
		for _, v := range vs {
			n += len(k) + len(v)
		}
	}
	return n
}

func write(w http.ResponseWriter, f Refusal) {
	for k, vs := range f.Header {
		w.Header()[k] = vs
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write(f.Body)
}
