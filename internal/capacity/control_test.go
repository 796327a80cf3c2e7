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

// watcher is one node that follows the replicated state.
type watcher struct {
	follower *view.Follower
	index    atomic.Uint64 // of the spec in force
	bytes    atomic.Int64
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

func awaitAll(ws []*watcher, index uint64) {
	for _, w := range ws {
		for w.index.Load() < index {
			time.Sleep(50 * time.Microsecond)
		}
	}
}

// BenchmarkWatch measures one change of one model on its way into force on all nodes.
// Control and nodes share the process, so its processor time is that of both sides.
func BenchmarkWatch(b *testing.B) {
	for _, nodes := range []int{9, 30, 100, 330} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			s, addr := newControl(b)
			apply(b, s, sizeToday, 1)
			before := heap()
			ws := make([]*watcher, nodes)
			for i := range ws {
				ws[i] = startWatcher(b, addr)
			}
			awaitAll(ws, 1)
			perNode := (heap() - before) / float64(nodes)
			sent := ws[0].bytes.Load()
			version := 1
			begin := cpu()
			b.ResetTimer()
			for b.Loop() {
				version++
				apply(b, s, sizeToday, version)
				awaitAll(ws, uint64(version))
			}
			used := cpu() - begin
			changes := float64(version - 1)
			b.ReportMetric(float64(ws[0].bytes.Load()-sent)/changes, "B/change/node")
			b.ReportMetric(float64(used.Microseconds())/changes/float64(nodes), "cpu-us/change/node")
			b.ReportMetric(perNode/1024, "KiB/node")
		})
	}
}

// BenchmarkFollower measures what a node spends to follow files of growing size.
func BenchmarkFollower(b *testing.B) {
	for _, sz := range []size{sizeToday, sizeMiddle, sizeTarget} {
		b.Run(sz.String(), func(b *testing.B) {
			specs := make([]*wire.Spec, 2)
			for i := range specs {
				parsed, err := spec.Parse(sz.file(i + 1))
				if err != nil {
					b.Fatal(err)
				}
				parsed.Index = uint64(i + 1)
				specs[i] = parsed
			}
			whole := &wire.Delta{Index: 1, Snapshot: true, Spec: spec.Diff(nil, specs[0])}
			bytes, err := proto.Marshal(whole)
			if err != nil {
				b.Fatal(err)
			}
			before := heap()
			f := followerOf(b, bytes)
			held := heap() - before
			there, back := spec.Diff(specs[0], specs[1]), spec.Diff(specs[1], specs[0])
			index := uint64(1)
			b.ResetTimer()
			for b.Loop() {
				change := there
				if index%2 == 0 {
					change = back
				}
				step := proto.CloneOf(change)
				step.BaseIndex = index
				index++
				step.Index = index
				if err := f.Apply(&wire.Delta{Index: index, Spec: step}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(held/1024, "KiB/node")
			b.ReportMetric(float64(len(bytes)), "B/snapshot")
			b.ReportMetric(float64(proto.Size(there)), "B/change")
			_ = f.Current()
		})
	}
}

// followerOf returns a follower that took one encoded delta.
func followerOf(b *testing.B, encoded []byte) *view.Follower {
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

// BenchmarkKeepAlive measures one renewal of a node's leases.
func BenchmarkKeepAlive(b *testing.B) {
	s, addr := newControl(b)
	cc := wire.NewControlClient(connect(b, addr))
	for !ready(b, cc) {
		time.Sleep(time.Millisecond)
	}
	res, err := s.Propose(b.Context(), &wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{
		Name: "entry/n", Holder: "n", Address: "127.0.0.1:1", TtlMs: 60_000}}})
	if err != nil {
		b.Fatal(err)
	}
	req := &wire.KeepAliveRequest{Node: "n", Leases: []*wire.Lease{{Name: "entry/n", Fence: res.Lease.Fence}}}
	calls := 0
	begin := cpu()
	b.ResetTimer()
	for b.Loop() {
		calls++
		resp, err := cc.KeepAlive(b.Context(), req)
		if err != nil || len(resp.Lost) > 0 {
			b.Fatalf("%v %v", resp, err)
		}
	}
	b.ReportMetric(float64((cpu()-begin).Nanoseconds())/1000/float64(calls), "cpu-us/call")
	b.ReportMetric(float64(proto.Size(req)+proto.Size(&wire.KeepAliveResponse{SpecIndex: 100_000})), "B/call")
}

func ready(b *testing.B, cc wire.ControlClient) bool {
	b.Helper()
	_, err := cc.KeepAlive(b.Context(), &wire.KeepAliveRequest{Node: "n"})
	return err == nil
}

// BenchmarkUnwatchedCommand measures a command that changes nothing that nodes follow,
// while 330 of them watch.
func BenchmarkUnwatchedCommand(b *testing.B) {
	s, addr := newControl(b)
	apply(b, s, sizeToday, 1)
	ws := make([]*watcher, 330)
	for i := range ws {
		ws[i] = startWatcher(b, addr)
	}
	awaitAll(ws, 1)
	calls := 0
	begin := cpu()
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
	b.ReportMetric(float64((cpu()-begin).Nanoseconds())/1000/float64(calls), "cpu-us/command")
}

// BenchmarkFileInLog measures an applied file of growing size on its way into the log.
func BenchmarkFileInLog(b *testing.B) {
	for _, sz := range []size{sizeToday, sizeTarget} {
		b.Run(sz.String(), func(b *testing.B) {
			file := sz.file(1)
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
