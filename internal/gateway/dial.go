package gateway

import (
	"context"
	"net"
	"os"
	"syscall"

	"github.com/pkg/errors"

	"gentiankeel/internal/upclient"
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

// dialUpstream opens a connection to an upstream and counts the result.
func (s *Server) dialUpstream(ctx context.Context, addr string) (net.Conn, error) {
	c, err := s.dialer.DialContext(ctx, "tcp", addr)
	s.m.connections.WithLabelValues(dialResult(err)).Inc()
	return c, err
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
