package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"gentiankeel/internal/raft"
	"gentiankeel/internal/raftstore"
	"gentiankeel/internal/raftstore/raftstoretest"
	"gentiankeel/internal/wire"
)

// fullDisk fails writes with ENOSPC while it is full, snapshots also while it is short of room.
type fullDisk struct {
	*raftstore.Store
	full              atomic.Bool
	short             atomic.Bool // room for the log, but not for a snapshot
	rejected          atomic.Int32
	rejectedSnapshots atomic.Int32
	storedSnapshot    atomic.Uint64 // index of the last one
}

func (d *fullDisk) Save(rd *raft.Ready) error {
	if d.full.Load() || d.short.Load() && rd.Snapshot != nil {
		d.rejected.Add(1)
		return errors.Wrap(syscall.ENOSPC, "save log")
	}
	return d.Store.Save(rd)
}

func (d *fullDisk) SaveSnapshot(snap *wire.Snapshot, base, baseTerm uint64) error {
	if d.full.Load() || d.short.Load() {
		d.rejectedSnapshots.Add(1)
		return errors.Wrap(syscall.ENOSPC, "save snapshot")
	}
	d.storedSnapshot.Store(snap.Meta.Index)
	return d.Store.SaveSnapshot(snap, base, baseTerm)
}

func TestReplica_FullDiskThenSpace(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a")
	disk := &fullDisk{Store: raftstoretest.Open(t, t.TempDir())}
	g.configure = func(o *Options) { o.Storage = disk }
	n, err := Start(g.options("a", g.members))
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

// useFullDisks gives each replica of a group a disk that can be full, and returns the disks by replica.
func (g *group) useFullDisks(snapshotEntries uint64) map[string]*fullDisk {
	disks := map[string]*fullDisk{}
	g.configure = func(o *Options) {
		disk := &fullDisk{Store: raftstoretest.Open(g.t, o.Dir)}
		if old := disks[o.Name]; old != nil { // the process was started again on the same disk
			disk.full.Store(old.full.Load())
			disk.short.Store(old.short.Load())
		}
		disks[o.Name] = disk
		o.Storage, o.SnapshotEntries = disk, snapshotEntries
	}
	return disks
}

// Guards against a snapshot that finds no room holding up the log, which does.
func TestReplica_NoRoomForSnapshot(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, "a")
	disks := g.useFullDisks(10)
	disk := func() *fullDisk { return disks["a"] }
	g.startAll()
	is.True(g.propose("first"))
	disk().short.Store(true)
	var acked []string
	for i := range 50 {
		acked = append(acked, fmt.Sprint(i))
		is.True(g.propose(acked[i]))
	}
	g.waitUntil("a snapshot to be rejected", func() bool { return disk().rejectedSnapshots.Load() > 0 })
	g.stopIsolated("a")
	g.start("a", g.members) // from the older snapshot and the log
	g.waitForItems("a", acked)
	disk().short.Store(false)
	is.True(g.propose("room again"))
	g.waitUntil("the snapshot to be stored", func() bool {
		g.propose("more")
		return disk().storedSnapshot.Load() > 50
	})
}

// proposeUntilAcked proposes an entry at whichever replica leads until one acknowledges it.
func (g *group) proposeUntilAcked(data string) string {
	g.t.Helper()
	g.waitUntil("an acknowledgement of "+data, func() bool {
		for _, n := range g.nodes {
			if !n.Status().IsLeader {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, _, err := n.Propose(ctx, []byte(data))
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	})
	return data
}

// Guards against changes that are refused or stay unanswered after the disks of the group were full one after
// another, while the log grows, snapshots are due and processes are started again.
func TestReplica_RandomDisksFullInTurn(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("voters=%d/seed=%d", voters, seed), func(t *testing.T) {
				is := is.New(t)
				rng := rand.New(rand.NewPCG(seed, uint64(voters)))
				g := newGroup(t, []string{"a", "b", "c", "d", "e"}[:voters]...)
				disks := g.useFullDisks(20)
				g.startAll()
				is.True(g.propose("first"))
				acked := []string{"first"}
				for turn := range 2 * voters {
					name := g.members[turn%voters].Name
					disk := disks[name]
					full := &disk.full
					if rng.IntN(3) == 0 {
						full = &disk.short
					}
					full.Store(true)
					for range 10 + rng.IntN(40) {
						acked = append(acked, g.proposeUntilAcked(fmt.Sprint(len(acked))))
					}
					time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond) // up to two election timeouts
					if rng.IntN(3) == 0 {
						// The process ends while its disk is full and starts when there is room.
						g.stopIsolated(name)
						full.Store(false)
						g.start(name, g.members)
						continue
					}
					full.Store(false)
				}
				acked = append(acked, g.proposeUntilAcked("last"))
				for _, m := range g.members {
					g.waitForItems(m.Name, acked)
				}
			})
		}
	}
}
