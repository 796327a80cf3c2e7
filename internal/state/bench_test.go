package state

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/spec/spectest"
	"gentiankeel/internal/wire"
)

// The deployment size that one group of control VMs must hold.
const (
	targetModels    = 750
	targetAdapters  = 39_000
	targetUpstreams = 3_400
	targetKeys      = 100_000
	targetReplicas  = 3_000
)

// must returns res, and fails the benchmark if the command or one of its orders was refused.
func (h *harness) must(b *testing.B, res *wire.Result) *wire.Result {
	for _, o := range res.Orders {
		if !o.Accepted {
			b.Fatal(o)
		}
	}
	if res.Code != wire.ResultCode_RESULT_OK {
		b.Fatal(res)
	}
	return res
}

// apply is applyChecked without the invariant checks, whose cost grows with the state.
func (h *harness) apply(cmd *wire.Command) *wire.Result {
	h.index++
	cmd.AtUnixMs = h.now
	return h.m.Apply(h.index, cmd)
}

func applyFileCommand(file []byte, version uint64) *wire.Command {
	return &wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{File: file, Version: version, Digest: spec.Digest(file)}}}
}

func beginKeyCommand(key string) *wire.Command {
	return &wire.Command{Op: &wire.Command_LedgerBegin{LedgerBegin: &wire.LedgerBegin{
		Caller: "bakery", Key: key, Digest: digestOf("body"), Attempt: key, Entry: "entry-1", DeadlineMs: 30_000}}}
}

func finishKeyCommand(key string) *wire.Command {
	return &wire.Command{Op: &wire.Command_LedgerFinish{LedgerFinish: &wire.LedgerFinish{
		Caller: "bakery", Key: key, Attempt: key, Status: wire.LedgerStatus_LEDGER_DONE,
		Answer: &wire.StoredAnswer{Status: 200, ContentType: "application/json", Body: []byte(`{"job":"12345678","state":"booked"}`)}}}}
}

// newLargeHarness returns a machine of the target size: 3,400 upstreams, 3,000 loaded
// replicas with 39,000 loaded adapters, and 100,000 finished keys.
func newLargeHarness(b *testing.B) *harness {
	h := newHarness(disabledChecks{})
	h.must(b, h.apply(applyFileCommand(spectest.LargeFile(targetModels, targetAdapters, 1), 1)))
	lease := h.grantLease("tay", "n1").Lease
	for u := range targetUpstreams {
		h.must(b, h.apply(&wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{Lease: lease.Name, Fence: lease.Fence,
			Upstream: &wire.UpstreamRecord{Id: fmt.Sprint("u", u), Incarnation: 1, Cell: "tay", Zone: "tay-a", Address: "10.0.0.1:80", MemoryMib: 24_576}}}}))
	}
	commitAndSettle := func(o *wire.Order) {
		h.must(b, h.apply(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{Lease: lease.Name, Fence: lease.Fence, Orders: []*wire.Order{o}}}}))
		h.must(b, h.apply(&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{Lease: lease.Name, Fence: lease.Fence,
			Settlements: []*wire.Settlement{{OrderId: o.Id, State: wire.OrderState_ORDER_LOADED}}}}}))
	}
	for i := range targetReplicas {
		commitAndSettle(load(fmt.Sprint("o", i), fmt.Sprint("u", i), 1, fmt.Sprintf("model-%04d", i%targetModels)))
	}
	for i := range targetAdapters {
		// Adapter i belongs to model i%750, whose four replicas are on every 750th upstream.
		model := i % targetModels
		upstream := model + targetModels*((i/targetModels)%4)
		commitAndSettle(loadAdapter(fmt.Sprint("a", i), fmt.Sprint("u", upstream), 1, fmt.Sprintf("model-%04d", model), fmt.Sprintf("adapter-%05d", i)))
	}
	for k := range targetKeys {
		key := fmt.Sprintf("booking-%08d", k)
		h.apply(beginKeyCommand(key))
		h.apply(finishKeyCommand(key))
	}
	if err := h.m.CheckAll(); err != nil {
		b.Fatal(err)
	}
	return h
}

func BenchmarkTarget(b *testing.B) {
	h := newLargeHarness(b)
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			data, err := h.m.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
		}
	})
	b.Run("restore", func(b *testing.B) {
		data, _ := h.m.Snapshot()
		for b.Loop() {
			if err := New(Options{}).Restore(h.index, data); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("check-all", func(b *testing.B) {
		for b.Loop() {
			if err := h.m.CheckAll(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("ledger-begin-finish", func(b *testing.B) {
		n := 0
		for b.Loop() {
			n++
			key := fmt.Sprint("k", b.N, "-", n)
			h.apply(beginKeyCommand(key))
			// Finished as not run, so that the table does not grow.
			h.apply(&wire.Command{Op: &wire.Command_LedgerFinish{LedgerFinish: &wire.LedgerFinish{
				Caller: "bakery", Key: key, Attempt: key, Status: wire.LedgerStatus_LEDGER_NOT_RUN}}})
			if err := h.m.Check(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("load-settle-unload-settle", func(b *testing.B) { benchmarkOrders(b, h) })
	b.Run("file-one-model", func(b *testing.B) { benchmarkFiles(b, h) })
	b.Run("delta-one-model", func(b *testing.B) {
		before := h.m.files.deltas[len(h.m.files.deltas)-1].BaseIndex
		for b.Loop() {
			b.ReportMetric(float64(proto.Size(h.m.DeltaSince(before))), "delta-bytes")
		}
	})
	b.Run("delta-whole", func(b *testing.B) {
		for b.Loop() {
			b.ReportMetric(float64(proto.Size(h.m.DeltaSince(0))), "delta-bytes")
		}
	})
	b.Run("placements-of-cell", func(b *testing.B) {
		for b.Loop() {
			h.m.Placements("tay")
		}
	})
}

// benchmarkOrders unloads a replica and loads it again.
func benchmarkOrders(b *testing.B, h *harness) {
	lease := h.m.Lease(SchedulerLeasePrefix + "tay")
	commitAndSettle := func(o *wire.Order, state wire.OrderState) {
		h.must(b, h.apply(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{Lease: lease.Name, Fence: lease.Fence, Orders: []*wire.Order{o}}}}))
		h.must(b, h.apply(&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{Lease: lease.Name, Fence: lease.Fence,
			Settlements: []*wire.Settlement{{OrderId: o.Id, State: state}}}}}))
		if err := h.m.Check(); err != nil {
			b.Fatal(err)
		}
	}
	n := 0
	for b.Loop() {
		n++
		commitAndSettle(unload(fmt.Sprint("x", b.N, "-", n), "u0", 1, "model-0000"), wire.OrderState_ORDER_GONE)
		commitAndSettle(load(fmt.Sprint("y", b.N, "-", n), "u0", 1, "model-0000"), wire.OrderState_ORDER_LOADED)
	}
}

// benchmarkFiles applies files that change one model each.
func benchmarkFiles(b *testing.B, h *harness) {
	for b.Loop() {
		b.StopTimer()
		version := h.m.Spec().Version + 1
		file := spectest.LargeFile(targetModels, targetAdapters, version)
		copy(file[bytes.Index(file, []byte("4096")):], fmt.Sprint(4000+version%90)) // the first model's memory
		b.StartTimer()
		if out := h.apply(applyFileCommand(file, version)).File.Outcome; out != wire.ApplyOutcome_APPLY_ACCEPTED {
			b.Fatal(out)
		}
	}
}
