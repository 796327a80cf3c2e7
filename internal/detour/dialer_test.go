package detour

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// fakeConn counts the connections that are open.
type fakeConn struct {
	net.Conn
	way  string
	open *atomic.Int32
	once sync.Once
}

func (c *fakeConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return nil
}

// fakeNet answers tries by way: "" for direct ones, or the relay's address.
type fakeNet struct {
	open atomic.Int32
	mu   sync.Mutex
	err  map[string]error // nil: the connection opens
	hang map[string]bool  // until the try is given up
	seen []string
}

func (n *fakeNet) dial(ctx context.Context, way string) (net.Conn, error) {
	n.mu.Lock()
	n.seen = append(n.seen, way)
	err, hang := n.err[way], n.hang[way]
	n.mu.Unlock()
	if hang {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	n.open.Add(1)
	return &fakeConn{way: way, open: &n.open}, nil
}

func newFakeDialer(n *fakeNet, changed func(bool), relays ...string) *Dialer {
	d := NewDialer(Options{
		Direct:      func(ctx context.Context, _ string) (net.Conn, error) { return n.dial(ctx, "") },
		Relay:       func(ctx context.Context, relay, _ string) (net.Conn, error) { return n.dial(ctx, relay) },
		PathChanged: changed,
	})
	d.SetRelays(relays)
	return d
}

func dialWay(t *testing.T, d *Dialer, addr string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c, err := d.Dial(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.(*fakeConn).way
}

func TestDial_Direct(t *testing.T) {
	is := is.New(t)
	n := &fakeNet{}
	d := newFakeDialer(n, nil, "r")
	is.Equal(dialWay(t, d, "u"), "")
	is.Equal(n.seen, []string{""}) // the relay is not asked
}

func TestDial_DirectHangs(t *testing.T) {
	is := is.New(t)
	n := &fakeNet{hang: map[string]bool{"": true}}
	lost := make(chan bool, 4)
	d := newFakeDialer(n, func(withoutPath bool) { lost <- withoutPath }, "r")
	for _, addr := range []string{"u1", "u2"} {
		is.Equal(dialWay(t, d, addr), "r")
	}
	is.True(<-lost) // as the direct tries end
	is.True(d.WithoutPath())
	n.mu.Lock()
	n.hang = nil
	n.mu.Unlock()
	time.Sleep(probeInterval)
	dialWay(t, d, "u1") // with a direct try beside
	is.True(!<-lost)
	is.Equal(dialWay(t, d, "u2"), "")
	awaitClosed(t, &n.open)
}

// awaitClosed waits until no connection is open.
func awaitClosed(t *testing.T, open *atomic.Int32) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); open.Load() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections stay open", open.Load())
		}
	}
}

func TestDial_RelaysFail(t *testing.T) {
	is := is.New(t)
	n := &fakeNet{hang: map[string]bool{"": true, "r2": true}, err: map[string]error{"r1": errors.Wrap(ErrRelayDown, "no room")}}
	d := newFakeDialer(n, nil, "r1", "r2", "r3")
	is.Equal(dialWay(t, d, "u"), "r3")
	is.Equal(n.seen, []string{"", "r1", "r2", "r3"})
}

func TestDial_UpstreamRefuses(t *testing.T) {
	is := is.New(t)
	n := &fakeNet{err: map[string]error{"": syscall.ECONNREFUSED, "r": errors.New("no path there")}}
	_, err := newFakeDialer(n, nil, "r").Dial(context.Background(), "u")
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}

func TestDial_NoWay(t *testing.T) {
	is := is.New(t)
	n := &fakeNet{hang: map[string]bool{"": true, "r": true}}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := newFakeDialer(n, nil, "r").Dial(ctx, "u")
	is.True(errors.Is(err, context.DeadlineExceeded))
}

// A try that ends after another one was taken must not leave its connection open.
func TestDial_LateTryIsClosed(t *testing.T) {
	is := is.New(t)
	var open atomic.Int32
	release, late := make(chan struct{}), make(chan struct{})
	d := NewDialer(Options{
		Direct: func(context.Context, string) (net.Conn, error) {
			<-release
			open.Add(1)
			defer close(late)
			return &fakeConn{open: &open}, nil
		},
		Relay: func(context.Context, string, string) (net.Conn, error) {
			open.Add(1)
			return &fakeConn{way: "r", open: &open}, nil
		},
	})
	d.SetRelays([]string{"r"})
	is.Equal(dialWay(t, d, "u"), "r")
	is.Equal(open.Load(), int32(0))
	close(release)
	<-late
	awaitClosed(t, &open)
}

// Guards against the refusal of an upstream that only a relay reaches being lost to the direct try, which gets no answer.
func TestDial_RefusedThroughRelayWhileDirectIsSilent(t *testing.T) {
	is := is.New(t)
	n := &fakeNet{hang: map[string]bool{"": true}, err: map[string]error{"r": syscall.ECONNREFUSED}}
	d := newFakeDialer(n, nil, "r")
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := d.Dial(ctx, "u")
	is.True(errors.Is(err, syscall.ECONNREFUSED))
}
