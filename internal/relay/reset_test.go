package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

func reset(is *is.I, u *net.TCPConn) {
	is.NoErr(u.SetLinger(0))
	is.NoErr(u.Close())
}

func TestConn_ResetOfTheUpstream(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	read := startRead(c)
	reset(is, u)
	is.True(errors.Is(waitFor(t, read).err, syscall.ECONNRESET))
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// The kernel reports a reset to a write or to a read, whichever is first; the other sees an end.
func TestConn_ResetWhileTheClientSends(t *testing.T) {
	for range 20 {
		is := is.New(t)
		c, u := connect(t)
		read := startRead(c)
		writes := startEndlessWrite(c)
		_, err := io.ReadFull(u, make([]byte, 64<<10))
		is.NoErr(err)
		reset(is, u)
		is.True(errors.Is(waitFor(t, read).err, syscall.ECONNRESET))
		is.True(waitFor(t, writes).err != nil)
	}
}

func TestConn_ReceivedReset(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	reset(is, u)
	eventually(t, "the reset", func() bool { _, isClosed := received(c); return isClosed })
	_, err := c.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// gatedConn is a connection that is not read before its gate is open.
type gatedConn struct {
	*net.TCPConn
	gate        chan struct{}
	writeFailed chan error // of each failed write
}

func (c gatedConn) Read(p []byte) (int, error) {
	<-c.gate
	return c.TCPConn.Read(p)
}

func (c gatedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if err != nil {
		c.writeFailed <- err
	}
	return n, err
}

// The upstream ends the connection and then resets it because of what the client still sends, before the
// relay has read all bytes. They and the end come first, as on a direct connection.
func TestConn_ResetAfterTheFIN(t *testing.T) {
	is := is.New(t)
	gate, writeFailed := make(chan struct{}), make(chan error, 16)
	relayAddr, _, _ := startRelay(t, Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return gatedConn{c.(*net.TCPConn), gate, writeFailed}, nil
	}})
	c, u, _ := connectThrough(t, newDialer(t), relayAddr)
	const total = 20 << 10 // less than the kernel's buffers, so that the FIN arrives
	_, err := u.Write(make([]byte, total))
	is.NoErr(err)
	is.NoErr(u.Close())
	eventually(t, "a write that fails", func() bool {
		_, err := io.WriteString(c, "x")
		is.NoErr(err)
		time.Sleep(10 * time.Millisecond)
		return len(writeFailed) > 0
	})
	is.True(errors.Is(<-writeFailed, syscall.EPIPE))
	close(gate)
	is.NoErr(c.SetReadDeadline(time.Now().Add(patience)))
	n, err := io.Copy(io.Discard, c)
	is.NoErr(err)
	is.Equal(n, int64(total))
}

// Guards against a reset that looks like the end of a response behind the relay, whatever the client still sends.
func TestRandomResets_ReachTheClient(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	relayAddr, _, _ := startRelay(t, Options{})
	d := newDialer(t)
	upstreamAddr, conns := startUpstream(t)
	pause := func() { time.Sleep(time.Duration(rng.IntN(3)*rng.IntN(1000)) * time.Microsecond) }
	for _, size := range []int{1, 6 << 10, 64 << 10, 512 << 10, 8 << 20} {
		for round := range 200 {
			c, err := d.Dial(within(t), relayAddr, upstreamAddr)
			is.NoErr(err)
			u := <-conns
			go func() {
				for n := 0; n < size; n += maxDataBytes {
					if _, err := c.Write(make([]byte, min(size, maxDataBytes))); err != nil {
						return
					}
				}
			}()
			_, err = u.Read(make([]byte, 1))
			is.NoErr(err)
			_, err = io.WriteString(u, "a part")
			is.NoErr(err)
			pause()
			reset(is, u)
			pause()
			if _, err = io.Copy(io.Discard, c); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%d bytes sent, round %d: the read ended with %v", size, round, err)
			}
			c.Close()
		}
	}
}
