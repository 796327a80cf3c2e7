package session

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"gentiankeel/internal/wire"
)

// eventually polls until the condition holds and fails the test after 20 s.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition was not met: %s", condition)
}

// fakeScheduler records the messages of its sessions and answers slot requests with
// respond.
type fakeScheduler struct {
	wire.UnimplementedSchedulerServer
	fence   uint64
	respond func(*wire.Ask) *wire.SchedulerMessage // a nil function or message leaves the request pending
	address string
	srv     *grpc.Server

	mu           sync.Mutex
	hellos       []*wire.Hello
	asks         []*wire.Ask
	releases     []*wire.Release
	cancels      []string
	heartbeats   int
	endedStreams int
	streams      []grpc.BidiStreamingServer[wire.EntryMessage, wire.SchedulerMessage]
}

func startScheduler(t *testing.T, fence uint64, respond func(*wire.Ask) *wire.SchedulerMessage) *fakeScheduler {
	f := &fakeScheduler{fence: fence, respond: respond, srv: grpc.NewServer()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	f.address = ln.Addr().String()
	wire.RegisterSchedulerServer(f.srv, f)
	go f.srv.Serve(ln)
	t.Cleanup(f.srv.Stop)
	return f
}

func (f *fakeScheduler) Session(str grpc.BidiStreamingServer[wire.EntryMessage, wire.SchedulerMessage]) error {
	msg, err := str.Recv()
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.hellos = append(f.hellos, msg.GetHello())
	f.streams = append(f.streams, str)
	f.mu.Unlock()
	if err := str.Send(&wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Welcome{Welcome: &wire.Welcome{Fence: f.fence}}}); err != nil {
		return err
	}
	for {
		msg, err := str.Recv()
		if err != nil {
			f.mu.Lock()
			f.endedStreams++
			f.mu.Unlock()
			return nil
		}
		f.record(msg)
		if ask := msg.GetAsk(); ask != nil && f.respond != nil {
			if m := f.respond(ask); m != nil {
				_ = str.Send(m)
			}
		}
	}
}

func (f *fakeScheduler) record(msg *wire.EntryMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch m := msg.GetMsg().(type) {
	case *wire.EntryMessage_Ask:
		f.asks = append(f.asks, m.Ask)
	case *wire.EntryMessage_Release:
		f.releases = append(f.releases, m.Release)
	case *wire.EntryMessage_Cancel:
		f.cancels = append(f.cancels, m.Cancel.GetAttempt())
	case *wire.EntryMessage_Heartbeat:
		f.heartbeats++
	}
}

func (f *fakeScheduler) Announce(context.Context, *wire.AnnounceRequest) (*wire.AnnounceResponse, error) {
	return &wire.AnnounceResponse{Known: true, NextAfterMs: 9}, nil
}

// locked calls get under the lock of the fake.
func locked[T any](f *fakeScheduler, get func() T) T {
	f.mu.Lock()
	defer f.mu.Unlock()
	return get()
}

func (f *fakeScheduler) askCount() int     { return locked(f, func() int { return len(f.asks) }) }
func (f *fakeScheduler) releaseCount() int { return locked(f, func() int { return len(f.releases) }) }

func grantMessage(attempt string, fence uint64, useBy uint32) *wire.SchedulerMessage {
	return &wire.SchedulerMessage{Msg: &wire.SchedulerMessage_Grant{Grant: &wire.Grant{
		Attempt: attempt, Upstream: "u1", Incarnation: 4, Address: "127.0.0.1:1", Fence: fence, UseByMs: useBy,
	}}}
}

func grantAll(fence uint64) func(*wire.Ask) *wire.SchedulerMessage {
	return func(a *wire.Ask) *wire.SchedulerMessage { return grantMessage(a.GetAttempt(), fence, 60_000) }
}

func newClient(t *testing.T, modify ...func(*Options)) *Client {
	opts := Options{
		EntryID: "e1", Incarnation: 2, SpecIndex: func() uint64 { return 11 },
		MinBackoff: time.Millisecond, MaxBackoff: 5 * time.Millisecond, HeartbeatInterval: 5 * time.Millisecond,
	}
	for _, f := range modify {
		f(&opts)
	}
	c, err := New(opts)
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = c.Close(ctx)
	})
	return c
}

func newAsk(attemptID string, deadlineMs uint32) *wire.Ask {
	return &wire.Ask{Attempt: attemptID, Request: "r", Model: "m", DeadlineMs: deadlineMs, BodyDigest: "d", MaxTokens: 5}
}
