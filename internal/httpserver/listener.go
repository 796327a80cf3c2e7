package httpserver

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// listener is a net.Listener that can stop accepting before it is closed. The library's
// accept loop would spin if Accept kept failing, so after stop Accept blocks until Close.
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

// stop closes the socket, so that no more connections are accepted.
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
