package state

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"gentiankeel/internal/spec"
	"gentiankeel/internal/wire"
)

// TestMain fixes the seed, so that every run draws the same cases; a seed on the
// command line wins.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true") // a failure prints its seed
	// A run needs many steps to load, unload and load again.
	_ = flag.Set("rapid.steps", "150")
	os.Exit(m.Run())
}

const (
	second = int64(1_000)
	minute = 60 * second
	hour   = 60 * minute
	day    = 24 * hour
)

// rig applies commands to a machine at consecutive indices and checks every invariant.
type rig struct {
	m     *Machine
	index uint64
	now   int64
	err   error // first broken invariant
}

func newRig(off switches) *rig {
	r := &rig{m: New(Options{}), now: 1_000 * day}
	r.m.off = off
	return r
}

func (r *rig) do(cmd *wire.Command) *wire.Result {
	r.index++
	cmd.AtUnixMs = r.now
	res := r.m.Apply(r.index, cmd)
	for _, check := range []func() error{r.m.Check, r.m.CheckAll} {
		if err := check(); err != nil && r.err == nil {
			r.err = err
		}
	}
	return res
}

func (r *rig) file(version uint64, body string) *wire.Result {
	data := []byte(fmt.Sprintf("name = \"test\"\nversion = %d\n%s", version, body))
	return r.do(&wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{
		File: data, Version: version, Digest: spec.Digest(data), Who: "operator",
	}}})
}

func (r *rig) grant(cell, holder string) *wire.Result {
	return r.do(&wire.Command{Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Name: SchedulerLeasePrefix + cell, Holder: holder}}})
}

func (r *rig) end(cell string, fence uint64) *wire.Result {
	return r.do(&wire.Command{Op: &wire.Command_EndLease{EndLease: &wire.EndLease{Name: SchedulerLeasePrefix + cell, Fence: fence}}})
}

func (r *rig) put(cell string, fence uint64, id string, inc, memory uint64) *wire.Result {
	return r.do(&wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{
		Lease: SchedulerLeasePrefix + cell, Fence: fence,
		Upstream: &wire.UpstreamRecord{Id: id, Incarnation: inc, Cell: cell, Zone: "tay-a", Address: "127.0.0.1:1", MemoryMib: memory},
	}}})
}

func (r *rig) drop(cell string, fence uint64, id string, inc uint64) *wire.Result {
	return r.do(&wire.Command{Op: &wire.Command_DropUpstream{DropUpstream: &wire.DropUpstream{
		Lease: SchedulerLeasePrefix + cell, Fence: fence, Id: id, Incarnation: inc,
	}}})
}

func (r *rig) commit(cell string, fence uint64, orders ...*wire.Order) *wire.Result {
	return r.do(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{
		Lease: SchedulerLeasePrefix + cell, Fence: fence, Orders: orders,
	}}})
}

func (r *rig) settle(cell string, fence uint64, id string, state wire.OrderState) *wire.Result {
	return r.do(&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{
		Lease: SchedulerLeasePrefix + cell, Fence: fence, Settlements: []*wire.Settlement{{OrderId: id, State: state}},
	}}})
}

func (r *rig) begin(key, digest, attempt string) *wire.Result {
	return r.do(&wire.Command{Op: &wire.Command_LedgerBegin{LedgerBegin: &wire.LedgerBegin{
		Caller: "bakery", Key: key, Digest: digestOf(digest), Attempt: attempt, Entry: "entry-1", DeadlineMs: 30_000,
	}}})
}

func (r *rig) finish(key, attempt string, status wire.LedgerStatus, body string) *wire.Result {
	return r.do(&wire.Command{Op: &wire.Command_LedgerFinish{LedgerFinish: &wire.LedgerFinish{
		Caller: "bakery", Key: key, Attempt: attempt, Status: status,
		Answer: &wire.StoredAnswer{Status: 200, Body: []byte(body)},
	}}})
}

func (r *rig) death(digest, upstream string, inc uint64) *wire.Result {
	return r.do(&wire.Command{Op: &wire.Command_ReportDeath{ReportDeath: &wire.ReportDeath{
		BodyDigest: digestOf(digest), Upstream: upstream, Incarnation: inc,
	}}})
}

func digestOf(s string) string { return spec.Digest([]byte(s)) }

func load(id, upstream string, inc uint64, model string) *wire.Order {
	return &wire.Order{Id: id, Kind: wire.OrderKind_ORDER_LOAD, Upstream: upstream, Incarnation: inc, Model: model, Version: "1"}
}

func unload(id, upstream string, inc uint64, model string) *wire.Order {
	return &wire.Order{Id: id, Kind: wire.OrderKind_ORDER_UNLOAD, Upstream: upstream, Incarnation: inc, Model: model}
}

func loadAdapter(id, upstream string, inc uint64, model, adapter string) *wire.Order {
	o := load(id, upstream, inc, model)
	o.Kind = wire.OrderKind_ORDER_LOAD_ADAPTER
	o.Adapter = adapter
	return o
}

const twoModels = `
[[models]]
name = "fortune"
version = "1"
replicas = 2
memory_mib = 6
[[models]]
name = "verse"
version = "1"
replicas = 1
memory_mib = 5
zones = ["tay-b"]
[[models]]
name = "toast"
version = "1"
replicas = 1
memory_mib = 5
[[adapters]]
name = "house"
model = "fortune"
version = "1"
memory_mib = 1
`

// want builds an error unless the condition holds, so that a scenario can be run with a
// mechanism taken out.
func want(errp *error, ok bool, format string, args ...any) {
	if !ok && *errp == nil {
		*errp = errors.Errorf(format, args...)
	}
}

// scenario is a test that returns what it finds.
type scenario struct {
	name string
	run  func(switches) error
	off  switches // the mechanism that it is meant for, taken out
}

var scenarios = []scenario{
	{"OperatorRaceUnderEqualVersions", operatorRace, switches{skipVersionCheck: true}},
	{"StaleHolderIsFenced", staleHolder, switches{skipFenceCheck: true}},
	{"MemoryIsNeverOvercommitted", memoryBound, switches{skipMemoryCheck: true}},
	{"ReplicasCountAcrossCells", replicaBound, switches{skipReplicaCheck: true}},
	{"KeyIsNewOnce", keyOnce, switches{skipLedgerCheck: true}},
	{"OldIncarnationGetsNothing", oldIncarnation, switches{skipIncarnationCheck: true}},
	{"DeathCountsOnce", deathOnce, switches{skipDeathDedupe: true}},
	{"FileHistoryIsLinearizable", filesLinearizable, switches{skipVersionCheck: true}},
	{"LeasesAreLinearizable", leasesLinearizable, switches{skipFenceCheck: true}},
	{"LedgerIsLinearizable", ledgerLinearizable, switches{skipLedgerCheck: true}},
}

func TestScenario(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			if err := s.run(switches{}); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// Each mechanism taken out must turn its scenario red; else the scenario proves nothing.
func TestScenario_TurnsRedWithoutItsMechanism(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			err := s.run(s.off)
			if err == nil {
				t.Fatalf("the scenario passes with %+v", s.off)
			}
			t.Log(err)
		})
	}
}

// operatorRace lets operators race for each version with files of their own, resending
// after lost answers. One of them gets a version, and it keeps it.
func operatorRace(off switches) (err error) {
	rng := rand.New(rand.NewPCG(1, 2))
	r := newRig(off)
	for version := uint64(1); version <= 30; version++ {
		accepted := map[string]int{}
		for range 12 {
			who := fmt.Sprintf("# operator %d", rng.IntN(4))
			res := r.file(version, who).File
			switch res.Outcome {
			case wire.ApplyOutcome_APPLY_ACCEPTED:
				accepted[res.Digest]++
			case wire.ApplyOutcome_APPLY_SAME:
				want(&err, accepted[res.Digest] == 1 && res.Index < r.index, "version %d: same before accepted", version)
			case wire.ApplyOutcome_APPLY_REFUSED_CONFLICT:
				want(&err, accepted[res.Digest] == 0 && accepted[res.AcceptedDigest] == 1, "version %d: wrong digests named", version)
				want(&err, strings.Contains(res.Detail, res.Digest) && strings.Contains(res.Detail, res.AcceptedDigest), "the digests are not both named")
			default:
				want(&err, false, "outcome %s", res.Outcome)
			}
		}
		want(&err, len(accepted) == 1, "version %d: %d files accepted", version, len(accepted))
		want(&err, r.m.Spec().Version == version, "version %d is not in force", version)
	}
	want(&err, r.err == nil, "%v", r.err)
	return err
}

func staleHolder(off switches) (err error) {
	r := newRig(off)
	r.file(1, twoModels)
	old := r.grant("tay", "n1").Lease.Fence
	held := r.grant("tay", "n2")
	want(&err, held.Code == wire.ResultCode_RESULT_HELD && held.Lease.Holder == "n1", "two holders")
	want(&err, r.grant("tay", "n1").Lease.Fence == old, "the holder's resend got another fence")
	r.end("tay", old)
	fence := r.grant("tay", "n2").Lease.Fence
	want(&err, fence > old, "fence %d after %d", fence, old)
	want(&err, r.put("tay", fence, "u1", 1, 10).Code == wire.ResultCode_RESULT_OK, "the holder is refused")
	for name, res := range map[string]*wire.Result{
		"end": r.end("tay", old), "put": r.put("tay", old, "u2", 1, 10),
		"drop": r.drop("tay", old, "u1", 1), "commit": r.commit("tay", old, load("o1", "u1", 1, "fortune")),
		"settle": r.settle("tay", old, "o1", wire.OrderState_ORDER_LOADED),
	} {
		want(&err, res.Code == wire.ResultCode_RESULT_FENCED, "%s under an old fence: %v", name, res.Code)
	}
	want(&err, len(r.m.Placements("").Placements) == 0, "a stale order was committed")
	want(&err, r.err == nil, "%v", r.err)
	return err
}

func memoryBound(off switches) (err error) {
	r := newRig(off)
	r.file(1, twoModels)
	f := r.grant("tay", "n1").Lease.Fence
	r.put("tay", f, "u1", 1, 10)
	res := r.commit("tay", f, load("o1", "u1", 1, "fortune"), load("o2", "u1", 1, "toast"))
	want(&err, res.Orders[0].Accepted && !res.Orders[1].Accepted, "6 + 5 of 10 MiB: %v", res.Orders)
	// An unload that is not yet seen goes on holding the memory.
	r.settle("tay", f, "o1", wire.OrderState_ORDER_LOADED)
	r.commit("tay", f, unload("o3", "u1", 1, "fortune"))
	want(&err, !r.commit("tay", f, load("o4", "u1", 1, "toast")).Orders[0].Accepted, "memory freed before the unload was seen")
	r.settle("tay", f, "o3", wire.OrderState_ORDER_GONE)
	want(&err, r.commit("tay", f, load("o5", "u1", 1, "toast")).Orders[0].Accepted, "memory not freed after the unload was seen")
	want(&err, r.err == nil, "%v", r.err)
	return err
}

func replicaBound(off switches) (err error) {
	r := newRig(off)
	r.file(1, twoModels)
	fences := map[string]uint64{}
	for _, cell := range []string{"a", "b", "c"} {
		fences[cell] = r.grant(cell, "n-"+cell).Lease.Fence
		r.put(cell, fences[cell], "u-"+cell, 1, 100)
	}
	commit := func(cell, id string) bool {
		return r.commit(cell, fences[cell], load(id, "u-"+cell, 1, "fortune")).Orders[0].Accepted
	}
	want(&err, commit("a", "o1") && commit("b", "o2"), "two replicas are allowed")
	want(&err, !commit("c", "o3"), "a third replica was committed")
	// Fewer replicas: the file is accepted, both stay, none is added until below it.
	one := strings.Replace(twoModels, "replicas = 2", "replicas = 1", 1)
	want(&err, r.file(2, one).File.Outcome == wire.ApplyOutcome_APPLY_ACCEPTED, "the file is refused")
	r.settle("a", fences["a"], "o1", wire.OrderState_ORDER_FAILED)
	want(&err, !commit("c", "o4"), "a replica was added at the new count")
	r.settle("b", fences["b"], "o2", wire.OrderState_ORDER_FAILED)
	want(&err, commit("c", "o5"), "no replica below the new count")
	want(&err, r.err == nil, "%v", r.err)
	return err
}

func keyOnce(off switches) (err error) {
	r := newRig(off)
	r.file(1, "[limits]\nledger_window = \"1h\"\n")
	is := func(res *wire.Result, status wire.LedgerStatus, what string) {
		want(&err, res.Ledger == status, "%s: %s", what, res.Ledger)
	}
	is(r.begin("k", "body", "a1"), wire.LedgerStatus_LEDGER_NEW, "first")
	again := r.begin("k", "body", "a1")
	is(again, wire.LedgerStatus_LEDGER_IN_PROGRESS, "resend")
	want(&err, again.Attempt == "a1", "the holder is not named")
	is(r.begin("k", "other", "a2"), wire.LedgerStatus_LEDGER_KEY_REUSED, "another body")
	is(r.finish("k", "a2", wire.LedgerStatus_LEDGER_DONE, "x"), wire.LedgerStatus_LEDGER_UNSPECIFIED, "a stranger's finish")
	r.now += 40 * second
	is(r.begin("k", "body", "a3"), wire.LedgerStatus_LEDGER_UNKNOWN, "past its deadline")
	is(r.finish("k", "a1", wire.LedgerStatus_LEDGER_NOT_RUN, ""), wire.LedgerStatus_LEDGER_UNKNOWN, "not run after unknown")
	is(r.finish("k", "a1", wire.LedgerStatus_LEDGER_DONE, "booked"), wire.LedgerStatus_LEDGER_DONE, "late answer")
	stored := r.begin("k", "body", "a4")
	is(stored, wire.LedgerStatus_LEDGER_DONE, "stored answer")
	want(&err, string(stored.Answer.GetBody()) == "booked", "the stored answer is lost")
	r.now += hour
	is(r.begin("k", "body", "a5"), wire.LedgerStatus_LEDGER_KEY_EXPIRED, "past its window")
	r.now += 6 * day
	is(r.begin("k", "body", "a6"), wire.LedgerStatus_LEDGER_KEY_EXPIRED, "still remembered by its hash")
	want(&err, r.err == nil, "%v", r.err)
	return err
}

func oldIncarnation(off switches) (err error) {
	r := newRig(off)
	r.file(1, twoModels)
	f := r.grant("tay", "n1").Lease.Fence
	r.put("tay", f, "u1", 2, 10)
	r.commit("tay", f, load("o1", "u1", 2, "fortune"))
	want(&err, r.put("tay", f, "u1", 1, 10).Code == wire.ResultCode_RESULT_INVALID, "an older incarnation registered")
	want(&err, len(r.m.Placements("tay").Placements) == 1, "an older incarnation ended the newer's placement")
	r.put("tay", f, "u1", 3, 10)
	want(&err, len(r.m.Placements("tay").Placements) == 0, "a new incarnation kept the old one's placement")
	want(&err, !r.commit("tay", f, load("o2", "u1", 2, "fortune")).Orders[0].Accepted, "an order for an ended incarnation")
	r.drop("tay", f, "u1", 3)
	want(&err, r.put("tay", f, "u1", 3, 10).Code == wire.ResultCode_RESULT_INVALID, "an ended incarnation came back")
	want(&err, r.err == nil, "%v", r.err)
	return err
}

func deathOnce(off switches) (err error) {
	r := newRig(off)
	for range 3 {
		want(&err, r.death("body", "u1", 1).Deaths == 1, "one death counted more than once")
	}
	want(&err, !r.m.Suspects()[0].Quarantined, "quarantined after one death")
	want(&err, r.death("body", "u2", 7).Deaths == 2 && r.m.Suspects()[0].Quarantined, "not quarantined after two deaths")
	r.now += 25 * hour
	r.death("other", "u1", 1)
	want(&err, len(r.m.Suspects()) == 1, "the quarantine does not end")
	return err
}

func TestApplyFile_OlderGapAndInvalid(t *testing.T) {
	is := is.New(t)
	r := newRig(switches{})
	first := r.file(4, "# first").File
	is.Equal(first.Outcome, wire.ApplyOutcome_APPLY_ACCEPTED) // the first file may have any version
	is.Equal(r.file(6, "").File.Outcome, wire.ApplyOutcome_APPLY_REFUSED_GAP)
	is.Equal(r.file(5, "unknown = 1").File.Outcome, wire.ApplyOutcome_APPLY_REFUSED_INVALID)
	is.Equal(r.file(5, "").File.Outcome, wire.ApplyOutcome_APPLY_ACCEPTED)
	older := r.file(4, "# other").File
	is.Equal(older.Outcome, wire.ApplyOutcome_APPLY_REFUSED_OLDER)
	is.Equal(older.AcceptedDigest, first.Digest)
	same := r.file(4, "# first").File
	is.Equal(same.Outcome, wire.ApplyOutcome_APPLY_SAME)
	is.Equal(same.Index, first.Index) // the first outcome again
	is.Equal(r.m.Spec().Version, uint64(5))
	res := r.do(&wire.Command{Op: &wire.Command_ApplyFile{ApplyFile: &wire.ApplyFile{File: []byte("x"), Version: 6, Digest: digestOf("y")}}})
	is.Equal(res.File.Outcome, wire.ApplyOutcome_APPLY_REFUSED_INVALID)
	is.Equal(len(r.m.History(0, 0)), 6)
	is.Equal(len(r.m.History(first.Index+1, 0)), 1)
}

func TestOrders_AdaptersAndUnloads(t *testing.T) {
	is := is.New(t)
	r := newRig(switches{})
	r.file(1, twoModels)
	f := r.grant("tay", "n1").Lease.Fence
	r.put("tay", f, "u1", 1, 20)
	commit := func(o *wire.Order) bool { return r.commit("tay", f, o).Orders[0].Accepted }
	settle := func(id string, s wire.OrderState) bool { return r.settle("tay", f, id, s).Orders[0].Accepted }
	is.True(!commit(load("z", "u1", 1, "verse")))                    // only zone tay-b is allowed
	is.True(!commit(loadAdapter("a0", "u1", 1, "fortune", "house"))) // no model there
	is.True(commit(load("o1", "u1", 1, "fortune")))
	is.True(commit(load("o1", "u1", 1, "fortune"))) // the same decision, sent again
	is.Equal(len(r.m.Placements("tay").OpenOrders), 1)
	is.True(!commit(load("o2", "u1", 1, "fortune")))   // one load open already
	is.True(!commit(unload("o3", "u1", 1, "fortune"))) // its outcome is not known yet
	is.True(settle("o1", wire.OrderState_ORDER_LOADED))
	is.True(commit(loadAdapter("a1", "u1", 1, "fortune", "house")))
	is.True(!commit(unload("o4", "u1", 1, "fortune"))) // an adapter's order is open
	is.True(settle("a1", wire.OrderState_ORDER_LOADED))
	is.True(commit(unload("o5", "u1", 1, "fortune")))
	is.True(!settle("o5", wire.OrderState_ORDER_LOADED)) // an unload can't end as loaded
	is.True(settle("o5", wire.OrderState_ORDER_FAILED))  // it stays loaded
	is.True(commit(unload("o6", "u1", 1, "fortune")))
	is.Equal(r.m.Placements("tay").Placements[1].Unloading, true) // the adapter goes along
	is.True(settle("o6", wire.OrderState_ORDER_GONE))
	is.Equal(len(r.m.Placements("tay").Placements), 0)
	is.True(!settle("o6", wire.OrderState_ORDER_GONE)) // settled once
	is.NoErr(r.err)
	text := strings.Join(r.m.Explain("fortune"), "\n")
	for _, part := range []string{"file version 1", "fence 1", "left u1", "an order is open on its adapter house"} {
		is.True(strings.Contains(text, part))
	}
}

func TestOrders_VersionChangeCountsOldAndNew(t *testing.T) {
	is := is.New(t)
	r := newRig(switches{})
	one := strings.Replace(twoModels, "replicas = 2", "replicas = 1", 1)
	r.file(1, one)
	f := r.grant("tay", "n1").Lease.Fence
	r.put("tay", f, "u1", 1, 20)
	r.put("tay", f, "u2", 1, 20)
	r.commit("tay", f, load("o1", "u1", 1, "fortune"))
	r.settle("tay", f, "o1", wire.OrderState_ORDER_LOADED)
	r.file(2, strings.Replace(one, `version = "1"`, `version = "2"`, 1))
	next := load("o2", "u2", 1, "fortune")
	is.True(!r.commit("tay", f, next).Orders[0].Accepted) // version 1 is not the file's
	next.Version = "2"
	is.True(!r.commit("tay", f, next).Orders[0].Accepted) // version 1 still holds the slot
	r.commit("tay", f, unload("o3", "u1", 1, "fortune"))
	is.True(!r.commit("tay", f, next).Orders[0].Accepted) // not yet seen to be gone
	r.settle("tay", f, "o3", wire.OrderState_ORDER_GONE)
	is.True(r.commit("tay", f, next).Orders[0].Accepted)
	is.NoErr(r.err)
}

func TestLedger_NotRunFreesFullRefusesOldKeysStayOut(t *testing.T) {
	is := is.New(t)
	r := newRig(switches{})
	r.m.opts.LedgerKeys, r.m.opts.ForgottenKeys = 2, 2
	is.Equal(r.begin("k1", "b", "a1").Ledger, wire.LedgerStatus_LEDGER_NEW)
	is.Equal(r.finish("k1", "a1", wire.LedgerStatus_LEDGER_NOT_RUN, "").Ledger, wire.LedgerStatus_LEDGER_NOT_RUN)
	is.Equal(r.begin("k1", "b", "a2").Ledger, wire.LedgerStatus_LEDGER_NEW)
	is.Equal(r.finish("k1", "a1", wire.LedgerStatus_LEDGER_NOT_RUN, "").Code, wire.ResultCode_RESULT_INVALID) // a late copy of the first
	is.Equal(r.begin("k2", "b", "a3").Ledger, wire.LedgerStatus_LEDGER_NEW)
	is.Equal(r.begin("k3", "b", "a4").Ledger, wire.LedgerStatus_LEDGER_FULL)
	r.do(&wire.Command{Op: &wire.Command_LedgerAbandon{LedgerAbandon: &wire.LedgerAbandon{Entry: "entry-1"}}})
	is.Equal(r.begin("k2", "b", "a5").Ledger, wire.LedgerStatus_LEDGER_UNKNOWN)
	r.now += day
	is.Equal(r.begin("k3", "b", "a6").Ledger, wire.LedgerStatus_LEDGER_NEW) // k1 and k2 are forgotten
	r.now += day
	is.Equal(r.begin("k3", "b", "a7").Ledger, wire.LedgerStatus_LEDGER_KEY_EXPIRED) // no room to forget it: it stays
	is.Equal(r.begin("k1", "b", "a8").Ledger, wire.LedgerStatus_LEDGER_KEY_EXPIRED)
	// Once its hash is gone too, only a key that tells its own age is still refused.
	old := fmt.Sprintf("%08x-%04x-7000-8000-000000000000", r.now>>16, r.now&0xffff)
	is.Equal(r.begin(old, "b", "a9").Ledger, wire.LedgerStatus_LEDGER_NEW)
	r.now += 30 * day
	is.Equal(r.begin("k1", "b", "a10").Ledger, wire.LedgerStatus_LEDGER_NEW)
	is.Equal(r.begin(old, "b", "a11").Ledger, wire.LedgerStatus_LEDGER_KEY_EXPIRED)
}

func TestSuspects_ClearedOnceByTheFileThatNamesThem(t *testing.T) {
	is := is.New(t)
	r := newRig(switches{})
	kill := func() {
		r.death("body", "u1", r.index+1)
		r.death("body", "u2", r.index+1)
	}
	clearing := fmt.Sprintf("[quarantine]\nclear = [%q]\n", digestOf("body"))
	kill()
	is.True(r.m.Suspects()[0].Quarantined)
	r.file(1, clearing)
	is.Equal(len(r.m.Suspects()), 0)
	kill()
	r.file(2, clearing)
	is.Equal(len(r.m.Suspects()), 1) // it did new harm after it was cleared
}

func TestApply_MalformedAndRepeated(t *testing.T) {
	is := is.New(t)
	r := newRig(switches{})
	is.Equal(r.m.Apply(1, nil).Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(r.m.Apply(1, &wire.Command{}).Index, uint64(1)) // applied before: nothing happens
	r.index = 1
	nested := &wire.Command{Op: &wire.Command_Batch{Batch: &wire.Batch{Commands: []*wire.Command{
		nil, {Op: &wire.Command_Batch{}}, {Op: &wire.Command_GrantLease{GrantLease: &wire.GrantLease{Name: "x", Holder: "y"}}},
	}}}}
	res := r.do(nested)
	is.Equal(len(res.Batch), 3)
	is.Equal(res.Batch[1].Code, wire.ResultCode_RESULT_INVALID)
	is.Equal(res.Batch[2].Lease.Fence, uint64(1))
}

// The race detector is what this test is for: reads share messages with the machine.
func TestReads_WhileApplying(t *testing.T) {
	is := is.New(t)
	r := newRig(switches{})
	done := make(chan error)
	go func() {
		var err error
		for range 200 {
			for _, p := range r.m.Placements("").Placements {
				_ = p.Order.String()
			}
			_ = r.m.Explain("fortune")
			_ = r.m.History(0, 0)
			_ = r.m.DeltaSince(1).String()
			if _, e := r.m.Snapshot(); e != nil {
				err = e
			}
		}
		done <- err
	}()
	f := r.grant("tay", "n1").Lease.Fence
	for i := range uint64(40) {
		r.file(i+1, twoModels)
		r.put("tay", f, "u1", i+1, 20)
		r.commit("tay", f, load(fmt.Sprint("o", i), "u1", i+1, "fortune"))
		r.settle("tay", f, fmt.Sprint("o", i), wire.OrderState_ORDER_LOADED)
		r.begin(fmt.Sprint("k", i), "b", "a")
		r.finish(fmt.Sprint("k", i), "a", wire.LedgerStatus_LEDGER_DONE, "x")
		r.death("b", "u1", i+1)
	}
	is.NoErr(<-done)
	is.NoErr(r.err)
}

func FuzzApply(f *testing.F) {
	r := newRig(switches{})
	r.file(1, twoModels)
	fence := r.grant("tay", "n1").Lease.Fence
	r.put("tay", fence, "u1", 1, 20)
	base, err := r.m.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	seed := func(ops ...*wire.Command) {
		data, _ := proto.Marshal(&wire.Batch{Commands: ops})
		f.Add(data)
	}
	seed(&wire.Command{Op: &wire.Command_CommitOrders{CommitOrders: &wire.CommitOrders{Lease: "scheduler/tay", Fence: 1,
		Orders: []*wire.Order{load("o1", "u1", 1, "fortune"), {}, {Id: "x", Model: "y"}}}}},
		&wire.Command{Op: &wire.Command_SettleOrders{SettleOrders: &wire.SettleOrders{Lease: "scheduler/tay", Fence: 1,
			Settlements: []*wire.Settlement{{OrderId: "o1", State: 2}, {}}}}})
	seed(&wire.Command{Op: &wire.Command_PutUpstream{PutUpstream: &wire.PutUpstream{Lease: "scheduler/tay", Fence: 1}}},
		&wire.Command{Op: &wire.Command_DropUpstream{}}, &wire.Command{Op: &wire.Command_LedgerFinish{}}, &wire.Command{Op: &wire.Command_ReportDeath{}},
		&wire.Command{AtUnixMs: 1 << 62, Op: &wire.Command_LedgerBegin{}}, &wire.Command{Op: &wire.Command_ApplyFile{}})
	f.Fuzz(func(t *testing.T, data []byte) {
		batch := &wire.Batch{}
		if proto.Unmarshal(data, batch) != nil {
			return
		}
		m := New(Options{})
		if err := m.Restore(3, base); err != nil {
			t.Fatal(err)
		}
		for i, cmd := range batch.Commands {
			if m.Apply(uint64(4+i), cmd) == nil {
				t.Fatal("no result")
			}
			if err := m.Check(); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := m.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
