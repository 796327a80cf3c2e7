package rafttransport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"gentiankeel/internal/wire"
)

// startTransport starts a transport for replica id and returns it with a channel of the
// messages that it receives.
func startTransport(t *testing.T, id uint64) (*Transport, chan *wire.RaftMessage) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tr := New(Options{Address: lis.Addr().String()})
	got := make(chan *wire.RaftMessage, 16)
	tr.Start(id, func(m *wire.RaftMessage) { got <- m })
	served := make(chan struct{})
	go func() {
		defer close(served)
		tr.Serve(lis)
	}()
	t.Cleanup(func() {
		tr.Close()
		<-served
	})
	return tr, got
}

func TestTransport_SenderOutsideMembership(t *testing.T) {
	is := is.New(t)
	a, gotA := startTransport(t, 1)
	b, gotB := startTransport(t, 2)
	a.SetPeers([]*wire.Member{{Id: 2, Address: b.opts.Address}})
	a.Send([]*wire.RaftMessage{{Type: wire.MsgType_MSG_APP, From: 1, To: 2}})
	is.Equal((<-gotB).From, uint64(1))
	b.Send([]*wire.RaftMessage{{Type: wire.MsgType_MSG_APP_RESP, From: 2, To: 1}})
	is.Equal((<-gotA).From, uint64(2))
}

func TestTransport_SnapshotInChunks(t *testing.T) {
	is := is.New(t)
	a, _ := startTransport(t, 1)
	b, gotB := startTransport(t, 2)
	a.SetPeers([]*wire.Member{{Id: 2, Address: b.opts.Address}})
	data := make([]byte, 3*snapshotChunkBytes+17)
	for i := range data {
		data[i] = byte(i >> 8)
	}
	a.Send([]*wire.RaftMessage{{
		Type: wire.MsgType_MSG_SNAP, From: 1, To: 2, Term: 5,
		Snapshot: &wire.Snapshot{Meta: &wire.SnapshotMeta{Index: 9}, Data: data},
	}})
	m := <-gotB
	is.Equal(m.Term, uint64(5))
	is.Equal(m.Snapshot.Meta.Index, uint64(9))
	is.Equal(m.Snapshot.Data, data)
}

func TestTransport_SnapshotRefused(t *testing.T) {
	is := is.New(t)
	a, _ := startTransport(t, 1)
	b, _ := startTransport(t, 2)
	a.SetPeers([]*wire.Member{{Id: 2, Address: b.opts.Address}, {Id: 3, Address: b.opts.Address}})
	send := func(to uint64) error {
		return a.peer(to).streamSnapshot(&wire.RaftMessage{Type: wire.MsgType_MSG_SNAP, From: 1, To: to,
			Snapshot: &wire.Snapshot{Meta: &wire.SnapshotMeta{Index: 9}}})
	}
	is.True(send(3) != nil) // replica 3 is not at that address
	is.Equal(testutil.ToFloat64(a.metrics.snapshots), 0.0)
	is.NoErr(send(2))
	is.Equal(testutil.ToFloat64(a.metrics.snapshots), 1.0)
}

func TestTransport_PeerStartsLate(t *testing.T) {
	is := is.New(t)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	a, _ := startTransport(t, 1)
	a.SetPeers([]*wire.Member{{Id: 2, Address: lis.Addr().String()}})
	a.Send([]*wire.RaftMessage{{Type: wire.MsgType_MSG_HEARTBEAT, From: 1, To: 2}})
	b := New(Options{Address: lis.Addr().String()})
	got := make(chan *wire.RaftMessage, 16)
	go b.Serve(lis) // rejects messages until Start
	defer b.Close()
	b.Start(2, func(m *wire.RaftMessage) { got <- m })
	for received := false; !received; {
		a.Send([]*wire.RaftMessage{{Type: wire.MsgType_MSG_HEARTBEAT, From: 1, To: 2}})
		select {
		case <-got:
			received = true
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func TestQueue_Full(t *testing.T) {
	is := is.New(t)
	dropped := prometheus.NewCounter(prometheus.CounterOpts{Name: "dropped"})
	q := newQueue(2, dropped)
	q.push(&wire.RaftMessage{Type: wire.MsgType_MSG_APP, Index: 1})
	q.push(&wire.RaftMessage{Type: wire.MsgType_MSG_HEARTBEAT, Index: 2})
	q.push(&wire.RaftMessage{Type: wire.MsgType_MSG_APP, Index: 3})
	q.push(&wire.RaftMessage{Type: wire.MsgType_MSG_APP, Index: 4})
	first, _ := q.pop(context.Background())
	second, _ := q.pop(context.Background())
	is.Equal(first.Index, uint64(3)) // the heartbeat was dropped first, then the oldest message
	is.Equal(second.Index, uint64(4))
	is.Equal(testutil.ToFloat64(dropped), 2.0)
}
