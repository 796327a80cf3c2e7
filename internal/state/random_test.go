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

// referenceState is a simple model of the state that the machine should have.
type referenceState struct {
	accepted     map[uint64]string // version to digest
	version      uint64
	replicas     map[string]int // model to the applied file's replicas
	leases       map[string]*wire.Lease
	loads        []*wire.Order // accepted loads whose holdings were not removed
	unloads      map[string]*wire.Order
	incarnations map[string]uint64 // highest registered, by upstream
	cells        map[string]string // of registered upstreams; empty after a drop
	keys         map[string]*referenceKey
	deaths       map[string]map[string]bool
}

type referenceKey struct {
	digest   string
	attempt  string
	done     bool
	deadline int64
	unknown  bool
}

// deltaFollower is a node that builds its view of the state from deltas alone.
type deltaFollower struct {
	index    uint64
	spec     *wire.Spec
	leases   map[string]*wire.Lease
	suspects map[string]*wire.Suspect
}

type randomRun struct {
	*harness
	ref      referenceState
	follower deltaFollower
	commands []*wire.Command
	results  []*wire.Result
	orders   int
	lastCell string // of the lease drawn for the last commit
}

var (
	modelMiB      = map[string]uint64{"m1": 4, "m2": 3}
	upstreamCells = map[string]string{"u1": "a", "u2": "a", "u3": "b"}
)

const capacityMiB = 6 // of an upstream; too small for both models

func newRandomRun() *randomRun {
	r := &randomRun{harness: newHarness(disabledChecks{})}
	r.ref = referenceState{
		accepted: map[uint64]string{}, replicas: map[string]int{}, leases: map[string]*wire.Lease{},
		unloads: map[string]*wire.Order{}, incarnations: map[string]uint64{}, cells: map[string]string{}, keys: map[string]*referenceKey{},
		deaths: map[string]map[string]bool{},
	}
	return r
}

// registerUpstreams applies a file and registers the upstreams of both cells under
// scheduler leases, without which most commands are refused.
func (r *randomRun) registerUpstreams(t *rapid.T) {
	r.stepFile(t)
	for _, id := range []string{"u1", "u2", "u3"} {
		name := SchedulerLeasePrefix + upstreamCells[id]
		l := r.submit(&wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Name: name, Holder: "n1", TtlMs: 1}}}).Lease
		r.ref.leases[name] = l
		r.submit(putCommand(l, id, 1))
		r.ref.incarnations[id], r.ref.cells[id] = 1, upstreamCells[id]
	}
}

func putCommand(l *wire.Lease, id string, inc uint64) *wire.Command {
	return &wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{
		Lease: l.Name, Fence: l.Fence,
		Upstream: &wire.UpstreamRecord{Id: id, Incarnation: inc, Cell: cellOf(l.Name), Zone: "z", Address: "x", MemoryMib: capacityMiB},
	}}}
}

// recordCommand records a command and its result for checkReplay.
func (r *randomRun) recordCommand(res *wire.Result, cmd *wire.Command) *wire.Result {
	r.commands = append(r.commands, cmd)
	r.results = append(r.results, res)
	return res
}

func (r *randomRun) submit(cmd *wire.Command) *wire.Result {
	return r.recordCommand(r.applyChecked(cmd), cmd)
}

func TestRandom_CommandsAgreeWithReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRandomRun()
		if rapid.Bool().Draw(t, "registered") {
			r.registerUpstreams(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"file":     r.stepFile,
			"lease":    r.stepLease,
			"upstream": r.stepUpstream,
			"drop":     r.stepDrop,
			"commit":   r.stepCommit,
			"settle":   r.stepSettle,
			// Repeated, so that orders are frequent enough to exhaust memory and replicas.
			"commit 2": r.stepCommit,
			"commit 3": r.stepCommit,
			"commit 4": r.stepCommit,
			"settle 2": r.stepSettle,
			"ledger":   r.stepLedger,
			"death":    r.stepDeath,
			"answer":   r.stepAnswer,
			"time":     func(t *rapid.T) { r.now += int64(rapid.IntRange(0, 20_000).Draw(t, "ms")) },
			"follow":   r.stepFollow,
			"restore":  r.stepRestore,
			"":         r.check,
		})
		r.checkReplay(t)
	})
}

func (r *randomRun) check(t *rapid.T) {
	if r.err != nil {
		t.Fatal(r.err)
	}
	got := r.m.Placements("")
	if len(got.Placements) != len(r.ref.loads) {
		t.Fatalf("%d placements, want %d", len(got.Placements), len(r.ref.loads))
	}
	memory, replicas := map[string]uint64{}, map[string]int{}
	for _, p := range got.Placements {
		memory[p.Order.Upstream] += p.Order.MemoryMib
		if p.Order.Adapter == "" {
			replicas[p.Order.Model]++
		}
	}
	for id, sum := range memory {
		if sum > capacityMiB {
			t.Fatalf("%s holds %d MiB of %d", id, sum, capacityMiB)
		}
	}
}

func (r *randomRun) stepFile(t *rapid.T) {
	version := uint64(max(1, int(r.ref.version)+rapid.IntRange(-1, 2).Draw(t, "version")))
	if r.ref.version == 0 {
		version = uint64(rapid.IntRange(1, 2).Draw(t, "first"))
	}
	r1 := rapid.IntRange(0, 3).Draw(t, "replicas")
	r2 := rapid.IntRange(1, 2).Draw(t, "replicas")
	file := []byte(fmt.Sprintf("name = \"n\"\nversion = %d\n[limits]\nqueue_per_model = %d\nmax_deadline = \"10s\"\n"+
		"[[models]]\nname = \"m1\"\nversion = \"1\"\nreplicas = %d\nmemory_mib = 4\n"+
		"[[models]]\nname = \"m2\"\nversion = \"1\"\nreplicas = %d\nmemory_mib = 3\n"+
		"[[adapters]]\nname = \"x\"\nmodel = \"m1\"\nversion = \"1\"\nmemory_mib = 1\n", version, 1+r1, r1, r2))
	digest := spec.Digest(file)
	got := r.submit(&wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{File: file, Version: version, Digest: digest, Who: "op"}}}).File
	want := wire.ApplyOutcome_APPLY_ACCEPTED
	switch {
	case r.ref.accepted[version] == digest:
		want = wire.ApplyOutcome_APPLY_SAME
	case r.ref.version == 0 || version == r.ref.version+1:
		r.ref.accepted[version], r.ref.version = digest, version
		r.ref.replicas["m1"], r.ref.replicas["m2"] = r1, r2
	case version == r.ref.version:
		want = wire.ApplyOutcome_APPLY_REFUSED_CONFLICT
	case version < r.ref.version:
		want = wire.ApplyOutcome_APPLY_REFUSED_OLDER
	default:
		want = wire.ApplyOutcome_APPLY_REFUSED_GAP
	}
	if got.Outcome != want {
		t.Fatalf("version %d: %s, want %s", version, got.Outcome, want)
	}
}

// drawLease draws a cell, its lease's name and a fencing number that is mostly the current
// one.
func (r *randomRun) drawLease(t *rapid.T) (cell, name string, fence uint64, current bool) {
	cell = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "cell")
	name = SchedulerLeasePrefix + cell
	l := r.ref.leases[name]
	if l == nil {
		return cell, name, uint64(rapid.IntRange(0, 3).Draw(t, "fence")), false
	}
	if rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
		return cell, name, l.Fence - 1, false
	}
	return cell, name, l.Fence, true
}

func (r *randomRun) stepLease(t *rapid.T) {
	_, name, fence, current := r.drawLease(t)
	if rapid.IntRange(0, 3).Draw(t, "end") == 0 {
		r.submit(&wire.Command{Op: &wire.Command_EndLease{EndLease: &wire.EndLease{Name: name, Fence: fence}}})
		if current {
			delete(r.ref.leases, name)
		}
		return
	}
	holder := rapid.SampledFrom([]string{"n1", "n2"}).Draw(t, "holder")
	res := r.submit(&wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Name: name, Holder: holder, TtlMs: 1}}})
	held := r.ref.leases[name]
	switch {
	case held != nil && held.Holder != holder:
		if res.Code != wire.ResultCode_RESULT_HELD {
			t.Fatalf("%s was granted the lease held by %s", holder, held.Holder)
		}
	case held != nil:
		if res.Lease.Fence != held.Fence {
			t.Fatalf("the holder's fence number changed")
		}
	default:
		for _, l := range r.ref.leases {
			if res.Lease.Fence <= l.Fence {
				t.Fatalf("fence %d is not above %d", res.Lease.Fence, l.Fence)
			}
		}
		r.ref.leases[name] = res.Lease
	}
}

func (r *randomRun) endIncarnation(id string) {
	r.ref.loads = slices.DeleteFunc(r.ref.loads, func(o *wire.Order) bool { return o.Upstream == id })
	for key, o := range r.ref.unloads {
		if o.Upstream == id {
			delete(r.ref.unloads, key)
		}
	}
}

func (r *randomRun) stepUpstream(t *rapid.T) {
	cell, name, fence, current := r.drawLease(t)
	id := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "id")
	highest := r.ref.incarnations[id]
	inc := uint64(max(1, int(highest)+rapid.SampledFrom([]int{-1, 0, 0, 0, 0, 0, 0, 1}).Draw(t, "inc")))
	res := r.submit(putCommand(&wire.Lease{Name: name, Fence: fence}, id, inc))
	allowed := current && (inc > highest || inc == highest && r.ref.cells[id] == cell)
	if got := res.Code == wire.ResultCode_RESULT_OK; got != allowed {
		t.Fatalf("%s incarnation %d after %d in cell %s: %v", id, inc, highest, cell, res)
	}
	if allowed && inc > highest {
		r.endIncarnation(id)
		r.ref.incarnations[id], r.ref.cells[id] = inc, cell
	}
}

func (r *randomRun) stepDrop(t *rapid.T) {
	cell, name, fence, current := r.drawLease(t)
	id := rapid.SampledFrom([]string{"u1", "u2", "u3"}).Draw(t, "id")
	inc := uint64(max(1, int(r.ref.incarnations[id])-rapid.IntRange(0, 1).Draw(t, "old")))
	r.submit(&wire.Command{Op: &wire.Command_DropUpstream{DropUpstream: &wire.DropUpstream{Lease: name, Fence: fence, Id: id, Incarnation: inc}}})
	if current && inc == r.ref.incarnations[id] && r.ref.cells[id] == cell {
		r.endIncarnation(id)
		r.ref.cells[id] = ""
	}
}

func (r *randomRun) findLoad(upstream, model, adapter string) *wire.Order {
	for _, o := range r.ref.loads {
		if o.Upstream == upstream && o.Model == model && o.Adapter == adapter {
			return o
		}
	}
	return nil
}

func (r *randomRun) stepCommit(t *rapid.T) {
	cell, name, fence, current := r.drawLease(t)
	r.lastCell = cell
	r.orders++
	o := &wire.Order{Id: fmt.Sprint("o", r.orders), Version: "1"}
	o.Kind = wire.OrderKind(rapid.IntRange(1, 4).Draw(t, "kind"))
	candidates := []string{"u1", "u2", "u3"}
	if rapid.IntRange(0, 4).Draw(t, "far") > 0 {
		candidates = slices.DeleteFunc(candidates, func(id string) bool { return r.ref.cells[id] != cell })
	}
	if len(candidates) == 0 {
		t.Skip("the cell has no upstream")
	}
	o.Upstream = rapid.SampledFrom(candidates).Draw(t, "upstream")
	o.Model = rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "model")
	o.Incarnation = r.ref.incarnations[o.Upstream]
	if rapid.IntRange(0, 9).Draw(t, "old") == 0 {
		o.Incarnation--
	}
	if o.Kind > wire.OrderKind_ORDER_UNLOAD {
		o.Model, o.Adapter = "m1", "x"
	}
	res := r.submit(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{Lease: name, Fence: fence, Orders: []*wire.Order{o}}}})
	if !current {
		if res.Code != wire.ResultCode_RESULT_FENCED {
			t.Fatalf("a stale holder's commit was not fenced: %v", res)
		}
		return
	}
	got := res.Orders[0]
	if allowed := r.allowed(o); got.Accepted != allowed {
		t.Fatalf("%v: %v, want accepted %t", o, got, allowed)
	}
	if !got.Accepted && got.Why == "" {
		t.Fatal("an order was refused without a reason")
	}
	if got.Accepted {
		r.recordAccepted(o)
	}
}

// allowed reports whether the machine must accept an order in the reference state.
func (r *randomRun) allowed(o *wire.Order) bool {
	existing, model := r.findLoad(o.Upstream, o.Model, o.Adapter), r.findLoad(o.Upstream, o.Model, "")
	memory, replicas, adapterOpen := uint64(0), 0, false
	for _, h := range r.ref.loads {
		if h.Upstream == o.Upstream {
			memory += h.MemoryMib
			if h.Model == o.Model && h.Adapter != "" {
				adapterOpen = adapterOpen || h.State == wire.OrderState_ORDER_OPEN || r.ref.unloads[holdingID(h)] != nil
			}
		}
		if h.Model == o.Model && h.Adapter == "" {
			replicas++
		}
	}
	if o.Incarnation != r.ref.incarnations[o.Upstream] || o.Incarnation == 0 || r.ref.cells[o.Upstream] != r.lastCell {
		return false
	}
	modelUnloading := model != nil && r.ref.unloads[holdingID(model)] != nil
	loaded := existing != nil && existing.State == wire.OrderState_ORDER_LOADED && r.ref.unloads[holdingID(o)] == nil
	switch o.Kind {
	case wire.OrderKind_ORDER_LOAD:
		return r.ref.version > 0 && existing == nil && replicas < r.ref.replicas[o.Model] && memory+modelMiB[o.Model] <= capacityMiB
	case wire.OrderKind_ORDER_LOAD_ADAPTER:
		return r.ref.version > 0 && existing == nil && memory+1 <= capacityMiB && !modelUnloading &&
			model != nil && model.State == wire.OrderState_ORDER_LOADED
	case wire.OrderKind_ORDER_UNLOAD:
		return loaded && !adapterOpen
	default:
		return loaded && !modelUnloading
	}
}

func holdingID(o *wire.Order) string { return o.Upstream + o.Model + o.Adapter }

// recordAccepted adds an accepted order to the reference state.
func (r *randomRun) recordAccepted(o *wire.Order) {
	accepted := proto.CloneOf(o)
	accepted.State = wire.OrderState_ORDER_OPEN
	switch o.Kind {
	case wire.OrderKind_ORDER_UNLOAD, wire.OrderKind_ORDER_UNLOAD_ADAPTER:
		r.ref.unloads[holdingID(o)] = accepted
		return
	case wire.OrderKind_ORDER_LOAD:
		accepted.MemoryMib = modelMiB[o.Model]
	default:
		accepted.MemoryMib = 1
	}
	r.ref.loads = append(r.ref.loads, accepted)
}

func (r *randomRun) stepSettle(t *rapid.T) {
	open := r.m.Placements("").OpenOrders
	if len(open) == 0 {
		t.Skip("no order is open")
	}
	o := rapid.SampledFrom(open).Draw(t, "order")
	l := r.ref.leases[SchedulerLeasePrefix+o.Cell]
	if l == nil {
		t.Skip("nobody holds the cell")
	}
	state := wire.OrderState(rapid.IntRange(1, 4).Draw(t, "state"))
	res := r.submit(&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{
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
	existing := r.findLoad(o.Upstream, o.Model, o.Adapter)
	delete(r.ref.unloads, holdingID(o))
	switch {
	case state == wire.OrderState_ORDER_LOADED:
		existing.State = state
	case isLoad || state == wire.OrderState_ORDER_GONE:
		r.ref.loads = slices.DeleteFunc(r.ref.loads, func(h *wire.Order) bool {
			return h == existing || o.Adapter == "" && h.Upstream == o.Upstream && h.Model == o.Model
		})
	}
}

func (r *randomRun) stepLedger(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	digest := rapid.SampledFrom([]string{"d1", "d1", "d2"}).Draw(t, "digest")
	attempt := fmt.Sprint("a", rapid.IntRange(1, 4).Draw(t, "attempt"))
	k := r.ref.keys[key]
	unknown := k != nil && !k.done && (k.unknown || r.now >= k.deadline)
	if rapid.Bool().Draw(t, "finish") {
		r.stepFinishKey(t, key, attempt, unknown)
		return
	}
	cmd := &wire.Command{Op: &wire.Command_LedgerBegin{LedgerBegin: &wire.LedgerBegin{
		Caller: "c", Key: key, Digest: digestOf(digest), Attempt: attempt, Entry: "e", DeadlineMs: 5_000}}}
	got := r.submit(cmd).Ledger
	want := wire.LedgerStatus_LEDGER_IN_PROGRESS
	switch {
	case k == nil:
		want = wire.LedgerStatus_LEDGER_NEW
		limit := int64(5_000)
		if r.ref.version == 0 {
			limit = min(limit, defaultMaxDeadline.Milliseconds())
		}
		r.ref.keys[key] = &referenceKey{digest: digest, attempt: attempt, deadline: r.now + limit + finishGrace.Milliseconds()}
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

func (r *randomRun) stepFinishKey(t *rapid.T, key, attempt string, unknown bool) {
	status := wire.LedgerStatus(rapid.SampledFrom([]int32{3, 4, 7}).Draw(t, "status"))
	res := r.submit(&wire.Command{Op: &wire.Command_LedgerFinish{LedgerFinish: &wire.LedgerFinish{
		Caller: "c", Key: key, Attempt: attempt, Status: status, Answer: &wire.StoredAnswer{Body: []byte(attempt)}}}})
	k := r.ref.keys[key]
	if k == nil || k.attempt != attempt {
		if res.Code != wire.ResultCode_RESULT_INVALID {
			t.Fatalf("key %s was finished by an attempt that does not hold it", key)
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
		delete(r.ref.keys, key)
	case res.Code == wire.ResultCode_RESULT_OK:
		t.Fatalf("key %s changed from unknown to not run", key)
	}
}

func (r *randomRun) stepDeath(t *rapid.T) {
	digest := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "digest")
	upstream := rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream")
	inc := uint64(rapid.IntRange(1, 2).Draw(t, "inc"))
	res := r.submit(&wire.Command{Op: &wire.Command_ReportDeath{ReportDeath: &wire.ReportDeath{BodyDigest: digestOf(digest), Upstream: upstream, Incarnation: inc}}})
	if r.ref.deaths[digest] == nil {
		r.ref.deaths[digest] = map[string]bool{}
	}
	r.ref.deaths[digest][fmt.Sprint(upstream, inc)] = true
	if int(res.Deaths) != len(r.ref.deaths[digest]) {
		t.Fatalf("%d deaths, want %d", res.Deaths, len(r.ref.deaths[digest]))
	}
}

// stepAnswer reports an answer that clears the deaths of one upstream's first incarnation.
func (r *randomRun) stepAnswer(t *rapid.T) {
	digest := rapid.SampledFrom([]string{"b1", "b2"}).Draw(t, "digest")
	upstream := rapid.SampledFrom([]string{"u1", "u2"}).Draw(t, "upstream")
	r.submit(&wire.Command{Op: &wire.Command_ReportAnswer{ReportAnswer: &wire.ReportAnswer{
		BodyDigest: digestOf(digest), Upstreams: []string{wire.SuspectKey(upstream, 1)}}}})
	if len(r.ref.deaths[digest]) < quarantineDeaths {
		delete(r.ref.deaths[digest], fmt.Sprint(upstream, 1))
	}
}

// stepFollow applies the delta since the follower's index and compares the follower with
// the machine.
func (r *randomRun) stepFollow(t *rapid.T) {
	f := &r.follower
	d := r.m.DeltaSince(f.index)
	if d != nil {
		if d.Snapshot {
			*f = deltaFollower{leases: map[string]*wire.Lease{}, suspects: map[string]*wire.Suspect{}}
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
	if s := r.m.Spec(); s != nil && !proto.Equal(f.spec, s) {
		t.Fatalf("the follower has spec %v, the machine %v", f.spec, s)
	}
	leases, suspects := r.m.Leases(), r.m.Suspects()
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

// stepRestore replaces the machine by one restored from its snapshot.
func (r *randomRun) stepRestore(t *rapid.T) {
	before, err := r.m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	m := New(Options{})
	if err := m.Restore(r.index, before); err != nil {
		t.Fatal(err)
	}
	after, err := m.Snapshot()
	if err != nil || !bytes.Equal(before, after) {
		t.Fatalf("the snapshot of a restored machine differs: %v", err)
	}
	r.m = m
}

// checkReplay applies the recorded commands to a new machine and compares results and
// snapshots.
func (r *randomRun) checkReplay(t *rapid.T) {
	m := New(Options{})
	for i, cmd := range r.commands {
		if res := m.Apply(uint64(i+1), cmd); !proto.Equal(res, r.results[i]) {
			t.Fatalf("replay of command %d: result %v, originally %v", i, res, r.results[i])
		}
	}
	want, _ := r.m.Snapshot()
	got, err := m.Snapshot()
	if err != nil || !bytes.Equal(got, want) {
		t.Fatalf("the snapshot of the replayed machine differs: %v", err)
	}
}
