package relay

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/pause"
	"gentiankeel/internal/wire"
)

// DefaultMaxConnections is the default of Options.MaxConnections.
const DefaultMaxConnections = 4096

// idlePollInterval is the time between two checks of AwaitIdle.
const idlePollInterval = 20 * time.Millisecond

// minReadBytes is the free space of a buffer below which the next read gets a new one.
const minReadBytes = 2 << 10

// Options configure a Server; Dial is required.
type Options struct {
	// Dial opens a TCP connection to an upstream. It must not dial through another relay, since relays
	// could form a loop. It bounds its own time, to less than clients wait, so that they are told of it.
	Dial           func(ctx context.Context, address string) (net.Conn, error)
	MaxConnections int                   // open or being opened at once; 0: DefaultMaxConnections
	Logger         *slog.Logger          // nil: nothing is logged
	Registerer     prometheus.Registerer // nil: the metrics are not registered
}

// Server opens connections to upstreams for other entries.
type Server struct {
	wire.UnimplementedRelayServer
	opts  Options
	log   *slog.Logger
	open  prometheus.Gauge
	total *prometheus.CounterVec

	mu    sync.Mutex
	count int // connections open or being opened
}

// Results of gentiankeel_relay_connections_total.
const (
	resultOpened         = "opened"
	resultRefused        = "refused"
	resultNoPath         = "no_path"
	resultNoRoom         = "no_room"
	resultInvalidAddress = "invalid_address"
	resultCanceled       = "canceled"
)

// New returns a Server. It fails if the metrics can't be registered.
func New(o Options) (*Server, error) {
	if o.MaxConnections <= 0 {
		o.MaxConnections = DefaultMaxConnections
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	s := &Server{
		opts: o,
		log:  o.Logger.With("part", "relay"),
		open: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "gentiankeel_relay_connections",
			Help: "Connections to upstreams for other entries that are open or being opened.",
		}),
		total: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentiankeel_relay_connections_total",
			Help: "Connections to upstreams that other entries asked for, by result.",
		}, []string{"result"}),
	}
	for _, r := range []string{resultOpened, resultRefused, resultNoPath, resultNoRoom, resultInvalidAddress, resultCanceled} {
		s.total.WithLabelValues(r)
	}
	if o.Registerer == nil {
		return s, nil
	}
	for _, c := range []prometheus.Collector{s.open, s.total} {
		if err := o.Registerer.Register(c); err != nil {
			return nil, errors.Wrap(err, "registering the metrics of the relay")
		}
	}
	return s, nil
}

// Register registers the service on a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) { wire.RegisterRelayServer(r, s) }

// Connect relays one connection. The upstream's FIN ends both directions, once all its bytes are sent:
// the status of a stream is the only mark of its end that a server has, and an HTTP/1.1 client sends
// nothing on a connection that its peer has closed. The client's half-close is passed on and leaves the
// direction from the upstream open.
func (s *Server) Connect(stream wire.Relay_ConnectServer) error {
	if !s.acquire() {
		s.total.WithLabelValues(resultNoRoom).Inc()
		return status.Errorf(codeNoRoom, "relay has %d connections", s.opts.MaxConnections)
	}
	defer s.release()
	ctx := stream.Context()
	first, err := stream.Recv()
	if err != nil {
		s.total.WithLabelValues(resultCanceled).Inc()
		return status.Error(codes.Canceled, "connection closed before its address was received")
	}
	// Headers tell the client that the relay runs, while the upstream may not answer.
	if err := stream.SendHeader(nil); err != nil {
		return err
	}
	upstream, err := s.dial(ctx, first.Address)
	if err != nil {
		return err
	}
	p := &pipe{stream: stream, upstream: upstream}
	defer upstream.Close()
	// The end of the stream must also end a write to an upstream that does not read.
	defer context.AfterFunc(ctx, func() { upstream.Close() })()
	if err := stream.Send(&wire.RelayData{}); err != nil {
		return err
	}
	go p.sendToUpstream(first.Data)
	err = p.sendToClient()
	if ctx.Err() != nil {
		return status.FromContextError(ctx.Err()).Err()
	}
	return err
}

// AwaitIdle waits until no connection is open, or until ctx ends.
func (s *Server) AwaitIdle(ctx context.Context) {
	for s.connections() > 0 {
		if pause.For(ctx, idlePollInterval) != nil {
			return
		}
	}
}

func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// acquire counts a connection, unless there are too many.
func (s *Server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count >= s.opts.MaxConnections {
		return false
	}
	s.count++
	s.open.Inc()
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count--
	s.open.Dec()
}

// dial opens the connection to the upstream, or returns the error status for the client.
func (s *Server) dial(ctx context.Context, address string) (net.Conn, error) {
	if a, err := netip.ParseAddrPort(address); err != nil || a.Port() == 0 {
		s.total.WithLabelValues(resultInvalidAddress).Inc()
		return nil, status.Errorf(codeInvalidAddress, "upstream address %q is not IP:PORT", address)
	}
	upstream, err := s.opts.Dial(ctx, address)
	if err == nil {
		s.total.WithLabelValues(resultOpened).Inc()
		return upstream, nil
	}
	if ctx.Err() != nil {
		s.total.WithLabelValues(resultCanceled).Inc()
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	code := dialCode(err)
	result := resultNoPath
	switch code {
	case codeRefused:
		result = resultRefused
	case codeNoRoom:
		result = resultNoRoom
	}
	s.total.WithLabelValues(result).Inc()
	s.log.Debug("Upstream not reached for another entry.", "address", address, "error", err)
	return nil, status.Error(code, err.Error())
}

// pipe passes the bytes of a stream and of a connection to an upstream to each other.
type pipe struct {
	stream   wire.Relay_ConnectServer
	upstream net.Conn

	writing  sync.Mutex // held during a write to the upstream
	writeErr error      // of the first failed write; guarded by writing
}

// sendToClient passes on what the upstream sends, until its end. The result is the status of the stream.
func (p *pipe) sendToClient() error {
	var buf []byte
	for {
		// gRPC may use a sent message later, so that its bytes are not overwritten.
		if len(buf) < minReadBytes {
			buf = make([]byte, maxDataBytes)
		}
		n, err := p.upstream.Read(buf)
		if n > 0 {
			if err := p.stream.Send(&wire.RelayData{Data: buf[:n:n]}); err != nil {
				return err
			}
			buf = buf[n:]
		}
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return status.Error(codeReset, err.Error())
		default:
			return p.endStatus()
		}
	}
}

// endStatus returns the status after the upstream's connection has ended. If a write meets a reset, the
// kernel gives the error to the write alone, and a later read returns an end like that of a FIN. A write
// after a FIN fails with EPIPE instead.
func (p *pipe) endStatus() error {
	_ = p.upstream.SetWriteDeadline(time.Unix(1, 0)) // ends a blocked write
	p.writing.Lock()
	defer p.writing.Unlock()
	if err := p.writeErr; err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return status.Error(codeReset, err.Error())
	}
	return nil
}

// sendToUpstream passes on data and then what the client sends, until the client's end or an error. It
// returns after Connect at the latest, which ends the stream. Errors are left to sendToClient.
func (p *pipe) sendToUpstream(data []byte) {
	for {
		if len(data) > 0 && !p.write(data) {
			return
		}
		req, err := p.stream.Recv()
		if errors.Is(err, io.EOF) {
			if c, ok := p.upstream.(interface{ CloseWrite() error }); ok {
				_ = c.CloseWrite()
			}
			return
		}
		if err != nil {
			return
		}
		data = req.Data
	}
}

// write reports whether the data was written.
func (p *pipe) write(data []byte) bool {
	p.writing.Lock()
	defer p.writing.Unlock()
	_, err := p.upstream.Write(data)
	if err != nil && p.writeErr == nil {
		p.writeErr = err
	}
	return err == nil
}
