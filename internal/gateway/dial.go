package gateway

import (
	"context"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"

	"gentiankeel/internal/detour"
	"gentiankeel/internal/upclient"
	"gentiankeel/internal/wire"
)

// newDialer returns the dialer of connections to upstreams, from the source address if it is not empty.
func newDialer(source string) (*net.Dialer, error) {
	d := upclient.NewDialer()
	if source == "" {
		return d, nil
	}
	ip := net.ParseIP(source)
	if ip == nil {
		return nil, errors.Errorf("gateway: the source address %q of connections to upstreams is not an IP address", source)
	}
	d.LocalAddr = &net.TCPAddr{IP: ip}
	return d, nil
}

// newDetour returns the dialer of connections to upstreams that goes through other entries where there is no
// direct path.
func (s *Server) newDetour() (*detour.Dialer, error) {
	direct, err := newDialer(s.o.UpstreamSource)
	if err != nil {
		return nil, err
	}
	return detour.NewDialer(detour.Options{
		Direct:      func(ctx context.Context, addr string) (net.Conn, error) { return direct.DialContext(ctx, "tcp", addr) },
		Relay:       s.o.DialRelay,
		PathChanged: s.pathChanged,
		Done:        s.countConnection,
		Logger:      s.log,
	}), nil
}

// DialUpstream opens a connection to an upstream for another entry, without a relay. An entry that has no path
// itself fails at once.
func (s *Server) DialUpstream(ctx context.Context, addr string) (net.Conn, error) {
	if s.pathState() == wire.PathState_PATH_NONE {
		return nil, errors.New("this entry has no path to upstreams itself, or drains")
	}
	ctx, cancel := context.WithTimeout(ctx, detour.DirectTimeout)
	defer cancel()
	return s.detour.DialDirect(ctx, addr)
}

// countConnection counts the end of a try to connect to an upstream.
func (s *Server) countConnection(relay string, err error) {
	way := "direct"
	if relay != "" {
		way = "relay"
	}
	s.m.connections.WithLabelValues(way, dialResult(err)).Inc()
}

// pathChanged drops the idle connections of a path that is lost, and lets the coordinator know.
func (s *Server) pathChanged(withoutPath bool) {
	if withoutPath {
		s.pool.CloseIdle()
	}
	s.pathUnreported.Store(true)
	s.signalReport()
}

// takePath returns the state of the path if it has changed since the last report.
func (s *Server) takePath() wire.PathState {
	if !s.pathUnreported.Swap(false) {
		return wire.PathState_PATH_UNCHANGED
	}
	return s.pathState()
}

// pathState returns whether other entries may connect to upstreams through this one.
func (s *Server) pathState() wire.PathState {
	if s.detour.WithoutPath() || s.draining.Load() {
		return wire.PathState_PATH_NONE
	}
	return wire.PathState_PATH_DIRECT
}

// dialResult names the result of a dial in metrics.
func dialResult(err error) string {
	switch {
	case err == nil:
		return "open"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "refused"
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	}
	return "failed"
}
