package relay

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"google.golang.org/grpc"
)

type counter struct{ atomic.Int64 }

// countingConn counts the bytes written.
type countingConn struct {
	net.Conn
	sent *counter
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// sendRandom writes total bytes in pieces of random sizes and returns their digest.
func sendRandom(w io.Writer, seed uint64, total int) ([]byte, error) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	digest := sha256.New()
	for sent := 0; sent < total; {
		size := 1 + rnd.IntN(400)
		if rnd.IntN(20) == 0 {
			size = 1 + rnd.IntN(3*maxDataBytes)
		}
		piece := make([]byte, min(size, total-sent))
		for i := range piece {
			piece[i] = byte(rnd.Uint32())
		}
		digest.Write(piece)
		if _, err := w.Write(piece); err != nil {
			return nil, err
		}
		clear(piece) // it belongs to the caller again
		sent += len(piece)
	}
	return digest.Sum(nil), nil
}

// receiveRandom reads total bytes with buffers of random sizes and returns their digest.
func receiveRandom(r io.Reader, seed uint64, total int) ([]byte, error) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	digest := sha256.New()
	for got := 0; got < total; {
		buf := make([]byte, 1+rnd.IntN(2*maxDataBytes))
		n, err := r.Read(buf)
		digest.Write(buf[:n])
		got += n
		if err != nil {
			return nil, err
		}
	}
	return digest.Sum(nil), nil
}

func TestConn_RandomBytesBothWays(t *testing.T) {
	const total = 1 << 20
	for seed := uint64(1); seed <= 4; seed++ {
		is := is.New(t)
		c, u := connect(t)
		is.NoErr(c.SetDeadline(time.Now().Add(patience)))
		type digest struct {
			sum []byte
			err error
		}
		start := func(f func() ([]byte, error)) <-chan digest {
			out := make(chan digest, 1)
			go func() {
				sum, err := f()
				out <- digest{sum, err}
			}()
			return out
		}
		for _, p := range []struct{ from, to net.Conn }{{c, u}, {u, c}} {
			sent := start(func() ([]byte, error) { return sendRandom(p.from, seed, total) })
			received := start(func() ([]byte, error) { return receiveRandom(p.to, seed, total) })
			// The other direction carries bytes at the same time.
			back := start(func() ([]byte, error) { return sendRandom(p.to, seed+100, total) })
			backReceived := start(func() ([]byte, error) { return receiveRandom(p.from, seed, total) })
			s, r, b, br := <-sent, <-received, <-back, <-backReceived
			for _, d := range []digest{s, r, b, br} {
				is.NoErr(d.err)
			}
			is.Equal(s.sum, r.sum)
			is.Equal(b.sum, br.sum)
		}
	}
}

func TestConn_FINAfterAllBytes(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	const total = 1 << 20
	sent := make(chan []byte, 1)
	go func() {
		sum, _ := sendRandom(u, 7, total)
		u.Close()
		sent <- sum
	}()
	digest := sha256.New()
	is.NoErr(c.SetReadDeadline(time.Now().Add(patience)))
	n, err := io.Copy(digest, c) // nil at io.EOF
	is.NoErr(err)
	is.Equal(n, int64(total))
	is.Equal(digest.Sum(nil), <-sent)
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = c.Write([]byte("x"))
	is.True(errors.Is(err, syscall.EPIPE))
}

// While the client sends, the upstream's FIN ends the connection as an end, not as a reset.
func TestConn_FINWhileTheClientSends(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	writes := fillUntilBlocked(t, c)
	_, err := io.WriteString(u, "early response")
	is.NoErr(err)
	is.NoErr(u.CloseWrite())
	is.NoErr(c.SetReadDeadline(time.Now().Add(patience)))
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "early response")
	is.True(errors.Is(waitFor(t, writes).err, syscall.EPIPE))
}

func TestConn_HalfCloseOfTheClient(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	_, err := io.WriteString(c, "request")
	is.NoErr(err)
	is.NoErr(c.(interface{ CloseWrite() error }).CloseWrite())
	got, err := io.ReadAll(u)
	is.NoErr(err)
	is.Equal(string(got), "request")
	_, err = io.WriteString(u, "response")
	is.NoErr(err)
	u.Close()
	got, err = io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "response")
	_, err = c.Write([]byte("x"))
	is.True(errors.Is(err, syscall.EPIPE))
}

func TestConn_RelayStopped(t *testing.T) {
	is := is.New(t)
	relayAddr, _, g := startRelay(t, Options{})
	c, u, _ := connectThrough(t, newDialer(t), relayAddr)
	_, err := io.WriteString(u, "beginning")
	is.NoErr(err)
	buf := make([]byte, 100)
	n, err := io.ReadAtLeast(c, buf, len("beginning"))
	is.NoErr(err)
	is.Equal(string(buf[:n]), "beginning")
	read := startRead(c)
	g.Stop()
	err = waitFor(t, read).err
	is.True(errors.Is(err, ErrRelayUnavailable))
	is.True(!errors.Is(err, io.EOF))
	is.True(!errors.Is(err, syscall.ECONNRESET))
	_, err = u.Read(buf)
	is.Equal(err, io.EOF) // the relay closed its connection
}

// The upstream has ended, but the relay is stopped while flow control holds back the rest and the end.
// The end is sent after the last byte, so that all bytes may arrive without it.
func TestConn_RelayStoppedAfterTheFIN(t *testing.T) {
	for _, total := range []int64{90 << 10, 110 << 10, 130 << 10, 150 << 10, 170 << 10, 190 << 10, 1 << 20} {
		is := is.New(t)
		relayAddr, srv, g := startRelay(t, Options{})
		c, u, _ := connectThrough(t, newDialer(t), relayAddr)
		sent := numberedBytes(total)
		go func() {
			_, _ = u.Write(sent)
			u.Close()
		}()
		for range 100 {
			if testutil.ToFloat64(srv.open) == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		g.Stop()
		is.NoErr(c.SetReadDeadline(time.Now().Add(patience)))
		got, err := io.ReadAll(c)
		if err == nil {
			is.Equal(len(got), len(sent))
		} else {
			is.True(errors.Is(err, ErrRelayUnavailable))
		}
		is.True(bytes.HasPrefix(sent, got))
		t.Logf("%d bytes sent, %d received: %v", total, len(got), err)
	}
}

// All bytes have arrived, but the relay is stopped before it tells the end.
func TestConn_RelayStoppedBeforeItTellsTheFIN(t *testing.T) {
	is := is.New(t)
	relayAddr, srv, g := startRelay(t, Options{}, grpc.StreamInterceptor(
		func(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
			err := handle(srv, stream)
			<-stream.Context().Done()
			return err
		}))
	c, u, _ := connectThrough(t, newDialer(t), relayAddr)
	sent := numberedBytes(90 << 10)
	go func() {
		_, _ = u.Write(sent)
		u.Close()
	}()
	got := make([]byte, len(sent))
	_, err := io.ReadFull(c, got)
	is.NoErr(err)
	is.True(bytes.Equal(got, sent))
	eventually(t, "the end at the relay", func() bool { return testutil.ToFloat64(srv.open) == 0 })
	read := startRead(c)
	g.Stop()
	r := waitFor(t, read)
	is.Equal(r.n, 0)
	is.True(errors.Is(r.err, ErrRelayUnavailable))
}

// The end has arrived before the relay is stopped: it stays an end.
func TestConn_RelayStoppedAfterItToldTheFIN(t *testing.T) {
	is := is.New(t)
	relayAddr, _, g := startRelay(t, Options{})
	c, u, _ := connectThrough(t, newDialer(t), relayAddr)
	sent := numberedBytes(4 << 10)
	_, err := u.Write(sent)
	is.NoErr(err)
	u.Close()
	eventually(t, "the end", func() bool {
		_, isClosed := c.(interface{ Received() (bool, bool) }).Received()
		return isClosed
	})
	g.Stop()
	time.Sleep(50 * time.Millisecond) // the loss of the link is known
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(len(got), len(sent))
}

func TestConn_ReadDeadline(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	err := waitFor(t, startRead(c)).err
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	var timeout net.Error
	is.True(errors.As(err, &timeout) && timeout.Timeout())
	is.True(errors.Is(waitFor(t, startRead(c)).err, os.ErrDeadlineExceeded))

	is.NoErr(c.SetReadDeadline(time.Time{}))
	read := startRead(c)
	_, err = io.WriteString(u, "later")
	is.NoErr(err)
	r := waitFor(t, read)
	is.NoErr(r.err)
	is.Equal(r.n, len("later"))

	read = startRead(c)
	is.NoErr(c.SetReadDeadline(time.Now().Add(patience * 2)))
	is.NoErr(c.SetReadDeadline(time.Unix(1, 0))) // ends the read under way
	is.True(errors.Is(waitFor(t, read).err, os.ErrDeadlineExceeded))
	is.NoErr(c.SetDeadline(time.Time{}))
	_, err = io.WriteString(c, "still open")
	is.NoErr(err)
	_, err = io.ReadFull(u, make([]byte, len("still open")))
	is.NoErr(err)
}

func TestConn_WriteDeadline(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	is.NoErr(c.SetWriteDeadline(time.Unix(1, 0)))
	_, err := c.Write([]byte("x"))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(c.SetWriteDeadline(time.Time{}))
	_, err = c.Write([]byte("y")) // nothing was under way when the deadline passed
	is.NoErr(err)
	b := make([]byte, 1)
	_, err = io.ReadFull(u, b)
	is.NoErr(err)
	is.Equal(string(b), "y")

	writes := fillUntilBlocked(t, c)
	is.NoErr(c.SetWriteDeadline(time.Now().Add(20 * time.Millisecond)))
	is.True(errors.Is(waitFor(t, writes).err, os.ErrDeadlineExceeded))
	is.True(errors.Is(waitFor(t, startRead(c)).err, net.ErrClosed))
}

func TestConn_CloseDuringRead(t *testing.T) {
	is := is.New(t)
	c, _ := connect(t)
	read := startRead(c)
	is.NoErr(c.Close())
	is.True(errors.Is(waitFor(t, read).err, net.ErrClosed))
	is.True(errors.Is(c.Close(), net.ErrClosed))
	is.True(errors.Is(c.SetDeadline(time.Time{}), net.ErrClosed))
}

func TestConn_CloseDuringWrite(t *testing.T) {
	is := is.New(t)
	c, _ := connect(t)
	writes := fillUntilBlocked(t, c)
	is.NoErr(c.Close())
	is.True(errors.Is(waitFor(t, writes).err, net.ErrClosed))
	_, err := c.Write([]byte("x"))
	is.True(errors.Is(err, net.ErrClosed))
}

func TestConn_CloseReachesTheUpstream(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	is.NoErr(c.Close())
	_, err := u.Read(make([]byte, 1))
	is.Equal(err, io.EOF)

	c, u = connect(t)
	fillUntilBlocked(t, c) // the relay is blocked in a write
	is.NoErr(c.Close())
	_, err = io.Copy(io.Discard, u)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}

// An upstream that sends without end fills the connection, not the memory.
func TestConn_ClientThatDoesNotRead(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	writes := fillUntilBlocked(t, u)
	is.True(len(c.(*conn).messages) <= maxUnreadMessages-1)
	is.NoErr(c.Close())
	is.True(waitFor(t, writes).err != nil)
}

func received(c net.Conn) (hasBytes, isClosed bool) {
	return c.(interface{ Received() (bytes, closed bool) }).Received()
}

func TestConn_Received(t *testing.T) {
	is := is.New(t)
	c, u := connect(t)
	hasBytes, isClosed := received(c)
	is.True(!hasBytes && !isClosed)
	_, err := io.WriteString(u, "abc")
	is.NoErr(err)
	eventually(t, "bytes", func() bool { hasBytes, _ := received(c); return hasBytes })
	b := make([]byte, 2)
	_, err = io.ReadFull(c, b)
	is.NoErr(err)
	hasBytes, isClosed = received(c) // the rest of a message
	is.True(hasBytes && !isClosed)
	_, err = io.ReadFull(c, b[:1])
	is.NoErr(err)
	is.True(bytes.Equal(b[:1], []byte("c")))
	hasBytes, isClosed = received(c)
	is.True(!hasBytes && !isClosed)
	u.Close()
	eventually(t, "the end", func() bool { _, isClosed := received(c); return isClosed })
	hasBytes, _ = received(c)
	is.True(!hasBytes)
}
