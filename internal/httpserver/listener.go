package httpserver

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// listener can stop accepting before it is closed. The library's accept loop spins on
// a listener that only fails, so a stopped one blocks until it is closed.
type listener struct {
	net.Listener
	stopOnce  sync.Once
	closeOnce sync.Once
	stopped   chan struct{}
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return c, nil
	}
	select {
	case <-l.stopped:
		<-l.closed
	default:
	}
	return nil, errors.WithStack(err)
}

func (l *listener) stop() {
	l.stopOnce.Do(func() {
		close(l.stopped)
		_ = l.Listener.Close()
	})
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.stop()
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}
