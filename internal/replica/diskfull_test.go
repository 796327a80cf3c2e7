package replica

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/raftstore"
)

// fullDisk fails writes with ENOSPC while it is full.
type fullDisk struct {
	*raftstore.Store
	full     atomic.Bool
	rejected atomic.Int32
}

func (d *fullDisk) Save(rd *raft.Ready) error {
	if d.full.Load() {
		d.rejected.Add(1)
		return errors.Wrap(syscall.ENOSPC, "save log")
	}
	return d.Store.Save(rd)
}

func TestReplica_FullDiskThenSpace(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a")
	st, err := raftstore.Open(t.TempDir())
	is.NoErr(err)
	disk := &fullDisk{Store: st}
	opts := g.options("a", g.members)
	opts.Storage = disk
	n, err := Start(opts)
	is.NoErr(err)
	defer func() { is.NoErr(n.Stop()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for n.ReadBarrier(ctx) != nil {
		is.NoErr(ctx.Err())
	}
	disk.full.Store(true)
	done := make(chan error, 1)
	go func() {
		_, _, err := n.Propose(ctx, []byte("x"))
		done <- err
	}()
	for disk.rejected.Load() < 2 {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	select {
	case <-n.Done():
		t.Fatal("the replica stopped")
	case <-done:
		t.Fatal("the proposal was acknowledged without a write")
	default:
	}
	disk.full.Store(false)
	is.NoErr(<-done)
}
