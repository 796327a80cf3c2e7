package state

import (
	"bytes"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// reference is a plain second account of what the machine should hold.
type reference struct {
	accepted map[uint64]string // version to digest
	version  uint64
	replicas map[string]int // model to the applied file's replicas
	leases   map[string]*wire.Lease
	held     []*wire.Order // accepted loads that are not free
	unloads  map[string]*wire.Order
	inc      map[string]uint64 // highest registered
	cell     map[string]string // of registered upstreams
	keys     map[string]*refKey
	deaths   map[string]map[string]bool
}

type refKey struct {
	digest   string
	attempt  string
	done     bool
	deadline int64
	unknown  bool
}

// follower is a node that knows the state only by deltas.
type follower struct {
	index    uint64
	spec     *wire.Spec
	leases   map[string]*wire.Lease
	suspects map[string]*wire.Suspect
}

type world struct {
	*rig
	ref      reference
	follower follower
	log      []*wire.Command
	results  []*wire.Result
	orders   int
	cell     string // of the lease drawn last for a commit
}

var (
	refMemory   = map[string]uint64{"m1": 4, "m2": 3}
	refUpstream = map[string]string{"u1": "a", "u2": "a", "u3": "b"}
)

const refCapacity = 6 // MiB; less than both models need

func newWorld() *world {
	w := &world{rig: newRig(switches{})}
	w.ref = reference{
		accepted: map[uint64]string{}, replicas: map[string]int{}, leases: map[string]*wire.Lease{},
		unloads: map[string]*wire.Order{}, inc: map[string]uint64{}, cell: map[string]string{}, keys: map[string]*refKey{},
		deaths: map[string]map[string]bool{},
	}
	return w
}

// register brings up both cells with a file in force, the state that most commands
// need to mean anything.
func (w *world) register(t *rapid.T) {
	w.stepFile(t)
	for _, id := range []string{"u1", "u2", "u3"} {
		name := SchedulerLeasePrefix + refUpstream[id]
		l := w.submit(&wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Name: name, Holder: "n1", TtlMs: 1}}}).Lease
		w.ref.leases[name] = l
		w.submit(putCommand(l, id, 1))
		w.ref.inc[id], w.ref.cell[id] = 1, refUpstream[id]
	}
}

func putCommand(l *wire.Lease, id string, inc uint64) *wire.Command {
	return &wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{
		Lease: l.Name, Fence: l.Fence,
		Upstream: &wire.UpstreamRecord{Id: id, Incarnation: inc, Cell: cellOf(l.Name), Zone: "z", Address: "x", MemoryMib: refCapacity},
	}}}
}

// did records the command for the replay.
func (w *world) did(res *wire.Result, cmd *wire.Command) *wire.Result {
	w.log = append(w.log, cmd)
	w.results = append(w.results, res)
	return res
}

func (w *world) submit(cmd *wire.Command) *wire.Result { return w.did(w.do(cmd), cmd) }

func TestRandom_CommandsAgreeWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		if rapid.Bool().Draw(t, "registered") {
			w.register(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"file":     w.stepFile,
			"lease":    w.stepLease,
			"upstream": w.stepUpstream,
			"drop":     w.stepDrop,
			"commit":   w.stepCommit,
			"settle":   w.stepSettle,
			// Orders come more often than all else, so that memory and replicas run out.
			"commit 2": w.stepCommit,
			"commit 3": w.stepCommit,
			"commit 4": w.stepCommit,
			"settle 2": w.stepSettle,
			"ledger":   w.stepLedger,
			"death":    w.stepDeath,
			"time":     func(t *rapid.T) { w.now += int64(rapid.IntRange(0, 20_000).Draw(t, "ms")) },
			"follow":   w.stepFollow,
			"restore":  w.stepRestore,
			"":         w.check,
		})
		w.checkReplay(t)
	})
}

func (w *world) check(t *rapid.T) {
	if w.err != nil {
		t.Fatal(w.err)
	}
	got := w.m.Placements("")
	if len(got.Placements) != len(w.ref.held) {
		t.Fatalf("%d placements, want %d", len(got.Placements), len(w.ref.held))
	}
	memory, replicas := map[string]uint64{}, map[string]int{}
	for _, p := range got.Placements {
		memory[p.Order.Upstream] += p.Order.MemoryMib
		if p.Order.Adapter == "" {
			replicas[p.Order.Model]++
		}
	}
	for id, sum := range memory {
		if sum > refCapacity {
			t.Fatalf("%s holds %d MiB of %d", id, sum, refCapacity)
		}
	}
}

func (w *world) stepFile(t *rapid.T) {
	version := uint64(max(1, int(w.ref.version)+rapid.IntRange(-1, 2).Draw(t, "version")))
	if w.ref.version == 0 {
		version = uint64(rapid.IntRange(1, 2).Draw(t, "first"))
	}
	r1 := rapid.IntRange(0, 3).Draw(t, "replicas")
	r2 := rapid.IntRange(1, 2).Draw(t, "replicas")
	file := []byte(fmt.Sprintf("name = \"n\"\nversion = %d\n[limits]\nqueue_per_model = %d\nmax_deadline = \"10s\"\n"+
		"[[models]]\nname = \"m1\"\nversion = \"1\"\nreplicas = %d\nmemory_mib = 4\n"+
		"[[models]]\nname = \"m2\"\nversion = \"1\"\nreplicas = %d\nmemory_mib = 3\n"+
		"[[adapters]]\nname = \"x\"\nmodel = \"m1\"\nversion = \"1\"\nmemory_mib = 1\n", version, 1+r1, r1, r2))
	digest := spec.Digest(file)
	got := w.submit(&wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{File: file, Version: version, Digest: digest, Who: "op"}}}).File
	want := wire.ApplyOutcome_APPLY_ACCEPTED
	switch {
	case w.ref.accepted[version] == digest:
		want = wire.ApplyOutcome_APPLY_SAME
	case w.ref.version == 0 || version == w.ref.version+1:
		w.ref.accepted[version], w.ref.version = digest, version
		w.ref.replicas["m1"], w.ref.replicas["m2"] = r1, r2
	case version == w.ref.version:
		want = wire.ApplyOutcome_APPLY_REFUSED_CONFLICT
	case version < w.ref.version:
		want = wire.ApplyOutcome_APPLY_REFUSED_OLDER
	default:
		want = wire.ApplyOutcome_APPLY_REFUSED_GAP
	}
	if got.Outcome != want {
		t.Fatalf("version %d: %s, want %s", version, got.Outcome, want)
	}
}

// lease draws a cell with a fence that is mostly the current one.
func (w *world) lease(t *rapid.T) (cell, name string, fence uint64, current bool) {
	cell = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "cell")
	name = SchedulerLeasePrefix + cell
	l := w.ref.leases[name]
	if l == nil {
		return cell, name, uint64(rapid.IntRange(0, 3).Draw(t, "fence")), false
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		return cell, name, l.Fence - 1, false
	}
	return cell, name, l.Fence, true
}

func (w *world) stepLease(t *rapid.T) {
	_, name, fence, current := w.lease(t)
	if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
		w.submit(&wire.Command{Op: &wire.Command_EndLease{EndLease: &wire.EndLease{Name: name, Fence: fence}}})
		if current {
			delete(w.ref.leases, name)
		}
		return
	}
	holder := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "holder")
	res := w.submit(&wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Name: name, Holder: holder, TtlMs: 1}}})
	held := w.ref.leases[name]
	switch {
	case held != nil && held.Holder != holder:
		if res.Code != wire.ResultCode_RESULT_HELD {
			t.Fatalf("%s got the lease of %s", holder, held.Holder)
		}
	case held != nil:
		if res.Lease.Fence != held.Fence {
			t.Fatalf("the holder's fence changed")
		}
	default:
		for _, l := range w.ref.leases {
			if res.Lease.Fence <= l.Fence {
				t.Fatalf("fence %d is not above %d", res.Lease.Fence, l.Fence)
			}
		}
		w.ref.leases[name] = res.Lease
	}
}

func (w *world) endIncarnation(id string) {
	w.ref.held = slices.DeleteFunc(w.ref.held, func(o *wire.Order) bool { return o.Upstream == id })
	for key, o := range w.ref.unloads {
		if o.Upstream == id {
			delete(w.ref.unloads, key)
		}
	}
}

func (w *world) stepUpstream(t *rapid.T) {
	cell, name, fence, current := w.lease(t)
	id := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "id")
	known := w.ref.inc[id]
	inc := uint64(max(1, int(known)+rapid.SampledFrom([]int{-1, 0, 0, 0, 0, 0, 0, 1}).Draw(t, "inc")))
	res := w.submit(putCommand(&wire.Lease{Name: name, Fence: fence}, id, inc))
	allowed := current && (inc > known || inc == known && w.ref.cell[id] == cell)
	if got := res.Code == wire.ResultCode_RESULT_OK; got != allowed {
		t.Fatalf("%s incarnation %d after %d in cell %s: %v", id, inc, known, cell, res)
	}
	if allowed && inc > known {
		w.endIncarnation(id)
		w.ref.inc[id], w.ref.cell[id] = inc, cell
	}
}

func (w *world) stepDrop(t *rapid.T) {
	cell, name, fence, current := w.lease(t)
	id := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "id")
	inc := uint64(max(1, int(w.ref.inc[id])-rapid.IntRange(0, 1).Draw(t, "old")))
	w.submit(&wire.Command{Op: &wire.Command_DropUpstream{DropUpstream: &wire.DropUpstream{Lease: name, Fence: fence, Id: id, Incarnation: inc}}})
	if current && inc == w.ref.inc[id] && w.ref.cell[id] == cell {
		w.endIncarnation(id)
		w.ref.cell[id] = ""
	}
}

func (w *world) find(upstream, model, adapter string) *wire.Order {
	for _, o := range w.ref.held {
		if o.Upstream == upstream && o.Model == model && o.Adapter == adapter {
			return o
		}
	}
	return nil
}

func (w *world) stepCommit(t *rapid.T) {
	cell, name, fence, current := w.lease(t)
	w.cell = cell
	w.orders++
	o := &wire.Order{Id: fmt.Sprint("o", w.orders), Version: "1"}
	o.Kind = wire.OrderKind(rapid.IntRange(1, 4).Draw(t, "kind"))
	near := []string{"u1", "u2", "u3"}
	if rapid.IntRange(0, 4).Draw(t, "far") > 0 {
		near = slices.DeleteFunc(near, func(id string) bool { return w.ref.cell[id] != cell })
	}
	if len(near) == 0 {
		t.Skip("the cell has no upstream")
	}
	o.Upstream = rapid.SampledFrom(near).Draw(t, "upstream")
	o.Model = rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "model")
	o.Incarnation = w.ref.inc[o.Upstream]
	if rapid.IntRange(0, 9).Draw(t, "old") == 0 {
		o.Incarnation--
	}
	if o.Kind > wire.OrderKind_ORDER_UNLOAD {
		o.Model, o.Adapter = "m1", "x"
	}
	res := w.submit(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{Lease: name, Fence: fence, Orders: []*wire.Order{o}}}})
	if !current {
		if res.Code != wire.ResultCode_RESULT_FENCED {
			t.Fatalf("a stale holder got %v", res)
		}
		return
	}
	got := res.Orders[0]
	if allowed := w.allowed(o); got.Accepted != allowed {
		t.Fatalf("%v: %v, want accepted %t", o, got, allowed)
	}
	if !got.Accepted && got.Why == "" {
		t.Fatal("a refusal without a reason")
	}
	if got.Accepted {
		w.hold(o)
	}
}

// allowed tells by the reference's own account whether an order must be accepted.
func (w *world) allowed(o *wire.Order) bool {
	here, model := w.find(o.Upstream, o.Model, o.Adapter), w.find(o.Upstream, o.Model, "")
	memory, replicas, adapterOpen := uint64(0), 0, false
	for _, h := range w.ref.held {
		if h.Upstream == o.Upstream {
			memory += h.MemoryMib
			if h.Model == o.Model && h.Adapter != "" {
				adapterOpen = adapterOpen || h.State == wire.OrderState_ORDER_OPEN || w.ref.unloads[keyOfOrder(h)] != nil
			}
		}
		if h.Model == o.Model && h.Adapter == "" {
			replicas++
		}
	}
	if o.Incarnation != w.ref.inc[o.Upstream] || o.Incarnation == 0 || w.ref.cell[o.Upstream] != w.cell {
		return false
	}
	modelUnloading := model != nil && w.ref.unloads[keyOfOrder(model)] != nil
	loaded := here != nil && here.State == wire.OrderState_ORDER_LOADED && w.ref.unloads[keyOfOrder(o)] == nil
	switch o.Kind {
	case wire.OrderKind_ORDER_LOAD:
		return w.ref.version > 0 && here == nil && replicas < w.ref.replicas[o.Model] && memory+refMemory[o.Model] <= refCapacity
	case wire.OrderKind_ORDER_LOAD_ADAPTER:
		return w.ref.version > 0 && here == nil && memory+1 <= refCapacity && !modelUnloading &&
			model != nil && model.State == wire.OrderState_ORDER_LOADED
	case wire.OrderKind_ORDER_UNLOAD:
		return loaded && !adapterOpen
	default:
		return loaded && !modelUnloading
	}
}

func keyOfOrder(o *wire.Order) string { return o.Upstream + o.Model + o.Adapter }

// hold enters an accepted order.
func (w *world) hold(o *wire.Order) {
	held := proto.CloneOf(o)
	held.State = wire.OrderState_ORDER_OPEN
	switch o.Kind {
	case wire.OrderKind_ORDER_UNLOAD, wire.OrderKind_ORDER_UNLOAD_ADAPTER:
		w.ref.unloads[keyOfOrder(o)] = held
		return
	case wire.OrderKind_ORDER_LOAD:
		held.MemoryMib = refMemory[o.Model]
	default:
		held.MemoryMib = 1
	}
	w.ref.held = append(w.ref.held, held)
}

func (w *world) stepSettle(t *rapid.T) {
	open := w.m.Placements("").OpenOrders
	if len(open) == 0 {
		t.Skip("no order is open")
	}
	o := rapid.SampledFrom(open).Draw(t, "order")
	l := w.ref.leases[SchedulerLeasePrefix+o.Cell]
	if l == nil {
		t.Skip("nobody holds the cell")
	}
	state := wire.OrderState(rapid.IntRange(1, 4).Draw(t, "state"))
	res := w.submit(&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{
		Lease: l.Name, Fence: l.Fence, Settlements: []*wire.Settlement{{OrderId: o.Id, State: state}},
	}}})
	isLoad := o.Kind == wire.OrderKind_ORDER_LOAD || o.Kind == wire.OrderKind_ORDER_LOAD_ADAPTER
	want := state == wire.OrderState_ORDER_FAILED || state == wire.OrderState_ORDER_GONE || isLoad && state == wire.OrderState_ORDER_LOADED
	if res.Orders[0].Accepted != want {
		t.Fatalf("settling %v as %v: %v", o.Kind, state, res.Orders[0])
	}
	if !want {
		return
	}
	here := w.find(o.Upstream, o.Model, o.Adapter)
	delete(w.ref.unloads, keyOfOrder(o))
	switch {
	case state == wire.OrderState_ORDER_LOADED:
		here.State = state
	case isLoad || state == wire.OrderState_ORDER_GONE:
		w.ref.held = slices.DeleteFunc(w.ref.held, func(h *wire.Order) bool {
			return h == here || o.Adapter == "" && h.Upstream == o.Upstream && h.Model == o.Model
		})
	}
}

func (w *world) stepLedger(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	digest := rapid.SampledFrom([]string{"d1", "d1", "d2"}).Draw(t, "digest")
	attempt := fmt.Sprint("a", rapid.IntRange(1, 4).Draw(t, "attempt"))
	k := w.ref.keys[key]
	unknown := k != nil && !k.done && (k.unknown || w.now >= k.deadline)
	if rapid.Bool().Draw(t, "finish") {
		w.finishKey(t, key, attempt, unknown)
		return
	}
	cmd := &wire.Command{Op: &wire.Command_LedgerBegin{LedgerBegin: &wire.LedgerBegin{
		Caller: "c", Key: key, Digest: digestOf(digest), Attempt: attempt, Entry: "e", DeadlineMs: 5_000}}}
	got := w.submit(cmd).Ledger
	want := wire.LedgerStatus_LEDGER_IN_PROGRESS
	switch {
	case k == nil:
		want = wire.LedgerStatus_LEDGER_NEW
		limit := int64(5_000)
		if w.ref.version == 0 {
			limit = min(limit, defaultMaxDeadline.Milliseconds())
		}
		w.ref.keys[key] = &refKey{digest: digest, attempt: attempt, deadline: w.now + limit + finishGrace.Milliseconds()}
	case k.digest != digest:
		want = wire.LedgerStatus_LEDGER_KEY_REUSED
	case k.done:
		want = wire.LedgerStatus_LEDGER_DONE
	case unknown:
		want = wire.LedgerStatus_LEDGER_UNKNOWN
	}
	if got != want {
		t.Fatalf("key %s: %s, want %s", key, got, want)
	}
}

func (w *world) finishKey(t *rapid.T, key, attempt string, unknown bool) {
	status := wire.LedgerStatus(rapid.SampledFrom([]int32{3, 4, 7}).Draw(t, "status"))
	res := w.submit(&wire.Command{Op: &wire.Command_LedgerFinish{LedgerFinish: &wire.LedgerFinish{
		Caller: "c", Key: key, Attempt: attempt, Status: status, Answer: &wire.StoredAnswer{Body: []byte(attempt)}}}})
	k := w.ref.keys[key]
	if k == nil || k.attempt != attempt {
		if res.Code != wire.ResultCode_RESULT_INVALID {
			t.Fatalf("a stranger finished key %s", key)
		}
		return
	}
	switch {
	case k.done:
	case status == wire.LedgerStatus_LEDGER_DONE:
		k.done = true
	case status == wire.LedgerStatus_LEDGER_UNKNOWN:
		k.unknown = true
	case !unknown:
		delete(w.ref.keys, key)
	case res.Code == wire.ResultCode_RESULT_OK:
		t.Fatalf("key %s became not run after unknown", key)
	}
}

func (w *world) stepDeath(t *rapid.T) {
	digest := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "digest")
	upstream := rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream")
	inc := uint64(rapid.IntRange(1, 2).Draw(t, "inc"))
	res := w.submit(&wire.Command{Op: &wire.Command_ReportDeath{ReportDeath: &wire.ReportDeath{BodyDigest: digestOf(digest), Upstream: upstream, Incarnation: inc}}})
	if w.ref.deaths[digest] == nil {
		w.ref.deaths[digest] = map[string]bool{}
	}
	w.ref.deaths[digest][fmt.Sprint(upstream, inc)] = true
	if int(res.Deaths) != len(w.ref.deaths[digest]) {
		t.Fatalf("%d deaths, want %d", res.Deaths, len(w.ref.deaths[digest]))
	}
}

// stepFollow takes the delta since the follower's index and compares it with the state.
func (w *world) stepFollow(t *rapid.T) {
	f := &w.follower
	d := w.m.DeltaSince(f.index)
	if d != nil {
		if d.Snapshot {
			*f = follower{leases: map[string]*wire.Lease{}, suspects: map[string]*wire.Suspect{}}
		}
		f.index = d.Index
		if d.Spec != nil {
			next, err := spec.Patch(f.spec, d.Spec)
			if err != nil {
				t.Fatal(err)
			}
			f.spec = next
		}
		for _, l := range d.PutLeases {
			f.leases[l.Name] = l
		}
		for _, name := range d.DropLeases {
			delete(f.leases, name)
		}
		for _, s := range d.PutSuspects {
			f.suspects[s.BodyDigest] = s
		}
		for _, digest := range d.DropSuspects {
			delete(f.suspects, digest)
		}
	}
	if s := w.m.Spec(); s != nil && !proto.Equal(f.spec, s) {
		t.Fatalf("the follower has spec %v, the machine %v", f.spec, s)
	}
	leases, suspects := w.m.Leases(), w.m.Suspects()
	if len(leases) != len(f.leases) || len(suspects) != len(f.suspects) {
		t.Fatalf("the follower has %v and %v, the machine %v and %v", f.leases, f.suspects, leases, suspects)
	}
	for _, l := range leases {
		if !proto.Equal(l, f.leases[l.Name]) {
			t.Fatalf("lease %v at the follower: %v", l, f.leases[l.Name])
		}
	}
	for _, s := range suspects {
		if !proto.Equal(s, f.suspects[s.BodyDigest]) {
			t.Fatalf("suspect %v at the follower: %v", s, f.suspects[s.BodyDigest])
		}
	}
}

// stepRestore goes on with a machine restored from a snapshot of this one.
func (w *world) stepRestore(t *rapid.T) {
	before, err := w.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m := New(Options{})
	if err := m.Restore(w.index, before); err != nil {
		t.Fatal(err)
	}
	after, err := m.Snapshot()
	if err != nil || !bytes.Equal(before, after) {
		t.Fatalf("a restored machine has another snapshot: %v", err)
	}
	w.m = m
}

// checkReplay applies the same log to a fresh machine.
func (w *world) checkReplay(t *rapid.T) {
	m := New(Options{})
	for i, cmd := range w.log {
		if res := m.Apply(uint64(i+1), cmd); !proto.Equal(res, w.results[i]) {
			t.Fatalf("command %d: %v, at first %v", i, res, w.results[i])
		}
	}
	want, _ := w.m.Snapshot()
	got, err := m.Snapshot()
	if err != nil || !bytes.Equal(got, want) {
		t.Fatalf("the replayed machine has another snapshot: %v", err)
	}
}
