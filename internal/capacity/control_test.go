package capacity

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/control"
	"gentiankeel/internal/spec"
	"gentiankeel/internal/view"
	"gentiankeel/internal/wire"
)

// watcher simulates a node that follows the replicated state.
type watcher struct {
	follower *view.Follower
	index    atomic.Uint64 // log index of the current spec
	bytes    atomic.Int64  // size of the deltas received
}

func startWatcher(b *testing.B, addr string) *watcher {
	b.Helper()
	w := &watcher{follower: view.NewFollower(spec.Patch, time.Now)}
	stream, err := wire.NewControlClient(connect(b, addr)).Watch(b.Context(), &wire.WatchRequest{Node: "n"})
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for {
			d, err := stream.Recv()
			if err != nil {
				return
			}
			w.bytes.Add(int64(proto.Size(d)))
			if w.follower.Apply(d) == nil {
				w.index.Store(w.follower.Current().Spec.GetIndex())
			}
		}
	}()
	return w
}

// waitForIndex waits until all watchers have the spec of the index.
func waitForIndex(ws []*watcher, index uint64) {
	for _, w := range ws {
		for w.index.Load() < index {
			time.Sleep(50 * time.Microsecond)
		}
	}
}

// BenchmarkWatch measures the change of one model, from its apply until all nodes have it.
// Control and nodes share the process, so the CPU time covers both sides.
func BenchmarkWatch(b *testing.B) {
	for _, nodes := range []int{9, 30, 100, 330} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			s, addr := startControl(b)
			applyFile(b, s, sizeCurrent, 1)
			heapBefore := liveHeap()
			ws := make([]*watcher, nodes)
			for i := range ws {
				ws[i] = startWatcher(b, addr)
			}
			waitForIndex(ws, 1)
			heapPerNode := (liveHeap() - heapBefore) / float64(nodes)
			sent := ws[0].bytes.Load()
			version := 1
			cpuBefore := cpuTime()
			b.ResetTimer()
			for b.Loop() {
				version++
				applyFile(b, s, sizeCurrent, version)
				waitForIndex(ws, uint64(version))
			}
			cpuUsed := cpuTime() - cpuBefore
			changes := float64(version - 1)
			b.ReportMetric(float64(ws[0].bytes.Load()-sent)/changes, "B/change/node")
			b.ReportMetric(float64(cpuUsed.Microseconds())/changes/float64(nodes), "cpu-us/change/node")
			b.ReportMetric(heapPerNode/1024, "KiB/node")
		})
	}
}

// BenchmarkFollower measures the cost on a node of following applied files of growing
// size.
func BenchmarkFollower(b *testing.B) {
	for _, sz := range []fileSize{sizeCurrent, sizeMedium, sizeTarget} {
		b.Run(sz.String(), func(b *testing.B) {
			specs := make([]*wire.Spec, 2)
			for i := range specs {
				parsed, err := spec.Parse(sz.render(i + 1))
				if err != nil {
					b.Fatal(err)
				}
				parsed.Index = uint64(i + 1)
				specs[i] = parsed
			}
			snapshot := &wire.Delta{Index: 1, Snapshot: true, Spec: spec.Diff(nil, specs[0])}
			encoded, err := proto.Marshal(snapshot)
			if err != nil {
				b.Fatal(err)
			}
			heapBefore := liveHeap()
			f := newFollower(b, encoded)
			heapUsed := liveHeap() - heapBefore
			forward, backward := spec.Diff(specs[0], specs[1]), spec.Diff(specs[1], specs[0])
			index := uint64(1)
			b.ResetTimer()
			for b.Loop() {
				change := forward
				if index%2 == 0 {
					change = backward
				}
				delta := proto.CloneOf(change)
				delta.BaseIndex = index
				index++
				delta.Index = index
				if err := f.Apply(&wire.Delta{Index: index, Spec: delta}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(heapUsed/1024, "KiB/node")
			b.ReportMetric(float64(len(encoded)), "B/snapshot")
			b.ReportMetric(float64(proto.Size(forward)), "B/change")
			_ = f.Current()
		})
	}
}

// newFollower returns a follower that has applied one encoded delta.
func newFollower(b *testing.B, encoded []byte) *view.Follower {
	b.Helper()
	f := view.NewFollower(spec.Patch, time.Now)
	d := &wire.Delta{}
	if err := proto.Unmarshal(encoded, d); err != nil {
		b.Fatal(err)
	}
	if err := f.Apply(d); err != nil {
		b.Fatal(err)
	}
	return f
}

// BenchmarkKeepAlive measures the renewal of a node's lease.
func BenchmarkKeepAlive(b *testing.B) {
	s, addr := startControl(b)
	cc := wire.NewControlClient(connect(b, addr))
	for !isReady(b, cc) {
		time.Sleep(time.Millisecond)
	}
	res, err := s.Propose(b.Context(), &wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{
		Name: "entry/n", Holder: "n", Address: "127.0.0.1:1", TtlMs: 60_000}}})
	if err != nil {
		b.Fatal(err)
	}
	req := &wire.KeepAliveRequest{Node: "n", Leases: []*wire.Lease{{Name: "entry/n", Fence: res.Lease.Fence}}}
	calls := 0
	cpuBefore := cpuTime()
	b.ResetTimer()
	for b.Loop() {
		calls++
		resp, err := cc.KeepAlive(b.Context(), req)
		if err != nil || len(resp.Lost) > 0 {
			b.Fatalf("%v %v", resp, err)
		}
	}
	b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/1000/float64(calls), "cpu-us/call")
	b.ReportMetric(float64(proto.Size(req)+proto.Size(&wire.KeepAliveResponse{SpecIndex: 100_000})), "B/call")
}

// isReady reports whether control answers lease renewals.
func isReady(b *testing.B, cc wire.ControlClient) bool {
	b.Helper()
	_, err := cc.KeepAlive(b.Context(), &wire.KeepAliveRequest{Node: "n"})
	return err == nil
}

// BenchmarkUnwatchedCommand measures a command that changes nothing that nodes follow,
// with 330 nodes watching.
func BenchmarkUnwatchedCommand(b *testing.B) {
	s, addr := startControl(b)
	applyFile(b, s, sizeCurrent, 1)
	ws := make([]*watcher, 330)
	for i := range ws {
		ws[i] = startWatcher(b, addr)
	}
	waitForIndex(ws, 1)
	calls := 0
	cpuBefore := cpuTime()
	b.ResetTimer()
	for b.Loop() {
		calls++
		_, err := s.Propose(b.Context(), &wire.Command{Op: &wire.Command_LedgerBegin{LedgerBegin: &wire.LedgerBegin{
			Caller: "c", Key: fmt.Sprint(calls), Digest: strings.Repeat("d", 64), Attempt: fmt.Sprint(calls), Entry: "e",
			DeadlineMs: 1000}}})
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((cpuTime()-cpuBefore).Nanoseconds())/1000/float64(calls), "cpu-us/command")
}

// BenchmarkFileInLog measures the encoding of applied files of growing size for the log.
func BenchmarkFileInLog(b *testing.B) {
	for _, sz := range []fileSize{sizeCurrent, sizeTarget} {
		b.Run(sz.String(), func(b *testing.B) {
			file := sz.render(1)
			var logged int
			for b.Loop() {
				data, err := control.EncodeCommand(&wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{File: file}}})
				if err != nil {
					b.Fatal(err)
				}
				logged = len(data)
			}
			b.ReportMetric(float64(len(file)), "B/file")
			b.ReportMetric(float64(logged), "B/logged")
		})
	}
}
