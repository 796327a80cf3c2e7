package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentiankeel/internal/wire"
)

// maxUnreadMessages is the maximum number of messages that a connection holds before they are read. A
// stream is not received from meanwhile, so that its flow control slows the upstream down.
const maxUnreadMessages = 4

// conn is a connection to an upstream through a relay.
type conn struct {
	stream        wire.Relay_ConnectClient
	cancel        context.CancelFunc // ends the stream
	local, remote net.Addr

	messages chan []byte   // received data; closed at the end of the stream
	endErr   error         // of reads once messages is closed and empty
	ended    chan struct{} // closed after messages
	closed   chan struct{} // closed by Close
	close    sync.Once

	reading      sync.Mutex // held during a Read
	readDeadline *deadline

	writing       sync.Mutex // held during a Write
	writeDeadline *deadline
	isWriteEnded  bool // by CloseWrite; guarded by writing

	mu     sync.Mutex
	unread []byte // rest of the message that was read last
}

func newConn(stream wire.Relay_ConnectClient, cancel context.CancelFunc, relayAddr string, upstream net.Addr) *conn {
	return &conn{
		stream:   stream,
		cancel:   cancel,
		local:    localAddr("relay " + relayAddr),
		remote:   upstream,
		messages: make(chan []byte, maxUnreadMessages-1), // receive holds one more
		ended:    make(chan struct{}),
		closed:   make(chan struct{}),
		// A write that waits for the flow control can be ended only together with its stream.
		writeDeadline: newDeadline(cancel),
		readDeadline:  newDeadline(nil),
	}
}

// localAddr is the local address of a connection; it names the relay.
type localAddr string

func (a localAddr) Network() string { return "tcp" }
func (a localAddr) String() string  { return string(a) }

// receive takes in data until the stream ends or the connection is closed.
func (c *conn) receive() {
	err := c.receiveData()
	c.endErr = c.readError(err)
	close(c.messages)
	close(c.ended)
	c.cancel()
}

func (c *conn) receiveData() error {
	for {
		m, err := c.stream.Recv()
		if err != nil {
			return err
		}
		if len(m.Data) == 0 {
			continue
		}
		select {
		case c.messages <- m.Data:
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// readError returns the error of reads for the error of the stream.
func (c *conn) readError(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case errors.Is(err, net.ErrClosed) || c.stream.Context().Err() != nil && status.Code(err) == codes.Canceled:
		return c.opError("read", net.ErrClosed)
	case status.Code(err) == codeReset:
		return c.opError("read", os.NewSyscallError("read", syscall.ECONNRESET))
	default:
		return c.opError("read", &kindError{kind: ErrRelayUnavailable, cause: err})
	}
}

func (c *conn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Read reads data of at most one message.
func (c *conn) Read(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	passed := c.readDeadline.wait()
	switch {
	case isDone(c.closed):
		return 0, c.opError("read", net.ErrClosed)
	case isDone(passed):
		return 0, c.opError("read", os.ErrDeadlineExceeded)
	case len(p) == 0:
		return 0, nil
	}
	if n := c.readRest(p); n > 0 {
		return n, nil
	}
	select {
	case data, ok := <-c.messages:
		if !ok {
			return 0, c.endErr
		}
		n := copy(p, data)
		if n < len(data) {
			c.mu.Lock()
			c.unread = data[n:]
			c.mu.Unlock()
		}
		return n, nil
	case <-c.closed:
		return 0, c.opError("read", net.ErrClosed)
	case <-passed:
		return 0, c.opError("read", os.ErrDeadlineExceeded)
	}
}

// readRest reads from the message that was read in part.
func (c *conn) readRest(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	if len(c.unread) == 0 {
		c.unread = nil
	}
	return n
}

// Received reports, without blocking, whether bytes have arrived that were not read yet, and whether the
// connection has ended, by the upstream's FIN or an error, or was closed. An end that waits behind bytes
// may not be seen.
func (c *conn) Received() (hasBytes, isClosed bool) {
	c.mu.Lock()
	hasBytes = len(c.unread) > 0
	c.mu.Unlock()
	isClosed = isDone(c.ended) || isDone(c.closed)
	return hasBytes || len(c.messages) > 0, isClosed
}

// Write hands p over to the stream; it blocks while the relay takes no more. If the deadline passes
// meanwhile, the whole connection is broken off: some of p may reach the upstream or not.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case isDone(c.closed):
		return 0, c.opError("write", net.ErrClosed)
	case c.isWriteEnded:
		return 0, c.opError("write", os.NewSyscallError("write", syscall.EPIPE))
	case !c.writeDeadline.begin():
		return 0, c.opError("write", os.ErrDeadlineExceeded)
	}
	n, err := c.send(p)
	switch interrupted := c.writeDeadline.end(); {
	case err == nil && !interrupted:
		return n, nil
	case isDone(c.closed):
		return n, c.opError("write", net.ErrClosed)
	case interrupted:
		return n, c.opError("write", os.ErrDeadlineExceeded)
	default:
		return n, c.opError("write", c.writeError())
	}
}

func (c *conn) send(p []byte) (int, error) {
	n := 0
	for n < len(p) {
		piece := p[n:min(len(p), n+maxDataBytes)]
		// gRPC may use a sent message later, while p is the caller's again.
		if err := c.stream.Send(&wire.RelayData{Data: bytes.Clone(piece)}); err != nil {
			return n, err
		}
		n += len(piece)
	}
	return n, nil
}

// writeError returns the error of a write to a stream that has ended. The stream's own error is known
// only once all its data is received.
func (c *conn) writeError() error {
	if isDone(c.ended) {
		var op *net.OpError
		if errors.As(c.endErr, &op) {
			return op.Err
		}
	}
	return os.NewSyscallError("write", syscall.EPIPE)
}

// CloseWrite passes a FIN on to the upstream, after all bytes. Reads go on.
func (c *conn) CloseWrite() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if isDone(c.closed) {
		return c.opError("close", net.ErrClosed)
	}
	c.isWriteEnded = true
	return c.stream.CloseSend()
}

// Close closes the connection to the upstream at once and ends reads and writes. Bytes that were written
// just before may be lost.
func (c *conn) Close() error {
	err := c.opError("close", net.ErrClosed)
	c.close.Do(func() {
		err = nil
		close(c.closed)
		c.cancel()
		c.readDeadline.stop()
		c.writeDeadline.stop()
	})
	return err
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error  { return c.setDeadline(c.readDeadline, t) }
func (c *conn) SetWriteDeadline(t time.Time) error { return c.setDeadline(c.writeDeadline, t) }

func (c *conn) setDeadline(d *deadline, t time.Time) error {
	if isDone(c.closed) {
		return c.opError("set", net.ErrClosed)
	}
	d.set(t)
	return nil
}

func isDone(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
